import { match } from "ts-pattern";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { IncarnationTable } from "./incarnationTable.js";
import type { IncarnationTableSnapshot } from "./incarnationTable.js";
import { OpenWindows } from "./openWindows.js";
import type { OpenWindowsSnapshot } from "./openWindows.js";
import type { RecordUsage, SealWindow, SetUsageWindow, UsageCommand } from "./usageCommand.js";
import type { UsageCommandOutcome, UsageRefusalReason, UsageReported } from "./usageCommand.js";
import { decodeTotals, encodeTotals, isValidUsageRecord } from "./usageTotals.js";
import type { EncodedTotals, UsageTotals } from "./usageTotals.js";
import { encodeWindow, windowTotals } from "./usageWindow.js";
import type { UsageWindow } from "./usageWindow.js";

/** A window whose usage can no longer change. */
export interface SealedWindow {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    readonly digest: string;
    readonly totals: UsageTotals;
    /** The report; undefined once the platform has accepted it. */
    readonly bytes: Uint8Array | undefined;
    /** When the platform accepted the report; undefined before that. */
    readonly reportedAt: UnixMilliseconds | undefined;
}

/** Number of most recent reported windows whose totals and digests are kept. */
export const retainedReportedWindows = 744;

/**
 * Section of the replicated state that counts usage: each record exactly once, in windows that are sealed and reported.
 *
 * The state is a deterministic function of the commands, so that equal logs give equal states.
 */
export class UsageLedger {
    private readonly incarnationTable = new IncarnationTable();
    private readonly windows = new OpenWindows();
    private sealed: readonly SealedWindow[] = [];

    /** Incarnations of entries. */
    get incarnations(): Pick<IncarnationTable, "find" | "running"> {
        return this.incarnationTable;
    }

    /** Window length that was set last, in milliseconds; undefined until one has been set. */
    get windowLength(): Milliseconds | undefined {
        return this.windows.currentLength;
    }

    /** Applies the next command of the replicated log. */
    apply(command: UsageCommand): UsageCommandOutcome {
        return match(command)
            .with({ kind: "beginIncarnation" }, begin => this.incarnationTable.begin(begin))
            .with({ kind: "endIncarnation" }, end => this.incarnationTable.end(end))
            .with({ kind: "recordUsage" }, record => this.recordUsage(record))
            .with({ kind: "setUsageWindow" }, set => this.setWindowLength(set))
            .with({ kind: "sealWindow" }, seal => this.seal(seal))
            .with({ kind: "usageReported" }, reported => this.markReported(reported))
            .exhaustive();
    }

    /** Returns the window to be sealed next, with its usage so far; undefined until a length has been set. */
    oldestOpenWindow(): UsageWindow | undefined {
        return this.windows.oldestStart === undefined ? undefined : this.windows.peekOldest();
    }

    /** Returns the open windows that contain usage, oldest first. */
    openWindows(): readonly UsageWindow[] {
        return this.windows.listNonEmpty();
    }

    /** Returns the sealed windows, oldest first. */
    sealedWindows(): readonly SealedWindow[] {
        return this.sealed;
    }

    /** Returns the oldest sealed window whose report the platform has not accepted yet, or undefined. */
    nextUnreported(): SealedWindow | undefined {
        return this.sealed.find(window => window.reportedAt === undefined);
    }

    /** Returns the whole state as plain data. */
    snapshot(): UsageLedgerSnapshot {
        return {
            incarnations: this.incarnationTable.snapshot(),
            open: this.windows.snapshot(),
            sealed: this.sealed.map(window => ({ ...window, totals: encodeTotals(window.totals) })),
        };
    }

    /** Replaces the state with a snapshot. */
    restore(snapshot: UsageLedgerSnapshot): void {
        this.incarnationTable.restore(snapshot.incarnations);
        this.windows.restore(snapshot.open);
        this.sealed = snapshot.sealed.map(window => ({ ...window, totals: decodeTotals(window.totals) }));
    }

