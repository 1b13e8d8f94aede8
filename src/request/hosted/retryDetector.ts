import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";

/** Maximum age of the longest caller timeout of a route. */
const longestTimeoutMaximumAge: Milliseconds = 60_000;

/** Fraction of the longest caller timeout below which a call is taken for a retry. */
const firstCallFraction = 0.95;

interface LongestTimeout {
    readonly remainingTime: Milliseconds;
    readonly observedAt: Milliseconds;
}

/**
 * Detects calls that are retries of refused ones.
 *
 * A caller's retry has a new call identifier, but a shorter remaining time than first calls of the same route.
 */
export class RetryDetector {
    private readonly longestTimeouts = new Map<string, LongestTimeout>();

    /** Records a call's remaining time, and returns whether the call appears to be a retry. */
    isLikelyRetry(route: DeployedRoute, remainingTime: Milliseconds | undefined, now: Milliseconds): boolean {
        if (remainingTime === undefined) {
            return false;
        }
        const known = this.longestTimeouts.get(route.name);
        if (
            known === undefined || remainingTime >= known.remainingTime
            || now - known.observedAt > longestTimeoutMaximumAge
        ) {
            this.longestTimeouts.set(route.name, { remainingTime, observedAt: now });
            return false;
        }
        return remainingTime < known.remainingTime * firstCallFraction;
    }
}
