import type { Milliseconds } from "../../util/clock.js";
import type { RequestClass } from "../../version/manifest.js";

/** Shortest time that a refusal tells a caller to stay away, in milliseconds. */
export const shortestRetryAfter: Milliseconds = 1_000;

/** Longest time that a refusal tells a caller to stay away, in milliseconds. */
export const longestRetryAfter: Milliseconds = 60_000;

/** The longest wait of a class: its own setting, or else its whole target. */
export function maximumWaitOf(requestClass: RequestClass): Milliseconds {
    return requestClass.maximumQueueMilliseconds ?? requestClass.target.totalMilliseconds;
}

/** Confines a computed retry-after to sensible bounds. */
export function clampRetryAfter(computed: Milliseconds): Milliseconds {
    return Math.min(longestRetryAfter, Math.max(shortestRetryAfter, Math.ceil(computed)));
}

/** Expected time until a number of requests has been served, in milliseconds; infinite where nothing is served. */
export function drainTime(requests: number, requestsPerSecond: number): Milliseconds {
    if (requests === 0) {
        return 0;
    }
    return requestsPerSecond > 0 ? (requests / requestsPerSecond) * 1_000 : Infinity;
}
