import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import type { MemberIdentity } from "./memberIdentity.js";

/** Version of the file format. */
export const fileFormatVersion = 1;

/** Minimum number of digits of the sequence number in a segment's file name. */
const sequenceDigits = 10;

/** Where the files of one log group of one member are stored, and who owns them. */
export interface GroupFiles {
    readonly storage: LogStorage;
    readonly identity: MemberIdentity;
    /** Name of the group; lower-case letters, digits and hyphens. */
    readonly group: string;
}

/** The owner that each file of a group names. */
export interface FileOwner {
    readonly cluster: string;
    readonly group: string;
    readonly memberId: string;
}

/** The owner that the files of a group are expected to name. */
export function ownerOf(files: GroupFiles): FileOwner {
    return { cluster: files.identity.cluster, group: files.group, memberId: files.identity.memberId };
}

/** Fails with `logFolderForeign` if a file belongs to another cluster, group or member. */
export function checkOwner(files: GroupFiles, name: string, found: FileOwner): Result<void, Failure> {
    const expected = ownerOf(files);
    const matches = found.cluster === expected.cluster && found.group === expected.group
        && found.memberId === expected.memberId;
    if (matches) {
        return Ok(undefined);
    }
    return Err(failure("logFolderForeign", {
        name,
        found: `${found.cluster}/${found.group}/${found.memberId}`,
        expected: `${expected.cluster}/${expected.group}/${expected.memberId}`,
    }));
}

/** Name of the file that holds the term and the vote. */
export function voteFileName(group: string): string {
    return `${group}.vote`;
}

/** Name of the file that holds the latest snapshot. */
export function snapshotFileName(group: string): string {
    return `${group}.snapshot`;
}

/** File name of the segment with a sequence number. */
export function segmentFileName(group: string, sequence: number): string {
    return `${group}.log.${String(sequence).padStart(sequenceDigits, "0")}`;
}

/** Sequence number in a segment's file name; undefined if the name is not that of a segment of the group. */
export function segmentSequence(group: string, name: string): number | undefined {
    const prefix = `${group}.log.`;
    const digits = name.slice(prefix.length);
    return name.startsWith(prefix) && /^\d+$/.test(digits) ? Number(digits) : undefined;
}
