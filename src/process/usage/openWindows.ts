import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { UsageRecord } from "./usageCommand.js";
import { addTotals, decodeTotals, encodeTotals, zeroTotals } from "./usageTotals.js";
import type { EncodedTotals } from "./usageTotals.js";
import { lineKeyOf, lineOrder } from "./usageWindow.js";
import type { UsageLine, UsageLineKey, UsageWindow } from "./usageWindow.js";

/** Windows of equal length that follow each other from `start`. */
export interface WindowGrid {
    readonly start: UnixMilliseconds;
    readonly length: Milliseconds;
}

/** The usage that is not yet sealed, by window; windows without usage take no room. */
export class OpenWindows {
    /** Grids in order of their start; a later one takes over from its start on. */
    private grids: readonly WindowGrid[] = [];
    private readonly lines = new Map<UnixMilliseconds, Map<string, UsageLine>>();

    /** Start of the oldest open window, or undefined before the first length was set. */
    get oldest(): UnixMilliseconds | undefined {
        return this.grids[0]?.start;
    }

    /** Length that was set last, or undefined before the first. */
    get length(): Milliseconds | undefined {
        return this.grids.at(-1)?.length;
    }

    /** Sets the length of the windows after the last one that holds usage or contains `now`. */
    setLength(length: Milliseconds, now: UnixMilliseconds): void {
        const last = this.grids.at(-1);
        if (last === undefined) {
            this.grids = [{ start: Math.floor(now / length) * length, length }];
            return;
        }
        if (last.length === length) {
            return;
        }
        const newest = Math.max(now, last.start, ...this.lines.keys());
        this.grids = [...this.grids, { start: this.windowAt(newest).end, length }];
    }

    /**
     * Counts a record in the window that contains its end, or as a correction in the oldest open window.
     *
     * @param finishedAt When the requests ended, never after the record was received.
     * @param originalWindow Finds the start of the sealed window that contains a time.
     */
    add(
        record: UsageRecord,
        finishedAt: UnixMilliseconds,
        originalWindow: (time: UnixMilliseconds) => UnixMilliseconds,
    ): void {
        const oldest = this.oldest ?? 0;
        const late = finishedAt < oldest;
        const window = this.windowAt(late ? oldest : finishedAt);
        const key = lineKeyOf(record, late ? originalWindow(finishedAt) : undefined);
        const lines = this.lines.get(window.start) ?? new Map<string, UsageLine>();
        const before = lines.get(lineOrder(key))?.totals ?? zeroTotals;
        lines.set(lineOrder(key), { ...key, totals: addTotals(before, record) });
        this.lines.set(window.start, lines);
    }

    /** The oldest open window with what was counted in it so far. */
    peekOldest(): UsageWindow {
        return this.windowAt(this.oldest ?? 0);
    }

    /** Removes and returns the oldest open window. */
    takeOldest(): UsageWindow {
        const window = this.peekOldest();
        this.lines.delete(window.start);
        const current = { ...this.gridAt(window.start), start: window.end };
        const later = this.grids.filter(grid => grid.start > window.start);
        this.grids = later[0]?.start === window.end ? later : [current, ...later];
        return window;
    }

    /** Every open window that holds usage, oldest first. */
    list(): readonly UsageWindow[] {
        return [...this.lines.keys()].sort((left, right) => left - right).map(start => this.windowAt(start));
    }

    /** Plain data of the whole state. */
    snapshot(): OpenWindowsSnapshot {
        const windows = this.list().map(window => ({
            start: window.start,
            lines: window.lines.map(({ totals, ...key }) => ({ key, totals: encodeTotals(totals) })),
        }));
        return { grids: this.grids, windows };
    }

    /** Replaces the state by that of a snapshot. */
    restore(snapshot: OpenWindowsSnapshot): void {
        this.grids = snapshot.grids;
        this.lines.clear();
        for (const window of snapshot.windows) {
            const lines = window.lines.map(({ key, totals }) => ({ ...key, totals: decodeTotals(totals) }));
            this.lines.set(window.start, new Map(lines.map(line => [lineOrder(line), line])));
        }
    }

    private gridAt(time: UnixMilliseconds): WindowGrid {
        return this.grids.findLast(grid => grid.start <= time) ?? { start: 0, length: 1 };
    }

    private windowAt(time: UnixMilliseconds): UsageWindow {
        const grid = this.gridAt(time);
        const start = grid.start + Math.floor((time - grid.start) / grid.length) * grid.length;
        const next = this.grids.find(later => later.start > start);
        const end = Math.min(start + grid.length, next?.start ?? Number.MAX_SAFE_INTEGER);
        return { start, end, lines: [...(this.lines.get(start)?.values() ?? [])] };
    }
}

/** Plain data of {@link OpenWindows}. */
export interface OpenWindowsSnapshot {
    readonly grids: readonly WindowGrid[];
    readonly windows: readonly {
        readonly start: UnixMilliseconds;
        readonly lines: readonly { readonly key: UsageLineKey; readonly totals: EncodedTotals; }[];
    }[];
}
