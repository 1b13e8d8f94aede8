import type { Milliseconds } from "../../../util/clock.js";

/** Number of the newest durations of a route that are kept. */
const keptDurations = 32;

/** Maximum number of routes; the one that was used least recently is forgotten first. */
const maximumRoutes = 1_024;

/** The kept durations that an expected duration covers, as a fraction. */
const coveredFraction = 0.9;

/** How long the newest calls of each route took, from their dispatch to the end of their response. */
export class CallDurations {
    private readonly byRoute = new Map<string, readonly Milliseconds[]>();

    /** Records the duration of a call with a complete response. */
    record(route: string, duration: Milliseconds): void {
        const durations = [...this.byRoute.get(route) ?? [], duration].slice(-keptDurations);
        this.byRoute.delete(route);
        this.byRoute.set(route, durations);
        const [oldestRoute] = this.byRoute.keys();
        if (this.byRoute.size > maximumRoutes && oldestRoute !== undefined) {
            this.byRoute.delete(oldestRoute);
        }
    }

    /** The time that most calls of a route take; undefined if none has been recorded. */
    expected(route: string): Milliseconds | undefined {
        const durations = [...this.byRoute.get(route) ?? []].sort((a, b) => a - b);
        return durations[Math.ceil(durations.length * coveredFraction) - 1];
    }
}
