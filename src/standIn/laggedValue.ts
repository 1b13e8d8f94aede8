import type { Milliseconds } from "../util/clock.js";

interface Sample<T> {
    readonly at: Milliseconds;
    readonly value: T;
}

/** A value whose changes become visible after a fixed delay, like a report that is collected periodically. */
export class LaggedValue<T> {
    private samples: Sample<T>[];

    /**
     * @param lag Delay between a write and its visibility, in milliseconds.
     * @param initial Value that is read until the first write is visible.
     */
    constructor(private readonly lag: Milliseconds, initial: T) {
        this.samples = [{ at: -Infinity, value: initial }];
    }

    /** Writes a new value; `now` must not decrease between calls. */
    write(value: T, now: Milliseconds): void {
        this.discardObsolete(now);
        this.samples.push({ at: now, value });
    }

    /** The newest value that was written at least one lag ago. */
    read(now: Milliseconds): T {
        this.discardObsolete(now);
        const [visible] = this.samples;
        if (visible === undefined) {
            throw new Error("a lagged value must have at least one sample");
        }
        return visible.value;
    }

    /** Drops the samples that a newer visible sample supersedes. */
    private discardObsolete(now: Milliseconds): void {
        const visible = this.samples.findLastIndex(sample => sample.at <= now - this.lag);
        if (visible > 0) {
            this.samples = this.samples.slice(visible);
        }
    }
}
