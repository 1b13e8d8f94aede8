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

/** A log entry that sets the membership. */
type MembershipEntry = Extract<LogEntry, { readonly kind: "membership"; }>;

/**
 * The log of one member: entries after the base are kept in memory, and are durable up to {@link durablePosition}.
 *
 * Methods that modify the log must not run concurrently; callers run them in the storage queue of the replica.
 */
export class DurableLog {
    private membershipEntries: readonly MembershipEntry[];

    private constructor(
        private readonly files: GroupFiles,
        private readonly segments: LogSegments,
        private base: LogBase,
        private entries: LogEntry[],
        private latestSnapshot: LogSnapshot | undefined,
        private durableUpTo: number,
    ) {
        this.membershipEntries = membershipEntriesOf(entries);
    }

    /**
     * Reads the log of a group.
     *
     * @param isNew Whether the group has no files yet; the first segment is then created.
     */
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
        const prepared = segments.isEmpty ? await log.createFirstSegment(isNew) : await log.reconcileWithSnapshot();
        return prepared.ok ? Ok(log) : prepared;
    }

    /** Position of the entry before the first one that is kept; 0 before any compaction. */
    get basePosition(): number {
        return this.base.position;
    }

    /** Position of the last entry, whether or not it is durable; 0 when there is none. */
    get lastPosition(): number {
        return this.base.position + this.entries.length;
    }

    /** Term of the last entry, or of the base when no entry is kept. */
    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.term;
    }

    /** Position up to which the entries are durable. */
    get durablePosition(): number {
        return this.durableUpTo;
    }

    /** The latest durable snapshot. */
    get snapshot(): LogSnapshot | undefined {
        return this.latestSnapshot;
    }

    /** The effective membership: that of the latest membership entry, committed or not (Raft dissertation §4.1). */
    get membership(): Membership {
        return this.membershipAt(this.lastPosition);
    }

    /** Position of the latest membership entry; 0 when the membership comes from a snapshot only. */
    get membershipPosition(): number {
        return this.membershipEntries.at(-1)?.position ?? 0;
    }

    /** The membership that was effective at a position. */
    membershipAt(position: number): Membership {
        const latest = this.membershipEntries.findLast(entry => entry.position <= position);
        return latest?.membership ?? this.latestSnapshot?.membership ?? emptyMembership;
    }

    /** Term of the entry at a position; undefined when the entry is not in the log or was compacted. */
    termAt(position: number): number | undefined {
        return position === this.base.position ? this.base.term : this.entryAt(position)?.term;
    }

    /** The entry at a position; undefined when it is not in the log or was compacted. */
    entryAt(position: number): LogEntry | undefined {
        return this.entries[position - this.base.position - 1];
    }

    /** Entries from a position on, up to an estimated `maximumBytes`, but at least one if there is any. */
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
     * Appends entries at the position of the first one, replacing all entries from there on, and makes them durable.
     *
     * The entries are visible before they are durable, and are rolled back when the write fails.
     */
    async append(newEntries: readonly LogEntry[]): Promise<Result<void, Failure>> {
        const first = newEntries[0];
        if (first === undefined) {
            return Ok(undefined);
        }
        const keptCount = first.position - this.base.position - 1;
        const previous = { position: first.position - 1, term: this.termAt(first.position - 1) ?? 0 };
        const replaced = this.entries.splice(keptCount);
        this.entries.push(...newEntries);
        const earlierMemberships = this.membershipEntries.filter(entry => entry.position <= previous.position);
        this.membershipEntries = [...earlierMemberships, ...membershipEntriesOf(newEntries)];
        this.durableUpTo = Math.min(this.durableUpTo, previous.position);
        const appended = await this.segments.append(newEntries, previous, replaced.length > 0);
        if (appended.ok) {
            this.durableUpTo = this.lastPosition;
        }
        else {
            this.entries.splice(keptCount, Infinity, ...replaced);
            this.membershipEntries = membershipEntriesOf(this.entries);
            this.durableUpTo = this.lastPosition;
        }
        return appended;
    }

    /**
     * Makes a snapshot durable, and removes whole segments that it covers, keeping at least `retainedEntries` entries.
     */
    async compact(snapshot: LogSnapshot, retainedEntries: number): Promise<Result<void, Failure>> {
        const saved = await saveSnapshot(this.files, snapshot);
        if (saved.err) {
            return saved;
        }
        this.latestSnapshot = snapshot;
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

    /** Installs a snapshot received from the leader; keeps the log only if it contains the snapshot's last entry. */
    async install(snapshot: LogSnapshot): Promise<Result<void, Failure>> {
        const saved = await saveSnapshot(this.files, snapshot);
        if (saved.err) {
            return saved;
        }
        this.latestSnapshot = snapshot;
        return this.reconcileWithSnapshot();
    }

    private async createFirstSegment(isNew: boolean): Promise<Result<void, Failure>> {
        if (!isNew || this.latestSnapshot !== undefined) {
            return Err(failure("logIncomplete", { reason: "the segments are missing" }));
        }
        return this.segments.start(this.base, false);
    }

    /**
     * Checks that the log and the snapshot are consistent, and restarts the log after the snapshot where they diverge.
     */
    private async reconcileWithSnapshot(): Promise<Result<void, Failure>> {
        const snapshot = this.latestSnapshot;
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
            this.durableUpTo = snapshot.position;
        }
        return restarted;
    }
}

function membershipEntriesOf(entries: readonly LogEntry[]): readonly MembershipEntry[] {
    return entries.filter(entry => entry.kind === "membership");
}
