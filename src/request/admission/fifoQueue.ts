import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import { AdmissionQueue } from "../admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal } from "../admissionQueue.js";
import type { PendingRequest } from "../pendingRequest.js";
import { clampRetryAfter, drainTime, maximumWaitOf } from "./waitLimits.js";

/** Default maximum number of waiting requests of a {@link FifoQueue}. */
export const defaultFifoLength = 2_000;

/** Baseline queue: first in, first out, regardless of tier, class and team. */
export class FifoQueue extends AdmissionQueue {
    private readonly waiting = new LinkedList<PendingRequest>();
    private readonly preempted = new LinkedList<PendingRequest>();
    private readonly nodesById = new Map<string, ListNode<PendingRequest>>();

    /** @param maximumLength Maximum number of waiting requests, preempted ones not counted. */
    constructor(private readonly maximumLength: number = defaultFifoLength) {
        super();
    }

    override get length(): number {
        return this.nodesById.size;
    }

    override offer(request: PendingRequest, capacity: PoolCapacity): readonly Refusal[] {
        if (this.waiting.size >= this.maximumLength) {
            return [this.refuse(request, "queueFull", capacity)];
        }
        this.nodesById.set(request.id, this.waiting.append(request));
        return [];
    }

    override take(capacity: PoolCapacity): PendingRequest | undefined {
        if (capacity.freeSlots <= 0) {
            return undefined;
        }
        const request = this.preempted.first ?? this.waiting.first;
        if (request !== undefined) {
            this.remove(request);
        }
        return request;
    }

    override remove(request: PendingRequest): boolean {
        const node = this.nodesById.get(request.id);
        if (node === undefined) {
            return false;
        }
        this.nodesById.delete(request.id);
        return this.waiting.delete(node) || this.preempted.delete(node);
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const request of this.waiting) {
            if (now - request.arrivedAt >= maximumWaitOf(request.requestClass)) {
                this.remove(request);
                refusals.push(this.refuse(request, "waitTooLong", capacity));
            }
        }
        return refusals;
    }

    override complete(): void {
        // The order does not depend on the usage of requests.
    }

    override abandon(): void {
        // Running requests are not tracked.
    }

    override requeue(request: PendingRequest): void {
        this.nodesById.set(request.id, this.preempted.append(request));
    }

    override withdrawKey(team: string, keyName: string): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const request of [...this.preempted, ...this.waiting]) {
            if (request.team === team && request.keyName === keyName) {
                this.remove(request);
                refusals.push({ request, code: "keyWithdrawn", retryAfter: 0 });
            }
        }
        return refusals;
    }

    override choosePreemptions(): readonly Preemption[] {
        return [];
    }

    private refuse(request: PendingRequest, code: ResultCode, capacity: PoolCapacity): Refusal {
        const retryAfter = clampRetryAfter(drainTime(this.length, capacity.requestsPerSecond));
        return { request, code, retryAfter };
    }
}
