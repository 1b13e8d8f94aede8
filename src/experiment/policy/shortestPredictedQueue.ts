import { QuantileOutputPredictor } from "../../request/admission/outputPredictor.js";
import { clampRetryAfter, drainTime, maximumWaitOf } from "../../request/admission/waitLimits.js";
import { AdmissionQueue } from "../../request/admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal, RequestUsage } from "../../request/admissionQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";

/** Baseline queue that starts the request with the fewest predicted output tokens, regardless of tier, class and team. */
export class ShortestPredictedQueue extends AdmissionQueue {
    private readonly waiting = new IndexedHeap<PendingRequest>();
    private readonly members = new Map<string, HeapNode<PendingRequest>>();
    private readonly predictor = new QuantileOutputPredictor();

    /** @param maximumLength Maximum number of waiting requests. */
    constructor(private readonly maximumLength: number) {
        super();
    }

    override get length(): number {
        return this.members.size;
    }

    override offer(request: PendingRequest, capacity: PoolCapacity): readonly Refusal[] {
        if (this.length >= this.maximumLength) {
            const retryAfter = clampRetryAfter(drainTime(this.length, capacity.requestsPerSecond));
            return [{ request, code: "queueFull", retryAfter }];
        }
        this.members.set(request.id, this.waiting.insert(request, this.predictor.predictTokens(request)));
        return [];
    }

    override take(capacity: PoolCapacity): PendingRequest | undefined {
        const request = capacity.freeSlots > 0 ? this.waiting.first?.value : undefined;
        if (request !== undefined) {
            this.remove(request);
        }
        return request;
    }

    override remove(request: PendingRequest): boolean {
        const member = this.members.get(request.id);
        if (member === undefined) {
            return false;
        }
        this.members.delete(request.id);
        this.waiting.delete(member);
        return true;
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const retryAfter = clampRetryAfter(drainTime(this.length, capacity.requestsPerSecond));
        const expired = [...this.members.values()].map(member => member.value).filter(request => {
            return now - request.arrivedAt >= maximumWaitOf(request.requestClass);
        });
        return expired.map(request => {
            this.remove(request);
            return { request, code: "waitTooLong" as const, retryAfter };
        });
    }

    override complete(request: PendingRequest, use: RequestUsage): void {
        this.predictor.observe(request, use.outputTokens);
    }

    override abandon(): void {
        // Running requests are not tracked.
    }

    override requeue(request: PendingRequest): void {
        this.members.set(request.id, this.waiting.insert(request, 0));
    }

    override withdrawKey(): readonly Refusal[] {
        return [];
    }

    override choosePreemptions(): readonly Preemption[] {
        return [];
    }
}
