import type { Milliseconds } from "../../util/clock.js";
import type { RequestClass } from "../../version/manifest.js";

/** Minimum retry-after time of a refusal, in milliseconds. */
export const minimumRetryAfter: Milliseconds = 1_000;

/** Maximum retry-after time of a refusal, in milliseconds. */
export const maximumRetryAfter: Milliseconds = 60_000;

/** Returns the maximum wait of a class in milliseconds: its setting, or else its total target. */
export function maximumWaitOf(requestClass: RequestClass): Milliseconds {
    return requestClass.maximumQueueMilliseconds ?? requestClass.target.totalMilliseconds;
}

/** Rounds up a retry-after time in milliseconds and limits it to the minimum and maximum. */
export function clampRetryAfter(computed: Milliseconds): Milliseconds {
    return Math.min(maximumRetryAfter, Math.max(minimumRetryAfter, Math.ceil(computed)));
}

/** Returns the expected time to serve a number of requests, in milliseconds; infinite if the rate is 0. */
export function drainTime(requests: number, requestsPerSecond: number): Milliseconds {
    if (requests === 0) {
        return 0;
    }
    return requestsPerSecond > 0 ? (requests / requestsPerSecond) * 1_000 : Infinity;
}
