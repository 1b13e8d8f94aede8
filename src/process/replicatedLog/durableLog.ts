import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { GroupFiles } from "./groupFiles.js";
import type { LogEntry } from "./logEntry.js";
import { entryBytes } from "./logEntry.js";
import type { LogBase } from "./logSegments.js";
import { LogSegments } from "./logSegments.js";
import { loadSnapshot, saveSnapshot } from "./logSnapshot.js";
import type { LogSnapshot } from "./logSnapshot.js";
import type { Membership } from "./membership.js";
import { emptyMembership } from "./membership.js";

/** An entry that fixes the membership. */
type MembershipEntry = Extract<LogEntry, { readonly kind: "membership"; }>;

/**
 * The entries of one member: in memory from the base on, and durable up to {@link syncedPosition}.
 *
 * Its changing methods must run one after the other; the caller's serial queue sees to that.
 */
export class DurableLog {
    private membershipEntries: readonly MembershipEntry[];

    private constructor(
        private readonly files: GroupFiles,
        private readonly segments: LogSegments,
        private base: LogBase,
        private entries: LogEntry[],
        private newestSnapshot: LogSnapshot | undefined,
        private synced: number,
    ) {
        this.membershipEntries = membershipEntriesOf(entries);
    }

    /** Reads the log of a group. A group without any file gets a first segment. */
    static async open(files: GroupFiles, isNew: boolean): Promise<Result<DurableLog, Failure>> {
        const snapshot = await loadSnapshot(files);
        if (snapshot.err) {
            return snapshot;
        }
        const segments = new LogSegments(files);
        const stored = await segments.load();
        if (stored.err) {
            return stored;
        }
        const { base, entries } = stored.val;
        const log = new DurableLog(files, segments, base, [...entries], snapshot.val, base.position + entries.length);
        const ready = segments.empty ? await log.startEmpty(isNew) : await log.joinSnapshot();
        return ready.ok ? Ok(log) : ready;
    }

    /** Position before the first entry that is kept. */
    get basePosition(): number {
        return this.base.position;
    }

    /** Position of the last entry, durable or not; 0 when there is none. */
    get lastPosition(): number {
        return this.base.position + this.entries.length;
    }

    /** Term of the last entry. */
    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.term;
    }

    /** Position up to which the entries are durable. */
    get syncedPosition(): number {
        return this.synced;
    }

    /** The newest durable snapshot. */
    get snapshot(): LogSnapshot | undefined {
        return this.newestSnapshot;
    }

    /** The membership in force: that of the newest membership entry, committed or not (Raft dissertation §4.1). */
    get membership(): Membership {
        return this.membershipAt(this.lastPosition);
    }

    /** Position of the newest membership entry; 0 when only a snapshot tells the membership. */
    get membershipPosition(): number {
        return this.membershipEntries.at(-1)?.position ?? 0;
    }

    /** The membership that was in force at a position. */
    membershipAt(position: number): Membership {
        const newest = this.membershipEntries.findLast(entry => entry.position <= position);
        return newest?.membership ?? this.newestSnapshot?.membership ?? emptyMembership;
    }

    /** Term of the entry at a position; undefined where it is not known. */
    termAt(position: number): number | undefined {
        return position === this.base.position ? this.base.term : this.entryAt(position)?.term;
    }

    /** The entry at a position, if it is kept. */
    entryAt(position: number): LogEntry | undefined {
        return this.entries[position - this.base.position - 1];
    }

    /** Entries from a position on, at most `maximumBytes` of them but at least one. */
    entriesFrom(position: number, maximumBytes: number): readonly LogEntry[] {
        const start = position - this.base.position - 1;
        let bytes = 0;
        let end = start;
        for (let entry = this.entries[end]; entry !== undefined; entry = this.entries[end]) {
            bytes += entryBytes(entry);
            if (end > start && bytes > maximumBytes) {
                break;
            }
            end += 1;
        }
        return this.entries.slice(start, end);
    }

    /**
     * Puts entries behind the one before the first of them, in place of any that stand there, and makes them durable.
     *
     * They are visible at once; after a failure they are gone again.
     */
    async append(added: readonly LogEntry[]): Promise<Result<void, Failure>> {
        const first = added[0];
        if (first === undefined) {
            return Ok(undefined);
        }
        const kept = first.position - this.base.position - 1;
        const before = { position: first.position - 1, term: this.termAt(first.position - 1) ?? 0 };
        const replaced = this.entries.splice(kept);
        this.entries.push(...added);
        const earlier = this.membershipEntries.filter(entry => entry.position <= before.position);
        this.membershipEntries = [...earlier, ...membershipEntriesOf(added)];
        this.synced = Math.min(this.synced, before.position);
        const appended = await this.segments.append(added, before, replaced.length > 0);
        if (appended.ok) {
            this.synced = this.lastPosition;
        }
        else {
            this.entries.splice(kept, Infinity, ...replaced);
            this.membershipEntries = membershipEntriesOf(this.entries);
            this.synced = this.lastPosition;
        }
        return appended;
    }

    /** Makes a snapshot of applied entries durable, and drops entries that it covers but for the newest of them. */
    async compact(snapshot: LogSnapshot, retainedEntries: number): Promise<Result<void, Failure>> {
        const saved = await saveSnapshot(this.files, snapshot);
        if (saved.err) {
            return saved;
        }
        this.newestSnapshot = snapshot;
        const base = await this.segments.removeUpTo(snapshot.position - retainedEntries);
        if (base.err) {
            return base;
        }
        if (base.val !== undefined && base.val.position > this.base.position) {
            this.entries.splice(0, base.val.position - this.base.position);
            this.base = base.val;
            this.membershipEntries = membershipEntriesOf(this.entries);
        }
        return Ok(undefined);
    }

    /** Takes a snapshot of the leader; keeps later entries only where they follow on it. */
    async install(snapshot: LogSnapshot): Promise<Result<void, Failure>> {
        const saved = await saveSnapshot(this.files, snapshot);
        if (saved.err) {
            return saved;
        }
        this.newestSnapshot = snapshot;
        return this.joinSnapshot();
    }

    private async startEmpty(isNew: boolean): Promise<Result<void, Failure>> {
        if (!isNew || this.newestSnapshot !== undefined) {
            return Err(failure("logIncomplete", { reason: "the segments are missing" }));
        }
        return this.segments.start(this.base, false);
    }

    /** Checks that log and snapshot fit together, and restarts the log where the snapshot replaces it. */
    private async joinSnapshot(): Promise<Result<void, Failure>> {
        const snapshot = this.newestSnapshot;
        if (snapshot === undefined) {
            return this.base.position === 0
                ? Ok(undefined)
                : Err(failure("logIncomplete", { reason: "the snapshot is missing" }));
        }
        if (this.termAt(snapshot.position) === snapshot.term) {
            return Ok(undefined);
        }
        if (snapshot.position < this.base.position) {
            return Err(failure("logIncomplete", { reason: "entries between snapshot and log are missing" }));
        }
        const restarted = await this.segments.restart({ position: snapshot.position, term: snapshot.term });
        if (restarted.ok) {
            this.base = { position: snapshot.position, term: snapshot.term };
            this.entries = [];
            this.membershipEntries = [];
            this.synced = snapshot.position;
        }
        return restarted;
    }
}

function membershipEntriesOf(entries: readonly LogEntry[]): readonly MembershipEntry[] {
    return entries.filter(entry => entry.kind === "membership");
}
