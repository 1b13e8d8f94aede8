import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { checkOwner, fileFormatVersion, ownerOf, segmentFileName, segmentSequence } from "./groupFiles.js";
import type { GroupFiles } from "./groupFiles.js";
import type { LogEntry } from "./logEntry.js";
import { logEntrySchema } from "./logEntry.js";
import { decodeValue, encodeRecord, scanRecords } from "./recordCodec.js";

/** Segment size in bytes above which the next batch starts a new segment. */
const maximumSegmentBytes = 4 * 1024 * 1024;

const headerSchema = z.object({
    format: z.literal(fileFormatVersion),
    cluster: z.string(),
    group: z.string(),
    memberId: z.string(),
    basePosition: z.int().nonnegative(),
    baseTerm: z.int().nonnegative(),
    afterSnapshot: z.boolean(),
});

const batchSchema = z.object({ entries: z.array(logEntrySchema) });

/** The position and term of the entry before the first one of a log or segment. */
export interface LogBase {
    readonly position: number;
    readonly term: number;
}

/** One file of the log. */
interface Segment {
    readonly sequence: number;
    readonly name: string;
    readonly base: LogBase;
    readonly bytes: number;
}

/** The contents of one segment file. */
interface LoadedSegment {
    readonly segment: Segment;
    readonly afterSnapshot: boolean;
    readonly entries: readonly LogEntry[];
}

/** The log as read from all segments. */
export interface StoredLog {
    readonly base: LogBase;
    readonly entries: readonly LogEntry[];
}

/**
 * The segment files of a log: each has a header record, followed by one record per batch of entries synced together.
 *
 * A segment whose base is before the last position replaces all entries after its base, so that synced bytes are never
 * truncated. A segment with `afterSnapshot` replaces all entries.
 */
export class LogSegments {
    private segments: readonly Segment[] = [];
    private rollPending = false;

    constructor(private readonly files: GroupFiles) {}

    /** Whether the group has no segments. */
    get isEmpty(): boolean {
        return this.segments.length === 0;
    }

    /** Reads all segments and truncates a torn write at the end of the last one; fails on any other damage or gap. */
    async load(): Promise<Result<StoredLog, Failure>> {
        const sequences = await this.listSequences();
        if (sequences.err) {
            return sequences;
        }
        let stored: StoredLog | undefined;
        for (const sequence of sequences.val) {
            const loaded = await this.loadSegment(sequence, sequence === sequences.val.at(-1));
            if (loaded.err) {
                return loaded;
            }
            const joined = appendSegment(stored, loaded.val);
            if (joined.err) {
                return joined;
            }
            stored = joined.val;
            this.segments = [...this.segments, loaded.val.segment];
        }
        return Ok(stored ?? { base: { position: 0, term: 0 }, entries: [] });
    }

    /**
     * Makes a batch durable.
     *
     * @param base The entry before the batch; later entries are replaced.
     * @param replaces Whether the log has entries after the base.
     */
    async append(entries: readonly LogEntry[], base: LogBase, replaces: boolean): Promise<Result<void, Failure>> {
        const record = encodeRecord({ entries });
        const current = this.segments.at(-1);
        if (replaces || this.rollPending || current === undefined || current.bytes > maximumSegmentBytes) {
            return this.start(base, false, record);
        }
        const appended = await this.files.storage.append(current.name, record);
        if (appended.ok) {
            this.segments = [...this.segments.slice(0, -1), { ...current, bytes: current.bytes + record.length }];
        }
        return appended;
    }

    /** Starts a new segment after a base, writing its header and any first record atomically. */
    async start(base: LogBase, afterSnapshot: boolean, firstRecord?: Uint8Array): Promise<Result<void, Failure>> {
        const sequence = (this.segments.at(-1)?.sequence ?? 0) + 1;
        const name = segmentFileName(this.files.group, sequence);
        const header = encodeRecord({
            format: fileFormatVersion,
            ...ownerOf(this.files),
            basePosition: base.position,
            baseTerm: base.term,
            afterSnapshot,
        });
        const content = Buffer.concat([header, firstRecord ?? new Uint8Array()]);
        const written = await this.files.storage.replace(name, content);
        if (written.ok) {
            this.rollPending = false;
            this.segments = [...this.segments, { sequence, name, base, bytes: content.length }];
        }
        return written;
    }

