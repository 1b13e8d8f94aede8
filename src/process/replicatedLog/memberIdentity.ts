import { randomUUID } from "node:crypto";
import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import { encodeRecord } from "./recordCodec.js";
import { readSoleRecord } from "./singleRecord.js";

/** Name of the file that holds the identity. */
const identityFile = "identity";

const identitySchema = z.object({ cluster: z.string(), memberId: z.string().min(1) }).readonly();

/** Who a control process is: made at random when its data folder is first used, and lost with it. */
export type MemberIdentity = z.infer<typeof identitySchema>;

/**
 * Reads the identity from the data folder, or makes one where the folder is empty.
 *
 * Fails with `logFolderForeign` for a folder of another cluster, and with `logDamaged` or `logIncomplete` for one whose
 * identity cannot be read or is missing although other files stand there.
 */
export async function loadIdentity(
    storage: LogStorage,
    cluster: string,
    makeMemberId: () => string = randomUUID,
): Promise<Result<MemberIdentity, Failure>> {
    const stored = await readSoleRecord(storage, identityFile);
    if (stored.err) {
        return stored;
    }
    if (stored.val === undefined) {
        return makeIdentity(storage, { cluster, memberId: makeMemberId() });
    }
    const identity = identitySchema.parse(stored.val);
    if (identity.cluster !== cluster) {
        return Err(failure("logFolderForeign", { name: identityFile, found: identity.cluster, expected: cluster }));
    }
    return Ok(identity);
}

async function makeIdentity(storage: LogStorage, identity: MemberIdentity): Promise<Result<MemberIdentity, Failure>> {
    const names = await storage.list();
    if (names.err) {
        return names;
    }
    if (names.val.length > 0) {
        return Err(failure("logIncomplete", { reason: `${identityFile} is missing` }));
    }
    const written = await storage.replace(identityFile, encodeRecord(identity));
    return written.ok ? Ok(identity) : written;
}
