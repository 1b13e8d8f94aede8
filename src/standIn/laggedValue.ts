import type { Milliseconds } from "../util/clock.js";

interface Sample<T> {
    readonly at: Milliseconds;
    readonly value: T;
}

/** A value that readers see only after a delay, as with reports that are collected now and then. */
export class LaggedValue<T> {
    private samples: Sample<T>[];

    /**
     * @param lag Delay between a change and its appearance, in milliseconds.
     * @param initial What readers see before the first change has appeared.
     */
    constructor(private readonly lag: Milliseconds, initial: T) {
        this.samples = [{ at: -Infinity, value: initial }];
    }

    /** Notes the value that holds from now on. */
    write(value: T, now: Milliseconds): void {
        this.forget(now);
        this.samples.push({ at: now, value });
    }

    /** The newest value that is at least as old as the lag. */
    read(now: Milliseconds): T {
        this.forget(now);
        const [visible] = this.samples;
        if (visible === undefined) {
            throw new Error("a lagged value keeps at least one sample");
        }
        return visible.value;
    }

    private forget(now: Milliseconds): void {
        const visible = this.samples.findLastIndex(sample => sample.at <= now - this.lag);
        if (visible > 0) {
            this.samples = this.samples.slice(visible);
        }
    }
}
