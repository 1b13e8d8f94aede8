import { readFile } from "node:fs/promises";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";

/** Reads a UTF-8 file that was passed on the command line; fails with `settingsUnreadable`. */
export async function readTextFile(file: string): Promise<Result<string, Failure>> {
    try {
        return Ok(await readFile(file, "utf8"));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return Err(failure("settingsUnreadable", { file, reason }));
    }
}
