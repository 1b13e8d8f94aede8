import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { bytesSchema } from "../../util/bytesSchema.js";
import { Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { checkOwner, fileFormatVersion, ownerOf, snapshotFileName } from "./groupFiles.js";
import type { GroupFiles } from "./groupFiles.js";
import { membershipSchema } from "./membership.js";
import { encodeRecord } from "./recordCodec.js";
import { readSingleRecord } from "./singleRecord.js";

/** Schema of {@link LogSnapshot}. */
export const logSnapshotSchema = z.object({
    position: z.int().positive(),
    term: z.int().nonnegative(),
    membership: membershipSchema,
    state: bytesSchema,
}).readonly();

/** The state of the state machine and the membership at a position; replaces the log entries up to it. */
export type LogSnapshot = z.infer<typeof logSnapshotSchema>;

const snapshotFileSchema = z.object({
    format: z.literal(fileFormatVersion),
    cluster: z.string(),
    group: z.string(),
    memberId: z.string(),
    snapshot: logSnapshotSchema,
});

/** Durably replaces the stored snapshot. */
export async function saveSnapshot(files: GroupFiles, snapshot: LogSnapshot): Promise<Result<void, Failure>> {
    const record = encodeRecord({ format: fileFormatVersion, ...ownerOf(files), snapshot });
    return files.storage.replace(snapshotFileName(files.group), record);
}

/** Reads the stored snapshot; undefined when there is none. */
export async function loadSnapshot(files: GroupFiles): Promise<Result<LogSnapshot | undefined, Failure>> {
    const name = snapshotFileName(files.group);
    const record = await readSingleRecord(files.storage, name);
    if (record.err) {
        return record;
    }
    if (record.val === undefined) {
        return Ok(undefined);
    }
    const stored = snapshotFileSchema.parse(record.val);
    const owner = checkOwner(files, name, stored);
    return owner.ok ? Ok(stored.snapshot) : owner;
}
