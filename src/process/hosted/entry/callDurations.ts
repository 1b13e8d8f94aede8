import type { Milliseconds } from "../../../util/clock.js";

/** Time for which a duration counts at least; it is forgotten after at most twice as long. */
const retentionPeriod: Milliseconds = 300_000;

/** Multiple of the longest delivered call's duration from which on another call makes the longest duration unknown. */
const outlierFactor = 1.5;

/** Maximum number of routes; the one that was used least recently is forgotten first. */
const maximumRoutes = 1_024;

/** A call that is under way, from its first dispatch on. */
export interface MeasuredCall {
    readonly route: string;
    readonly startedAt: Milliseconds;
}

/** Longest durations of a route in two successive retention periods. */
interface RouteDurations {
    readonly periodStart: Milliseconds;
    readonly current: LongestDurations;
    readonly previous: LongestDurations;
}

/** Longest durations of calls by how they ended; undefined if none did. */
interface LongestDurations {
    /** Of calls whose response was delivered whole. */
    readonly delivered: Milliseconds | undefined;
    /** Of calls that ended in another way, and might have taken longer. */
    readonly unfinished: Milliseconds | undefined;
}

const noDurations: LongestDurations = { delivered: undefined, unfinished: undefined };

/** How long calls of each route take, from their first dispatch to the end of their response. */
export class CallDurations {
    private readonly byRoute = new Map<string, RouteDurations>();
    private readonly runningCalls = new Set<MeasuredCall>();

    begin(route: string, now: Milliseconds): MeasuredCall {
        const call = { route, startedAt: now };
        this.runningCalls.add(call);
        return call;
    }

    /** Records that a call has ended; `delivered`: its response was delivered whole. */
    end(call: MeasuredCall, outcome: keyof LongestDurations, now: Milliseconds): void {
        this.runningCalls.delete(call);
        const { periodStart, current, previous } = this.durationsAt(call.route, now);
        const longest = Math.max(current[outcome] ?? 0, now - call.startedAt);
        this.byRoute.delete(call.route);
        this.byRoute.set(call.route, { periodStart, current: { ...current, [outcome]: longest }, previous });
        const [oldestRoute] = this.byRoute.keys();
        if (this.byRoute.size > maximumRoutes && oldestRoute !== undefined) {
            this.byRoute.delete(oldestRoute);
        }
    }

    /** Forgets a call that has not run. */
    discard(call: MeasuredCall): void {
        this.runningCalls.delete(call);
    }

    /**
     * The longest time that a call of the route has taken recently or takes already; undefined if none was delivered, or
     * if another call lasts or lasted so much longer than those that its full duration cannot be told.
     */
    longest(route: string, now: Milliseconds): Milliseconds | undefined {
        const { current, previous } = this.durationsAt(route, now);
        const delivered = longerOf(current.delivered, previous.delivered);
        const unfinished = longerOf(current.unfinished, previous.unfinished) ?? 0;
        const runningTimes = [...this.runningCalls]
            .filter(call => call.route === route)
            .map(({ startedAt }) => now - startedAt);
        const longestOther = Math.max(unfinished, ...runningTimes);
        return delivered !== undefined && longestOther < delivered * outlierFactor
            ? Math.max(delivered, longestOther)
            : undefined;
    }

    private durationsAt(route: string, now: Milliseconds): RouteDurations {
        const durations = this.byRoute.get(route);
        if (durations === undefined || now - durations.periodStart >= 2 * retentionPeriod) {
            return { periodStart: now, current: noDurations, previous: noDurations };
        }
        return now - durations.periodStart >= retentionPeriod
            ? {
                periodStart: durations.periodStart + retentionPeriod,
                current: noDurations,
                previous: durations.current,
            }
            : durations;
    }
}

function longerOf(first: Milliseconds | undefined, second: Milliseconds | undefined): Milliseconds | undefined {
    return first === undefined || second === undefined ? first ?? second : Math.max(first, second);
}
