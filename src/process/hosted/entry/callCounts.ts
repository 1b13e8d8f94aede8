import type { Milliseconds, UnixMilliseconds } from "../../../util/clock.js";

/** Windows for which counts are kept; control seals a window long before. */
const keptWindows = 8;

type Counts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** The counts of one window. */
interface Window {
    readonly calls: Map<string, number>;
    /** Version of all counts with which these last changed. */
    changedWith: number;
}

/** Counts the calls that began to run, by usage window and team. */
export class CallCounts {
    private readonly windows = new Map<number, Window>();
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
        const window = this.windows.get(number) ?? { calls: new Map<string, number>(), changedWith: 0 };
        this.windows.set(number, window);
        this.changed++;
        window.calls.set(team, (window.calls.get(team) ?? 0) + 1);
        window.changedWith = this.changed;
        for (const known of this.windows.keys()) {
            if (known < number - keptWindows) {
                this.windows.delete(known);
            }
        }
    }

    /** The counts, as running totals, of the kept windows that have changed since a version. */
    totalsSince(version: number): Counts {
        const changed = [...this.windows].filter(([, { changedWith }]) => changedWith > version);
        return Object.fromEntries(changed.map(([number, { calls }]) => [number, Object.fromEntries(calls)]));
    }
}
