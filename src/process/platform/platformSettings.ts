import type { Milliseconds } from "../../util/clock.js";

/** Timing of the leader's calls to the platform. */
export interface PlatformSettings {
    /** Delay before the first retry of a failed call, before jitter. */
    readonly firstRetryDelay: Milliseconds;
    /** Upper bound of the retry delay. */
    readonly maximumRetryDelay: Milliseconds;
    /** Interval between polls of an act in progress, and of the VM list. */
    readonly pollInterval: Milliseconds;
    /** Interval between checks of the replicated state for pending work. */
    readonly checkInterval: Milliseconds;
}

/** Settings used outside tests. */
export const defaultPlatformSettings: PlatformSettings = {
    firstRetryDelay: 250,
    maximumRetryDelay: 10_000,
    pollInterval: 1_000,
    checkInterval: 100,
};

/**
 * Delay after the consecutive failure number `attempt` (from 1): bounded exponential backoff with jitter of up to half.
 *
 * @param randomFraction Random number of at least 0 and less than 1.
 */
export function retryDelay(attempt: number, randomFraction: number, settings: PlatformSettings): Milliseconds {
    const delay = Math.min(settings.maximumRetryDelay, settings.firstRetryDelay * 2 ** Math.min(attempt - 1, 20));
    return delay * (0.5 + randomFraction / 2);
}
