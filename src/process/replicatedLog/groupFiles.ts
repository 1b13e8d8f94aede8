import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import type { MemberIdentity } from "./memberIdentity.js";

/** Version of the form in which files are written. */
export const fileFormat = 1;

/** Digits of the number in the name of a segment. */
const sequenceDigits = 10;

/** The files of one log group of one member. */
export interface GroupFiles {
    readonly storage: LogStorage;
    readonly identity: MemberIdentity;
    /** Name of the group; lower-case letters, digits and hyphens. */
    readonly group: string;
}

/** What each file of a group says about its owner. */
export interface FileOwner {
    readonly cluster: string;
    readonly group: string;
    readonly memberId: string;
}

/** The owner that the files of a group must name. */
export function ownerOf(files: GroupFiles): FileOwner {
    return { cluster: files.identity.cluster, group: files.group, memberId: files.identity.memberId };
}

/** Refuses a file that was copied from another cluster, group or member. */
export function checkOwner(files: GroupFiles, name: string, found: FileOwner): Result<void, Failure> {
    const expected = ownerOf(files);
    const same = found.cluster === expected.cluster && found.group === expected.group
        && found.memberId === expected.memberId;
    if (same) {
        return Ok(undefined);
    }
    return Err(failure("logFolderForeign", {
        name,
        found: `${found.cluster}/${found.group}/${found.memberId}`,
        expected: `${expected.cluster}/${expected.group}/${expected.memberId}`,
    }));
}

/** Name of the file with term and vote. */
export function voteFileName(group: string): string {
    return `${group}.vote`;
}

/** Name of the file with the newest snapshot. */
export function snapshotFileName(group: string): string {
    return `${group}.snapshot`;
}

/** Name of a segment by its number. */
export function segmentFileName(group: string, sequence: number): string {
    return `${group}.log.${String(sequence).padStart(sequenceDigits, "0")}`;
}

/** The number of a segment; undefined where the name is not that of a segment of the group. */
export function segmentSequence(group: string, name: string): number | undefined {
    const prefix = `${group}.log.`;
    const digits = name.slice(prefix.length);
    return name.startsWith(prefix) && /^\d+$/.test(digits) ? Number(digits) : undefined;
}
