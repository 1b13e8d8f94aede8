import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";

/** Maximum age of the longest caller timeout of a route. */
const memory: Milliseconds = 60_000;

/** Fraction of the longest caller timeout below which a call is taken for a retry. */
const freshFraction = 0.95;

interface LongestPatience {
    readonly patience: Milliseconds;
    readonly seenAt: Milliseconds;
}

/**
 * Detects calls that are retries of refused ones.
 *
 * A caller's retry has a new call identifier, but a shorter remaining time than first calls of the same route.
 */
export class PatienceRecord {
    private readonly longest = new Map<string, LongestPatience>();

    /** Records a call's remaining time, and returns whether the call appears to be a retry. */
    isReturning(route: DeployedRoute, patience: Milliseconds | undefined, now: Milliseconds): boolean {
        if (patience === undefined) {
            return false;
        }
        const known = this.longest.get(route.name);
        if (known === undefined || patience >= known.patience || now - known.seenAt > memory) {
            this.longest.set(route.name, { patience, seenAt: now });
            return false;
        }
        return patience < known.patience * freshFraction;
    }
}
