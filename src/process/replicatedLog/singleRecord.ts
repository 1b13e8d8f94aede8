import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { LogStorage } from "./logStorage.js";
import { decodeValue, scanRecords } from "./recordCodec.js";

/**
 * Reads a file that holds exactly one record.
 *
 * @returns The decoded value, not validated against a schema; undefined when the file does not exist; `logDamaged` for
 *     any other content.
 */
export async function readSingleRecord(storage: LogStorage, name: string): Promise<Result<unknown, Failure>> {
    const bytes = await storage.read(name);
    if (bytes.err) {
        return bytes;
    }
    if (bytes.val === undefined) {
        return Ok(undefined);
    }
    const scan = scanRecords(bytes.val);
    const body = scan.bodies[0];
    if (body === undefined || scan.bodies.length > 1 || scan.tail !== "clean") {
        return Err(failure("logDamaged", { name, offset: scan.validBytes }));
    }
    return Ok(decodeValue(body));
}
