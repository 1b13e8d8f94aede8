import type { Milliseconds } from "../../util/clock.js";
import type { PoolCapacity, RequestUsage } from "../admissionQueue.js";

/** Weight of the newest completed request in the running means. */
const newestWeight = 0.02;

/** What an entry sees of a pool's slots. */
export interface SlotView {
    /** Requests of this entry that run. */
    readonly running: number;
    /** Slots that this entry believes to be free. */
    readonly free: number;
    /** Slots of all usable endpoints. */
    readonly total: number;
    /** Entries that share the pool. */
    readonly entries: number;
}

/**
 * Estimates what a pool serves for this entry.
 *
 * By Little's law the rate is the number of slots over the mean service time. This holds also where the pool was idle
 * a moment ago, when a measured rate would only show how little was asked for.
 */
export class CapacityEstimator {
    private meanServiceTime: Milliseconds = 0;
    private meanOutput = 0;

    /** Learns from a completed request. */
    observe(use: RequestUsage): void {
        const weight = this.meanServiceTime === 0 ? 1 : newestWeight;
        this.meanServiceTime += weight * (Math.max(1, use.serviceTime) - this.meanServiceTime);
        this.meanOutput += weight * (use.outputTokens - this.meanOutput);
    }

    /** The capacity as admission needs it; the rates are 0 until a request was completed. */
    estimate(slots: SlotView): PoolCapacity {
        if (this.meanServiceTime === 0) {
            return { freeSlots: slots.free, tokensPerSecond: 0, requestsPerSecond: 0 };
        }
        const usable = Math.max(slots.running, slots.total / Math.max(1, slots.entries));
        const requestsPerSecond = (usable * 1_000) / this.meanServiceTime;
        return { freeSlots: slots.free, tokensPerSecond: requestsPerSecond * this.meanOutput, requestsPerSecond };
    }
}
