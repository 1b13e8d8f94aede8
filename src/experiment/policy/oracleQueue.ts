import { clampRetryAfter, drainTime } from "../../request/admission/waitLimits.js";
import { AdmissionQueue } from "../../request/admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal } from "../../request/admissionQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";
import { lowestTier } from "../../version/manifest.js";

interface Waiting {
    readonly request: PendingRequest;
    readonly latestStart: Milliseconds;
}

/**
 * The bound that policies are measured against: it knows how long each request will run, starts the most urgent one of
 * the most important tier, and gives up at once what can no longer meet its target.
 */
export class OracleQueue extends AdmissionQueue {
    private readonly tiers = Array.from({ length: lowestTier + 1 }, () => new IndexedHeap<Waiting>());
    private readonly members = new Map<string, HeapNode<Waiting>>();

    /** @param serviceTime Gives the true service time of a request, in milliseconds. */
    constructor(private readonly serviceTime: (request: PendingRequest) => Milliseconds) {
        super();
    }

    override get length(): number {
        return this.members.size;
    }

    override offer(request: PendingRequest): readonly Refusal[] {
        const target = request.requestClass.target.totalMilliseconds;
        const beforeTotal = request.arrivedAt + target - this.serviceTime(request);
        const beforeFirst = request.arrivedAt + (request.requestClass.target.firstTokenMilliseconds ?? Infinity) / 2;
        const latestStart = Math.min(beforeTotal, beforeFirst);
        const member = this.tiers[request.requestClass.tier]?.insert({ request, latestStart }, latestStart);
        if (member !== undefined) {
            this.members.set(request.id, member);
        }
        return [];
    }

    override take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined {
        if (capacity.freeSlots <= 0) {
            return undefined;
        }
        for (const tier of this.tiers) {
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
        this.tiers[request.requestClass.tier]?.delete(member);
        return true;
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const tier of this.tiers) {
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
        // Nothing is learned: everything is known.
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
