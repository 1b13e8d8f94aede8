import type { Milliseconds, UnixMilliseconds } from "../../../util/clock.js";

/** Number of windows whose counts are retained; control processes seal a window long before it is dropped. */
const retainedWindows = 8;

type Counts = Readonly<Record<string, Readonly<Record<string, number>>>>;

interface UsageWindow {
    readonly calls: Map<string, number>;
    /** Version of the counts as of the last change in this window. */
    changedAtVersion: number;
}

/** Counts the calls that started to run, by usage window and team. */
export class UsageCounts {
    private readonly windows = new Map<number, UsageWindow>();
    private currentVersion = 0;

    /** @param windowLength Length of a window in milliseconds; windows are numbered from the Unix epoch. */
    constructor(private readonly windowLength: Milliseconds) {}

    /** Version of the counts; increases with every change. */
    get version(): number {
        return this.currentVersion;
    }

    /** Counts a call of a team that started to run. */
    recordStart(team: string, startedAt: UnixMilliseconds): void {
        const number = Math.floor(startedAt / this.windowLength);
        const window = this.windows.get(number) ?? { calls: new Map<string, number>(), changedAtVersion: 0 };
        this.windows.set(number, window);
        this.currentVersion++;
        window.calls.set(team, (window.calls.get(team) ?? 0) + 1);
        window.changedAtVersion = this.currentVersion;
        for (const known of this.windows.keys()) {
            if (known < number - retainedWindows) {
                this.windows.delete(known);
            }
        }
    }

    /** Cumulative counts of the retained windows that have changed since a version, by window number and team. */
    totalsSince(version: number): Counts {
        const changed = [...this.windows].filter(([, { changedAtVersion }]) => changedAtVersion > version);
        return Object.fromEntries(changed.map(([number, { calls }]) => [number, Object.fromEntries(calls)]));
    }
}
