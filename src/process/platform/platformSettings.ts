import type { Milliseconds } from "../../util/clock.js";

/** Timing of the leader's calls to the platform. */
export interface PlatformSettings {
    /** Delay before the first retry of a failed call, before jitter. */
    readonly shortestRetry: Milliseconds;
    /** Upper bound of the retry delay. */
    readonly longestRetry: Milliseconds;
    /** Interval between polls of an act in progress, and of the VM list. */
    readonly pollInterval: Milliseconds;
    /** Interval between checks of the replicated state for pending work. */
    readonly lookInterval: Milliseconds;
}

/** Settings used in a cluster. */
export const defaultPlatformSettings: PlatformSettings = {
    shortestRetry: 250,
    longestRetry: 10_000,
    pollInterval: 1_000,
    lookInterval: 100,
};

/**
 * Delay after the failure number `attempt` in a row (from 1): bounded exponential backoff with jitter over its upper half.
 *
 * @param fraction Random number of at least 0 and less than 1.
 */
export function retryPause(attempt: number, fraction: number, settings: PlatformSettings): Milliseconds {
    const full = Math.min(settings.longestRetry, settings.shortestRetry * 2 ** Math.min(attempt - 1, 20));
    return full * (0.5 + fraction / 2);
}
