import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import { AdmissionQueue } from "../admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal } from "../admissionQueue.js";
import type { PendingRequest } from "../pendingRequest.js";
import { clampRetryAfter, drainTime, maximumWaitOf } from "./waitLimits.js";

/** Waiting requests that a {@link FifoQueue} holds at most, unless told otherwise. */
export const defaultFirstComeLength = 2_000;

/** The plain baseline: requests go in the order of their arrival, whatever their tier, class or team. */
export class FifoQueue extends AdmissionQueue {
    private readonly waiting = new LinkedList<PendingRequest>();
    private readonly resumed = new LinkedList<PendingRequest>();
    private readonly places = new Map<string, ListNode<PendingRequest>>();

    /** @param maximumLength Waiting requests that it holds at most. */
    constructor(private readonly maximumLength: number = defaultFirstComeLength) {
        super();
    }

    override get length(): number {
        return this.places.size;
    }

    override offer(request: PendingRequest, capacity: PoolCapacity): readonly Refusal[] {
        if (this.waiting.size >= this.maximumLength) {
            return [this.refuse(request, "queueFull", capacity)];
        }
        this.places.set(request.id, this.waiting.append(request));
        return [];
    }

    override take(capacity: PoolCapacity): PendingRequest | undefined {
        if (capacity.freeSlots <= 0) {
            return undefined;
        }
        const request = this.resumed.first ?? this.waiting.first;
        if (request !== undefined) {
            this.remove(request);
        }
        return request;
    }

    override remove(request: PendingRequest): boolean {
        const node = this.places.get(request.id);
        if (node === undefined) {
            return false;
        }
        this.places.delete(request.id);
        return this.waiting.delete(node) || this.resumed.delete(node);
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
        // The order does not depend on what requests use.
    }

    override abandon(): void {
        // Running requests are not tracked.
    }

    override requeue(request: PendingRequest): void {
        this.places.set(request.id, this.resumed.append(request));
    }

    override withdrawKey(team: string, keyName: string): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const request of [...this.resumed, ...this.waiting]) {
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
