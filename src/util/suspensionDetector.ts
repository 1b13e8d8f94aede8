import type { Clock, Milliseconds, UnixMilliseconds } from "./clock.js";

/** Divergence of the two clocks between readings that is attributed to their rates and resolution. */
const divergenceTolerance: Milliseconds = 150;

/**
 * Detects suspensions of the VM and accounts for the time that passed meanwhile.
 *
 * A monotonic clock may stop while a VM is suspended, and a wall clock may be set. The longer of the two elapsed times
 * is the safe one to use.
 */
export class SuspensionDetector {
    private lastMonotonic: Milliseconds;
    private lastUnix: UnixMilliseconds;
    private suspendedTime: Milliseconds = 0;
    private lastDetectedAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {
        this.lastMonotonic = clock.now();
        this.lastUnix = clock.unixNow();
    }

    /** The monotonic time plus all additional time that the wall clock has counted. */
    now(): Milliseconds {
        const now = this.clock.now();
        const unix = this.clock.unixNow();
        const divergence = (unix - this.lastUnix) - (now - this.lastMonotonic);
        if (Math.abs(divergence) > divergenceTolerance) {
            this.lastDetectedAt = now;
            this.suspendedTime += Math.max(0, divergence);
        }
        this.lastMonotonic = now;
        this.lastUnix = unix;
        return now + this.suspendedTime;
    }

    /** Monotonic time since the clocks last diverged, in milliseconds; infinite if they never did. */
    timeSinceSuspension(): Milliseconds {
        this.now();
        return this.clock.now() - this.lastDetectedAt;
    }
}
