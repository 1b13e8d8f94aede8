import type { Milliseconds } from "./clock.js";

/** Estimates the current rate of events with exponentially decaying weights. */
export class ExponentialRateEstimator {
    private sum = 0;
    private updatedAt: Milliseconds = -Infinity;

    /** @param timeConstant Time constant of the exponential decay, in milliseconds. */
    constructor(private readonly timeConstant: Milliseconds) {}

    /** Adds an amount that occurred at a point in time. */
    add(amount: number, now: Milliseconds): void {
        this.sum = this.decayedSum(now) + amount;
        this.updatedAt = now;
    }

    /** The current rate per second. */
    perSecond(now: Milliseconds): number {
        return (this.decayedSum(now) * 1_000) / this.timeConstant;
    }

    private decayedSum(now: Milliseconds): number {
        return this.sum === 0 ? 0 : this.sum * Math.exp((this.updatedAt - now) / this.timeConstant);
    }
}
