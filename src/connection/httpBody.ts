import type { IncomingMessage } from "node:http";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";

/**
 * Reads the body of a request.
 *
 * @param limit Largest accepted body, in bytes.
 * @returns The bytes; `bodyTooLarge` above the limit; `bodyMalformed` when the sender ended early.
 */
export async function readBody(request: IncomingMessage, limit: number): Promise<Result<Buffer, Failure>> {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > limit) {
        return Err(failure("bodyTooLarge", { limit }));
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request) {
            const bytes = chunk as Buffer;
            length += bytes.length;
            if (length > limit) {
                return Err(failure("bodyTooLarge", { limit }));
            }
            chunks.push(bytes);
        }
    }
    catch {
        return Err(failure("bodyMalformed", { reason: "it ended early" }));
    }
    return Ok(Buffer.concat(chunks, length));
}
