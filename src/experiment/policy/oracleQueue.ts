import { clampRetryAfter, drainTime } from "../../request/admission/waitLimits.js";
import { AdmissionQueue } from "../../request/admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal } from "../../request/admissionQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";
import { lowestTier } from "../../version/manifest.js";

interface WaitingRequest {
    readonly request: PendingRequest;
    readonly latestStart: Milliseconds;
}

/**
 * Upper bound to compare policies with: a queue that knows the service time of each request.
 *
 * It starts the request with the earliest latest start of the highest tier and refuses a request as soon as it can no
 * longer meet its target.
 */
export class OracleQueue extends AdmissionQueue {
    private readonly queuesByTier = Array.from({ length: lowestTier + 1 }, () => new IndexedHeap<WaitingRequest>());
    private readonly members = new Map<string, HeapNode<WaitingRequest>>();

    /** @param serviceTime Returns the actual service time of a request, in milliseconds. */
    constructor(private readonly serviceTime: (request: PendingRequest) => Milliseconds) {
        super();
    }

    override get length(): number {
        return this.members.size;
    }

    override offer(request: PendingRequest): readonly Refusal[] {
        const totalTarget = request.requestClass.target.totalMilliseconds;
        const latestStartForTotal = request.arrivedAt + totalTarget - this.serviceTime(request);
        const latestStartForFirstToken = request.arrivedAt
            + (request.requestClass.target.firstTokenMilliseconds ?? Infinity) / 2;
        const latestStart = Math.min(latestStartForTotal, latestStartForFirstToken);
        const member = this.queuesByTier[request.requestClass.tier]?.insert({ request, latestStart }, latestStart);
        if (member !== undefined) {
            this.members.set(request.id, member);
        }
        return [];
    }

    override take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined {
        if (capacity.freeSlots <= 0) {
            return undefined;
        }
        for (const tier of this.queuesByTier) {
            const next = tier.first;
            if (next !== undefined && next.value.latestStart >= now) {
                this.remove(next.value.request);
                return next.value.request;
            }
        }
        return undefined;
    }

    override remove(request: PendingRequest): boolean {
        const member = this.members.get(request.id);
        if (member === undefined) {
            return false;
        }
        this.members.delete(request.id);
        this.queuesByTier[request.requestClass.tier]?.delete(member);
        return true;
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const tier of this.queuesByTier) {
            while (tier.first !== undefined && tier.first.value.latestStart < now) {
                const { request } = tier.first.value;
                this.remove(request);
                const retryAfter = clampRetryAfter(drainTime(this.length, capacity.requestsPerSecond));
                refusals.push({ request, code: "targetUnreachable", retryAfter });
            }
        }
        return refusals;
    }

    override complete(): void {
        // The queue needs no observations, because it knows the actual service times.
    }

    override abandon(): void {
        // Running requests are not tracked.
    }

    override requeue(request: PendingRequest): void {
        this.offer(request);
    }

    override withdrawKey(): readonly Refusal[] {
        return [];
    }

    override choosePreemptions(): readonly Preemption[] {
        return [];
    }
}
