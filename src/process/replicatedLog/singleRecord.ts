import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import { decodeValue, scanRecords } from "./recordCodec.js";

/**
 * Reads a file that holds exactly one record.
 *
 * @returns The decoded value, not yet validated; undefined when there is no file; `logDamaged` for any other content.
 */
export async function readSoleRecord(storage: LogStorage, name: string): Promise<Result<unknown, Failure>> {
    const bytes = await storage.read(name);
    if (bytes.err) {
        return bytes;
    }
    if (bytes.val === undefined) {
        return Ok(undefined);
    }
    const scan = scanRecords(bytes.val);
    const body = scan.bodies[0];
    if (body === undefined || scan.bodies.length > 1 || scan.ending !== "clean") {
        return Err(failure("logDamaged", { name, offset: scan.soundBytes }));
    }
    return Ok(decodeValue(body));
}
