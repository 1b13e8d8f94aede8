import type { Milliseconds } from "../../util/clock.js";

/**
 * Calls per second that an endpoint gets even if it states a lower limit: without any calls nobody would learn that its
 * limit has ended.
 */
export const minimumCallsPerSecond = 0.2;

/** Highest limit that is enforced; a higher one is treated like this one. */
export const maximumCallsPerSecond = 1_000_000;

/** Number of calls that may be granted at once to an endpoint that got none for a while. */
export const burstSize = 2;

/** Time after which an endpoint that got no call is sent one, so that its current limit becomes known. */
export const probeIdleTime: Milliseconds = 3_000;

/** The rate at which calls are granted for a stated limit; undefined stands for a limit that cannot be parsed. */
export function enforcedRate(callsPerSecond: number | undefined): number {
    return Math.min(maximumCallsPerSecond, Math.max(minimumCallsPerSecond, callsPerSecond ?? 0));
}
