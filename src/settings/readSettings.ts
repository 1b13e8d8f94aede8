import { readFile } from "node:fs/promises";
import type { z } from "zod";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err } from "../util/result.js";
import type { Result } from "../util/result.js";
import { JsonDocument } from "./jsonDocument.js";

/** Reads and validates a settings file in JSON with comments; fails with every error and its file, line and path. */
export async function readSettings<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): Promise<Result<z.output<Schema>, readonly Failure[]>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return Err([
            failure("settingsUnreadable", { file, reason: error instanceof Error ? error.message : "unknown" }),
        ]);
    }
    const document = JsonDocument.parse(file, text);
    return document.err ? document : document.val.validate(schema);
}
