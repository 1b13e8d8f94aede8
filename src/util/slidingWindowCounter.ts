import type { Milliseconds } from "./clock.js";

/** Counts events within a sliding window. */
export class SlidingWindowCounter {
    private readonly timestamps: Milliseconds[] = [];

    /** @param windowLength Age from which an event does not count any more. */
    constructor(private readonly windowLength: Milliseconds) {}

    /** Adds events that happen now. */
    add(now: Milliseconds, events = 1): void {
        for (let index = 0; index < events; index++) {
            this.timestamps.push(now);
        }
    }

    /** Number of events in the window that ends now. */
    count(now: Milliseconds): number {
        const firstInWindow = this.timestamps.findIndex(timestamp => timestamp > now - this.windowLength);
        this.timestamps.splice(0, firstInWindow < 0 ? this.timestamps.length : firstInWindow);
        return this.timestamps.length;
    }

    /** Time until the oldest event leaves the window; 0 if there is none. */
    timeUntilOldestLeaves(now: Milliseconds): Milliseconds {
        const [oldest] = this.timestamps;
        return oldest === undefined ? 0 : Math.max(0, oldest + this.windowLength - now);
    }
}
