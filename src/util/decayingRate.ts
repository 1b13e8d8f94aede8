import type { Milliseconds } from "./clock.js";

/** The rate of events, averaged over the recent past with weights that decay exponentially. */
export class DecayingRate {
    private sum = 0;
    private updatedAt: Milliseconds = -Infinity;

    /** @param averagingTime Time constant of the decay, in milliseconds. */
    constructor(private readonly averagingTime: Milliseconds) {}

    /** Counts an amount at a point of time. */
    add(amount: number, now: Milliseconds): void {
        this.sum = this.decayed(now) + amount;
        this.updatedAt = now;
    }

    /** The present rate a second. */
    perSecond(now: Milliseconds): number {
        return (this.decayed(now) * 1_000) / this.averagingTime;
    }

    private decayed(now: Milliseconds): number {
        return this.sum === 0 ? 0 : this.sum * Math.exp((this.updatedAt - now) / this.averagingTime);
    }
}
