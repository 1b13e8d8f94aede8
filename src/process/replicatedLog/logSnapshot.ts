import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { bytesSchema } from "../../util/bytesSchema.js";
import { Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { checkOwner, fileFormat, ownerOf, snapshotFileName } from "./groupFiles.js";
import type { GroupFiles } from "./groupFiles.js";
import { membershipSchema } from "./membership.js";
import { encodeRecord } from "./recordCodec.js";
import { readSoleRecord } from "./singleRecord.js";

/** Schema of {@link LogSnapshot}. */
export const logSnapshotSchema = z.object({
    position: z.int().positive(),
    term: z.int().nonnegative(),
    membership: membershipSchema,
    state: bytesSchema,
}).readonly();

/** The state after all entries up to a position, which replaces those entries. */
export type LogSnapshot = z.infer<typeof logSnapshotSchema>;

const snapshotFileSchema = z.object({
    format: z.literal(fileFormat),
    cluster: z.string(),
    group: z.string(),
    memberId: z.string(),
    snapshot: logSnapshotSchema,
});

/** Makes a snapshot durable in place of the former one. */
export async function saveSnapshot(files: GroupFiles, snapshot: LogSnapshot): Promise<Result<void, Failure>> {
    const record = encodeRecord({ format: fileFormat, ...ownerOf(files), snapshot });
    return files.storage.replace(snapshotFileName(files.group), record);
}

/** Reads the newest snapshot; undefined when there is none. */
export async function loadSnapshot(files: GroupFiles): Promise<Result<LogSnapshot | undefined, Failure>> {
    const name = snapshotFileName(files.group);
    const record = await readSoleRecord(files.storage, name);
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
