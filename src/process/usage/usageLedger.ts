import { match } from "ts-pattern";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { IncarnationTable } from "./incarnationTable.js";
import type { IncarnationTableSnapshot } from "./incarnationTable.js";
import { OpenWindows } from "./openWindows.js";
import type { OpenWindowsSnapshot } from "./openWindows.js";
import type { RecordUsage, SealWindow, SetUsageWindow, UsageCommand } from "./usageCommand.js";
import type { UsageOutcomeOfCommand, UsageRefusalReason, UsageReported } from "./usageCommand.js";
import { decodeTotals, encodeTotals, isCountable } from "./usageTotals.js";
import type { EncodedTotals, UsageTotals } from "./usageTotals.js";
import { sealWindow, windowTotals } from "./usageWindow.js";
import type { UsageWindow } from "./usageWindow.js";

/** A window whose figures are fixed. */
export interface SealedWindow {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    readonly digest: string;
    readonly totals: UsageTotals;
    /** The bytes of the report; undefined once the platform has them. */
    readonly bytes: Uint8Array | undefined;
    /** When the platform took the report, or undefined. */
    readonly reportedAt: UnixMilliseconds | undefined;
}

/** Reported windows whose totals and digest are kept. */
export const retainedReportedWindows = 744;

/**
 * Section of the replicated state that counts usage: each record once, each window with one set of figures.
 *
 * Its methods depend on nothing but the commands, so that equal logs give equal states.
 */
export class UsageLedger {
    private readonly incarnationTable = new IncarnationTable();
    private readonly windows = new OpenWindows();
    private sealed: readonly SealedWindow[] = [];

    /** Process starts of entries. */
    get incarnations(): Pick<IncarnationTable, "find" | "running"> {
        return this.incarnationTable;
    }

    /** Length of windows that was set last, in milliseconds; undefined before the first. */
    get windowLength(): Milliseconds | undefined {
        return this.windows.length;
    }

    /** Applies the next command of the log. */
    apply(command: UsageCommand): UsageOutcomeOfCommand {
        return match(command)
            .with({ kind: "beginIncarnation" }, begin => this.incarnationTable.begin(begin))
            .with({ kind: "endIncarnation" }, end => this.incarnationTable.end(end))
            .with({ kind: "recordUsage" }, record => this.record(record))
            .with({ kind: "setUsageWindow" }, set => this.setWindow(set))
            .with({ kind: "sealWindow" }, seal => this.seal(seal))
            .with({ kind: "usageReported" }, reported => this.markReported(reported))
            .exhaustive();
    }

    /** The window that must be sealed next, with what was counted in it so far; undefined before the first length. */
    oldestOpenWindow(): UsageWindow | undefined {
        return this.windows.oldest === undefined ? undefined : this.windows.peekOldest();
    }

    /** Open windows that hold usage, oldest first. */
    openWindows(): readonly UsageWindow[] {
        return this.windows.list();
    }

    /** Sealed windows, oldest first. */
    sealedWindows(): readonly SealedWindow[] {
        return this.sealed;
    }

    /** The oldest sealed window that the platform has not taken yet. */
    nextUnreported(): SealedWindow | undefined {
        return this.sealed.find(window => window.reportedAt === undefined);
    }

    /** Plain data of the whole state. */
    snapshot(): UsageLedgerSnapshot {
        return {
            incarnations: this.incarnationTable.snapshot(),
            open: this.windows.snapshot(),
            sealed: this.sealed.map(window => ({ ...window, totals: encodeTotals(window.totals) })),
        };
    }

    /** Replaces the state by that of a snapshot. */
    restore(snapshot: UsageLedgerSnapshot): void {
        this.incarnationTable.restore(snapshot.incarnations);
        this.windows.restore(snapshot.open);
        this.sealed = snapshot.sealed.map(window => ({ ...window, totals: decodeTotals(window.totals) }));
    }

    private record(command: RecordUsage): UsageOutcomeOfCommand {
        const known = this.incarnationTable.find(command.incarnation);
        if (known === undefined) {
            return { kind: "incarnationUnknown" };
        }
        if (this.windows.oldest === undefined) {
            return refused("windowNotConfigured");
        }
        if (!Number.isSafeInteger(command.firstSequence) || !command.records.every(isCountable)) {
            return refused("malformedRecord");
        }
        if (command.firstSequence > known.through + 1) {
            return { kind: "gap", expected: known.through + 1 };
        }
        const fresh = command.records.slice(known.through + 1 - command.firstSequence);
        for (const record of fresh) {
            const finishedAt = Math.min(record.finishedAt, command.at);
            this.windows.add(record, finishedAt, time => this.originalWindow(time));
        }
        const through = known.through + fresh.length;
        this.incarnationTable.advance(command.incarnation, through);
        return { kind: "recorded", through };
    }

    private setWindow(command: SetUsageWindow): UsageOutcomeOfCommand {
        if (!Number.isSafeInteger(command.length) || command.length <= 0) {
            return refused("windowLengthInvalid");
        }
        this.windows.setLength(command.length, command.at);
        return { kind: "accepted" };
    }

    private seal(command: SealWindow): UsageOutcomeOfCommand {
        const earlier = this.sealed.find(window => window.start === command.window);
        if (earlier !== undefined) {
            return { kind: "sealed", window: earlier.start, digest: earlier.digest };
        }
        const oldest = this.oldestOpenWindow();
        if (oldest?.start !== command.window) {
            return refused("windowNotOldest");
        }
        if (command.at < oldest.end) {
            return refused("windowNotOver");
        }
        const window = this.windows.takeOldest();
        const { bytes, digest } = sealWindow(window);
        const totals = windowTotals(window);
        const { start, end } = window;
        this.sealed = [...this.sealed, { start, end, digest, totals, bytes, reportedAt: undefined }];
        return { kind: "sealed", window: start, digest };
    }

    private markReported(command: UsageReported): UsageOutcomeOfCommand {
        const window = this.sealed.find(candidate => candidate.start === command.window);
        if (window === undefined) {
            return refused("windowNotSealed");
        }
        if (window.digest !== command.digest) {
            return refused("digestDiffers");
        }
        if (window.reportedAt === undefined) {
            const reported = { ...window, bytes: undefined, reportedAt: command.at };
            this.sealed = this.sealed.map(candidate => candidate === window ? reported : candidate);
            this.forgetReported();
        }
        return { kind: "accepted" };
    }

    private forgetReported(): void {
        const reported = this.sealed.filter(window => window.reportedAt !== undefined);
        const surplus = new Set(reported.slice(0, Math.max(0, reported.length - retainedReportedWindows)));
        this.sealed = this.sealed.filter(window => !surplus.has(window));
    }

    /** Start of the sealed window that contains a time; beyond the retained ones, by the length of the oldest known. */
    private originalWindow(time: UnixMilliseconds): UnixMilliseconds {
        const holder = this.sealed.find(window => window.start <= time && time < window.end);
        if (holder !== undefined) {
            return holder.start;
        }
        const oldest = this.sealed[0] ?? this.windows.peekOldest();
        const length = oldest.end - oldest.start;
        return oldest.start + Math.floor((time - oldest.start) / length) * length;
    }
}

/** Plain data of {@link UsageLedger}. */
export interface UsageLedgerSnapshot {
    readonly incarnations: IncarnationTableSnapshot;
    readonly open: OpenWindowsSnapshot;
    readonly sealed: readonly (Omit<SealedWindow, "totals"> & { readonly totals: EncodedTotals; })[];
}

function refused(reason: UsageRefusalReason): UsageOutcomeOfCommand {
    return { kind: "refused", reason };
}
