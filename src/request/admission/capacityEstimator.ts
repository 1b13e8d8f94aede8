import type { Milliseconds } from "../../util/clock.js";
import type { PoolCapacity, RequestUsage } from "../admissionQueue.js";

/** Weight of the newest sample in the exponential moving averages. */
const smoothingFactor = 0.02;

/** Slot counts of a pool, as known to one entry. */
export interface SlotCounts {
    /** Running requests of this entry. */
    readonly runningRequests: number;
    /** Free slots, as estimated by this entry. */
    readonly freeSlots: number;
    /** Total slots of the usable endpoints. */
    readonly totalSlots: number;
    /** Number of entries that share the pool. */
    readonly entryCount: number;
}

/**
 * Estimates the throughput that a pool offers to this entry.
 *
 * By Little's law, the request rate is the number of slots divided by the mean service time. Unlike the measured
 * throughput, which falls with demand, this estimate also holds after the pool was idle.
 */
export class CapacityEstimator {
    private meanServiceTime: Milliseconds = 0;
    private meanOutputTokens = 0;

    /** Updates the averages with a completed request. */
    observe(usage: RequestUsage): void {
        const weight = this.meanServiceTime === 0 ? 1 : smoothingFactor;
        this.meanServiceTime += weight * (Math.max(1, usage.serviceTime) - this.meanServiceTime);
        this.meanOutputTokens += weight * (usage.outputTokens - this.meanOutputTokens);
    }

    /** Returns the estimated capacity; both rates are 0 until the first request completes. */
    estimate(slots: SlotCounts): PoolCapacity {
        if (this.meanServiceTime === 0) {
            return { freeSlots: slots.freeSlots, tokensPerSecond: 0, requestsPerSecond: 0 };
        }
        const ownSlots = Math.max(slots.runningRequests, slots.totalSlots / Math.max(1, slots.entryCount));
        const requestsPerSecond = (ownSlots * 1_000) / this.meanServiceTime;
        return {
            freeSlots: slots.freeSlots,
            tokensPerSecond: requestsPerSecond * this.meanOutputTokens,
            requestsPerSecond,
        };
    }
}
