import { randomUUID } from "node:crypto";
import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import { encodeRecord } from "./recordCodec.js";
import { readSingleRecord } from "./singleRecord.js";

/** Name of the file that holds the identity. */
const identityFileName = "identity";

const identitySchema = z.object({ cluster: z.string(), memberId: z.string().min(1) }).readonly();

/** Identity of a control process: generated when its data folder is first used, and lost together with the folder. */
export type MemberIdentity = z.infer<typeof identitySchema>;

/**
 * Reads the identity from the data folder, or generates one if the folder is empty.
 *
 * Fails with `logFolderForeign` if the folder belongs to another cluster, with `logDamaged` if the identity file is
 * damaged, and with `logIncomplete` if it is missing although the folder has other files.
 */
export async function loadIdentity(
    storage: LogStorage,
    cluster: string,
    generateMemberId: () => string = randomUUID,
): Promise<Result<MemberIdentity, Failure>> {
    const stored = await readSingleRecord(storage, identityFileName);
    if (stored.err) {
        return stored;
    }
    if (stored.val === undefined) {
        return createIdentity(storage, { cluster, memberId: generateMemberId() });
    }
    const identity = identitySchema.parse(stored.val);
    if (identity.cluster !== cluster) {
        return Err(failure("logFolderForeign", { name: identityFileName, found: identity.cluster, expected: cluster }));
    }
    return Ok(identity);
}

async function createIdentity(storage: LogStorage, identity: MemberIdentity): Promise<Result<MemberIdentity, Failure>> {
    const names = await storage.list();
    if (names.err) {
        return names;
    }
    if (names.val.length > 0) {
        return Err(failure("logIncomplete", { reason: `${identityFileName} is missing` }));
    }
    const written = await storage.replace(identityFileName, encodeRecord(identity));
    return written.ok ? Ok(identity) : written;
}
