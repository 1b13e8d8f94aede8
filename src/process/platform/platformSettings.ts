import type { Milliseconds } from "../../util/clock.js";

/** How the leader deals with the platform. */
export interface PlatformSettings {
    /** Shortest pause before an act is repeated. */
    readonly shortestRetry: Milliseconds;
    /** Longest pause before an act is repeated. */
    readonly longestRetry: Milliseconds;
    /** Pause between questions about an act that goes on. */
    readonly pollInterval: Milliseconds;
    /** Pause between looks at the state for something to do. */
    readonly lookInterval: Milliseconds;
}

/** The settings of a cluster. */
export const defaultPlatformSettings: PlatformSettings = {
    shortestRetry: 250,
    longestRetry: 10_000,
    pollInterval: 1_000,
    lookInterval: 100,
};

/** The pause before attempt number `attempt` (from 1): doubling, bounded, with half of it at random. */
export function retryPause(attempt: number, fraction: number, settings: PlatformSettings): Milliseconds {
    const full = Math.min(settings.longestRetry, settings.shortestRetry * 2 ** Math.min(attempt - 1, 20));
    return full * (0.5 + fraction / 2);
}
