import type { IncomingMessage } from "node:http";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { reserveMemory } from "./server/requestMemory.js";

/** Memory that is reserved at once for a body of unknown length, in bytes; at least the size of a chunk. */
const reservationStep = 64 * 1024;

/**
 * Reads the whole body of a request.
 *
 * @param limit Maximum size of the body, in bytes.
 * @returns The body; `bodyTooLarge` if it exceeds the limit; `bodyMalformed` if the sender aborted the request;
 * `requestMemoryExhausted` if the server has too little memory for it.
 */
export async function readBody(request: IncomingMessage, limit: number): Promise<Result<Buffer, Failure>> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > limit) {
        return Err(failure("bodyTooLarge", { limit }));
    }
    if (!reserveMemory(request, declaredBytes)) {
        return Err(failure("requestMemoryExhausted"));
    }
    const chunks: Buffer[] = [];
    let reservedBytes = declaredBytes;
    let byteCount = 0;
    try {
        for await (const chunk of request) {
            const bytes = chunk as Buffer;
            byteCount += bytes.length;
            if (byteCount > limit) {
                return Err(failure("bodyTooLarge", { limit }));
            }
            if (byteCount > reservedBytes) {
                if (!reserveMemory(request, reservationStep)) {
                    return Err(failure("requestMemoryExhausted"));
                }
                reservedBytes += reservationStep;
            }
            chunks.push(bytes);
        }
    }
    catch {
        return Err(failure("bodyMalformed", { reason: "it ended early" }));
    }
    return Ok(Buffer.concat(chunks, byteCount));
}
