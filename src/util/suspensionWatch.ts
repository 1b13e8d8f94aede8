import type { Clock, Milliseconds, UnixMilliseconds } from "./clock.js";

/** Difference of the two clocks' progress that is put down to their rates and resolution. */
const tolerance: Milliseconds = 150;

/**
 * Measures time that may have passed unseen.
 *
 * A monotonic clock need not count while a VM is suspended, and a wall clock may be set; the longer of both spans is the
 * safe one.
 */
export class SuspensionWatch {
    private lastNow: Milliseconds;
    private lastUnix: UnixMilliseconds;
    private hidden: Milliseconds = 0;
    private noticedAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {
        this.lastNow = clock.now();
        this.lastUnix = clock.unixNow();
    }

    /** The monotonic time, moved forward by all time that the wall clock counted beyond it. */
    now(): Milliseconds {
        const now = this.clock.now();
        const unix = this.clock.unixNow();
        const difference = (unix - this.lastUnix) - (now - this.lastNow);
        if (Math.abs(difference) > tolerance) {
            this.noticedAt = now;
            this.hidden += Math.max(0, difference);
        }
        this.lastNow = now;
        this.lastUnix = unix;
        return now + this.hidden;
    }

    /** How long ago the clocks last disagreed, in milliseconds of the monotonic clock. */
    timeSinceSuspension(): Milliseconds {
        this.now();
        return this.clock.now() - this.noticedAt;
    }
}
