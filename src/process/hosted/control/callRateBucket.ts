import type { Milliseconds } from "../../../util/clock.js";
import { burstSize } from "../rateLimitPolicy.js";

/** Result of a request for one call: granted after a delay, or denied with the time until one could be granted. */
export interface BucketDecision {
    readonly isGranted: boolean;
    readonly delay: Milliseconds;
}

/**
 * Leaky bucket of granted calls, which leaks at a rate that may change.
 *
 * Its level exceeds the burst size while calls are granted in advance. It starts full, because calls that were granted
 * before it existed are not known.
 */
export class CallRateBucket {
    private level = burstSize;
    private updatedAt: Milliseconds;

    constructor(now: Milliseconds) {
        this.updatedAt = now;
    }

    /** Lets the bucket leak until now, in calls per second. */
    leak(callsPerSecond: number, now: Milliseconds): void {
        const elapsed = Math.max(0, now - this.updatedAt);
        this.level = Math.max(0, this.level - callsPerSecond * elapsed / 1_000);
        this.updatedAt = Math.max(this.updatedAt, now);
    }

    /** Takes one call if its delay is at most `maximumDelay`. */
    take(callsPerSecond: number, maximumDelay: Milliseconds, now: Milliseconds): BucketDecision {
        this.leak(callsPerSecond, now);
        const delay = Math.max(0, (this.level + 1 - burstSize) / callsPerSecond * 1_000);
        const isGranted = delay <= maximumDelay;
        this.level += isGranted ? 1 : 0;
        return { isGranted, delay };
    }
}
