import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { UsageRecord } from "./usageCommand.js";
import { addTotals, decodeTotals, encodeTotals, zeroTotals } from "./usageTotals.js";
import type { EncodedTotals } from "./usageTotals.js";
import { createLineKey, lineSortKey } from "./usageWindow.js";
import type { UsageLine, UsageLineKey, UsageWindow } from "./usageWindow.js";

/** Consecutive windows of equal length, the first of which begins at `start`. */
export interface WindowGrid {
    readonly start: UnixMilliseconds;
    readonly length: Milliseconds;
}

/** Unsealed usage by window; windows without usage are not stored. */
export class OpenWindows {
    /** Grids in order of their start; each applies until the start of the next. */
    private grids: readonly WindowGrid[] = [];
    private readonly linesByWindow = new Map<UnixMilliseconds, Map<string, UsageLine>>();

    /** Start of the oldest open window; undefined until a length has been set. */
    get oldestStart(): UnixMilliseconds | undefined {
        return this.grids[0]?.start;
    }

    /** Window length that was set last; undefined until one has been set. */
    get currentLength(): Milliseconds | undefined {
        return this.grids.at(-1)?.length;
    }

    /** Sets the window length, which applies after the last window that contains usage or `now`. */
    setLength(length: Milliseconds, now: UnixMilliseconds): void {
        const lastGrid = this.grids.at(-1);
        if (lastGrid === undefined) {
            this.grids = [{ start: Math.floor(now / length) * length, length }];
            return;
        }
        if (lastGrid.length === length) {
            return;
        }
        const newest = Math.max(now, lastGrid.start, ...this.linesByWindow.keys());
        this.grids = [...this.grids, { start: this.windowAt(newest).end, length }];
    }

    /**
     * Counts a record in the window that contains `finishedAt`, or in the oldest open window as a correction.
     *
     * @param finishedAt When the requests ended, no later than the record was received.
     * @param findSealedWindowStart Returns the start of the sealed window that contains a time.
     */
    add(
        record: UsageRecord,
        finishedAt: UnixMilliseconds,
        findSealedWindowStart: (time: UnixMilliseconds) => UnixMilliseconds,
    ): void {
        const oldest = this.oldestStart ?? 0;
        const isLate = finishedAt < oldest;
        const window = this.windowAt(isLate ? oldest : finishedAt);
        const key = createLineKey(record, isLate ? findSealedWindowStart(finishedAt) : undefined);
        const lines = this.linesByWindow.get(window.start) ?? new Map<string, UsageLine>();
        const previousTotals = lines.get(lineSortKey(key))?.totals ?? zeroTotals;
        lines.set(lineSortKey(key), { ...key, totals: addTotals(previousTotals, record) });
        this.linesByWindow.set(window.start, lines);
    }

    /** Returns the oldest open window with its usage so far. */
    peekOldest(): UsageWindow {
        return this.windowAt(this.oldestStart ?? 0);
    }

    /** Removes and returns the oldest open window. */
    takeOldest(): UsageWindow {
        const window = this.peekOldest();
        this.linesByWindow.delete(window.start);
        const current = { ...this.gridAt(window.start), start: window.end };
        const later = this.grids.filter(grid => grid.start > window.start);
        this.grids = later[0]?.start === window.end ? later : [current, ...later];
        return window;
    }

    /** Returns the open windows that contain usage, oldest first. */
    listNonEmpty(): readonly UsageWindow[] {
        return [...this.linesByWindow.keys()].sort((left, right) => left - right).map(start => this.windowAt(start));
    }

    /** Returns the whole state as plain data. */
    snapshot(): OpenWindowsSnapshot {
        const windows = this.listNonEmpty().map(window => ({
            start: window.start,
            lines: window.lines.map(({ totals, ...key }) => ({ key, totals: encodeTotals(totals) })),
        }));
        return { grids: this.grids, windows };
    }

    /** Replaces the state with a snapshot. */
    restore(snapshot: OpenWindowsSnapshot): void {
        this.grids = snapshot.grids;
        this.linesByWindow.clear();
        for (const window of snapshot.windows) {
            const lines = window.lines.map(({ key, totals }) => ({ ...key, totals: decodeTotals(totals) }));
            this.linesByWindow.set(window.start, new Map(lines.map(line => [lineSortKey(line), line])));
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
        return { start, end, lines: [...(this.linesByWindow.get(start)?.values() ?? [])] };
    }
}

/** Stored state of {@link OpenWindows}. */
export interface OpenWindowsSnapshot {
    readonly grids: readonly WindowGrid[];
    readonly windows: readonly {
        readonly start: UnixMilliseconds;
        readonly lines: readonly { readonly key: UsageLineKey; readonly totals: EncodedTotals; }[];
    }[];
}
