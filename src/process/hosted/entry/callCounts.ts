import type { Milliseconds, UnixMilliseconds } from "../../../util/clock.js";

/** Number of windows whose counts are retained; control processes seal a window long before it is dropped. */
const keptWindows = 8;

type Counts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** The counts of one window. */
interface Window {
    readonly calls: Map<string, number>;
    /** Version of the counts as of the last change in this window. */
    changedWith: number;
}

/** Counts the calls that started to run, by usage window and team. */
export class CallCounts {
    private readonly windows = new Map<number, Window>();
    private changed = 0;

    /** @param windowLength Length of a window in milliseconds; windows are numbered from the Unix epoch. */
    constructor(private readonly windowLength: Milliseconds) {}

    /** Version of the counts; increases with every change. */
    get version(): number {
        return this.changed;
    }

    /** Counts a call of a team that started to run. */
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

    /** Cumulative counts of the retained windows that have changed since a version, by window number and team. */
    totalsSince(version: number): Counts {
        const changed = [...this.windows].filter(([, { changedWith }]) => changedWith > version);
        return Object.fromEntries(changed.map(([number, { calls }]) => [number, Object.fromEntries(calls)]));
    }
}
