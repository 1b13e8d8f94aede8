import type { Milliseconds, UnixMilliseconds } from "../../../util/clock.js";

/** Windows for which counts are kept; control seals a window long before. */
const keptWindows = 8;

type Counts = Record<string, Record<string, number>>;

/** Counts the calls that began to run, by usage window and team. */
export class CallCounts {
    private readonly windows = new Map<number, Map<string, number>>();
    private changed = 0;

    /** @param windowLength Length of a window in milliseconds; windows are counted from 1970. */
    constructor(private readonly windowLength: Milliseconds) {}

    /** Rises whenever a count changes. */
    get version(): number {
        return this.changed;
    }

    /** Counts a call of a team that began to run. */
    noteBegun(team: string, at: UnixMilliseconds): void {
        const number = Math.floor(at / this.windowLength);
        const window = this.windows.get(number) ?? new Map<string, number>();
        window.set(team, (window.get(team) ?? 0) + 1);
        this.windows.set(number, window);
        this.changed++;
        for (const known of this.windows.keys()) {
            if (known < number - keptWindows) {
                this.windows.delete(known);
            }
        }
    }

    /** The counts of the kept windows, as running totals. */
    totals(): Counts {
        const totals: Counts = {};
        for (const [number, teams] of this.windows) {
            totals[String(number)] = Object.fromEntries(teams);
        }
        return totals;
    }
}