    /**
     * Removes the oldest segments that are not needed for entries after a committed position.
     *
     * The next batch starts a new segment, so that a later call can remove the current one.
     *
     * @returns The base of the first remaining segment.
     */
    async removeUpTo(position: number): Promise<Result<LogBase | undefined, Failure>> {
        this.rollPending = true;
        const firstKeptIndex = this.segments.findLastIndex((segment, index) =>
            segment.base.position <= position
            && this.segments.slice(index + 1).every(later => later.base.position >= segment.base.position)
        );
        for (let index = 0; index < firstKeptIndex; index += 1) {
            const removed = await this.removeFirst();
            if (removed.err) {
                return removed;
            }
        }
        return Ok(this.segments[0]?.base);
    }

    /**
     * Replaces all segments with an empty one that starts after a snapshot.
     *
     * Once that one is written, earlier segments have no effect; those that a full disk keeps from being removed are
     * removed by {@link removeUpTo}.
     */
    async restart(base: LogBase): Promise<Result<void, Failure>> {
        const started = await this.start(base, true);
        while (started.ok && this.segments.length > 1) {
            const removed = await this.removeFirst();
            if (removed.err) {
                return removed.val.code === "storageFull" ? started : removed;
            }
        }
        return started;
    }

    private async removeFirst(): Promise<Result<void, Failure>> {
        const removed = await this.files.storage.remove(this.segments[0]?.name ?? "");
        if (removed.ok) {
            this.segments = this.segments.slice(1);
        }
        return removed;
    }

    private async listSequences(): Promise<Result<readonly number[], Failure>> {
        const names = await this.files.storage.list();
        if (names.err) {
            return names;
        }
        const sequences = names.val.map(name => segmentSequence(this.files.group, name))
            .filter(sequence => sequence !== undefined)
            .sort((a, b) => a - b);
        const gap = sequences.find((sequence, index) => index > 0 && sequence !== (sequences[index - 1] ?? 0) + 1);
        if (gap !== undefined) {
            return Err(failure("logIncomplete", { reason: `segment ${gap - 1} is missing` }));
        }
        return Ok(sequences);
    }

    private async loadSegment(sequence: number, isLast: boolean): Promise<Result<LoadedSegment, Failure>> {
        const name = segmentFileName(this.files.group, sequence);
        const bytes = await this.files.storage.read(name);
        if (bytes.err) {
            return bytes;
        }
        const scan = scanRecords(bytes.val ?? new Uint8Array());
        const [headerBody, ...batchBodies] = scan.bodies;
        const torn = isLast && scan.tail === "torn";
        if (headerBody === undefined || (scan.tail !== "clean" && !torn)) {
            return Err(failure("logDamaged", { name, offset: scan.validBytes }));
        }
        const header = headerSchema.parse(decodeValue(headerBody));
        const owner = checkOwner(this.files, name, header);
        if (owner.err) {
            return owner;
        }
        if (torn) {
            const truncated = await this.files.storage.truncate(name, scan.validBytes);
            if (truncated.err) {
                return truncated;
            }
        }
        const base = { position: header.basePosition, term: header.baseTerm };
        const entries = batchBodies.flatMap(body => batchSchema.parse(decodeValue(body)).entries);
        const segment = { sequence, name, base, bytes: scan.validBytes };
        return Ok({ segment, afterSnapshot: header.afterSnapshot, entries });
    }
}

/** Appends the entries of a segment to those of the segments before it. */
function appendSegment(stored: StoredLog | undefined, loaded: LoadedSegment): Result<StoredLog, Failure> {
    const { segment: { name, base }, entries } = loaded;
    if (entries.some((entry, index) => entry.position !== base.position + 1 + index)) {
        return Err(failure("logIncomplete", { reason: `entries are missing inside ${name}` }));
    }
    if (stored === undefined || loaded.afterSnapshot || base.position < stored.base.position) {
        return Ok({ base, entries });
    }
    const keptCount = base.position - stored.base.position;
    if (keptCount > stored.entries.length) {
        return Err(failure("logIncomplete", { reason: `entries before ${name} are missing` }));
    }
    return Ok({ base: stored.base, entries: [...stored.entries.slice(0, keptCount), ...entries] });
}