    private recordUsage(command: RecordUsage): UsageCommandOutcome {
        const incarnation = this.incarnationTable.find(command.incarnation);
        if (incarnation === undefined) {
            return { kind: "incarnationUnknown" };
        }
        if (this.windows.oldestStart === undefined) {
            return createRefusal("windowNotConfigured");
        }
        if (!Number.isSafeInteger(command.firstSequence) || !command.records.every(isValidUsageRecord)) {
            return createRefusal("malformedRecord");
        }
        if (command.firstSequence > incarnation.through + 1) {
            return { kind: "gap", expected: incarnation.through + 1 };
        }
        const newRecords = command.records.slice(incarnation.through + 1 - command.firstSequence);
        for (const record of newRecords) {
            const finishedAt = Math.min(record.finishedAt, command.at);
            this.windows.add(record, finishedAt, time => this.findSealedWindowStart(time));
        }
        const through = incarnation.through + newRecords.length;
        this.incarnationTable.advance(command.incarnation, through);
        return { kind: "recorded", through };
    }

    private setWindowLength(command: SetUsageWindow): UsageCommandOutcome {
        if (!Number.isSafeInteger(command.length) || command.length <= 0) {
            return createRefusal("windowLengthInvalid");
        }
        this.windows.setLength(command.length, command.at);
        return { kind: "accepted" };
    }

    private seal(command: SealWindow): UsageCommandOutcome {
        const alreadySealed = this.sealed.find(window => window.start === command.window);
        if (alreadySealed !== undefined) {
            return { kind: "sealed", window: alreadySealed.start, digest: alreadySealed.digest };
        }
        const oldest = this.oldestOpenWindow();
        if (oldest?.start !== command.window) {
            return createRefusal("windowNotOldest");
        }
        if (command.at < oldest.end) {
            return createRefusal("windowNotOver");
        }
        const window = this.windows.takeOldest();
        const { bytes, digest } = encodeWindow(window);
        const totals = windowTotals(window);
        const { start, end } = window;
        this.sealed = [...this.sealed, { start, end, digest, totals, bytes, reportedAt: undefined }];
        return { kind: "sealed", window: start, digest };
    }

    private markReported(command: UsageReported): UsageCommandOutcome {
        const window = this.sealed.find(candidate => candidate.start === command.window);
        if (window === undefined) {
            return createRefusal("windowNotSealed");
        }
        if (window.digest !== command.digest) {
            return createRefusal("digestDiffers");
        }
        if (window.reportedAt === undefined) {
            const reported = { ...window, bytes: undefined, reportedAt: command.at };
            this.sealed = this.sealed.map(candidate => candidate === window ? reported : candidate);
            this.removeSurplusReported();
        }
        return { kind: "accepted" };
    }

    private removeSurplusReported(): void {
        const reported = this.sealed.filter(window => window.reportedAt !== undefined);
        const surplus = new Set(reported.slice(0, Math.max(0, reported.length - retainedReportedWindows)));
        this.sealed = this.sealed.filter(window => !surplus.has(window));
    }

    /** Start of the sealed window that contains a time; extrapolated from the oldest known window if it was removed. */
    private findSealedWindowStart(time: UnixMilliseconds): UnixMilliseconds {
        const sealedWindow = this.sealed.find(window => window.start <= time && time < window.end);
        if (sealedWindow !== undefined) {
            return sealedWindow.start;
        }
        const oldest = this.sealed[0] ?? this.windows.peekOldest();
        const length = oldest.end - oldest.start;
        return oldest.start + Math.floor((time - oldest.start) / length) * length;
    }
}

/** Stored state of {@link UsageLedger}. */
export interface UsageLedgerSnapshot {
    readonly incarnations: IncarnationTableSnapshot;
    readonly open: OpenWindowsSnapshot;
    readonly sealed: readonly (Omit<SealedWindow, "totals"> & { readonly totals: EncodedTotals; })[];
}

function createRefusal(reason: UsageRefusalReason): UsageCommandOutcome {
    return { kind: "refused", reason };
}
