import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";

/** How long the longest patience of a route's callers is remembered. */
const memory: Milliseconds = 60_000;

/** Part of the longest patience below which a call is taken for one that has come back. */
const freshFraction = 0.95;

interface LongestPatience {
    readonly patience: Milliseconds;
    readonly seenAt: Milliseconds;
}

/**
 * Answers the load pattern "refused callers come back".
 *
 * A call that comes back has a new identity, but less patience than a fresh one of the same route.
 */
export class PatienceRecord {
    private readonly longest = new Map<string, LongestPatience>();

    /** Notes a call's patience and says whether the call seems to have come back. */
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
