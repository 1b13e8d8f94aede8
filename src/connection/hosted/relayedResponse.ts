import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { definitionOf, resultCodes } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";
import { relayHeaderNames } from "./relayHeaders.js";

const failureBodySchema = z.object({ error: z.object({ type: z.string() }) });

/**
 * The failure with which another entry responded itself; undefined if the response is that of an endpoint.
 *
 * Entries of earlier builds do not state whose response it is. Theirs have no signature and a body of a known form.
 */
export function readEntryFailure(
    message: IncomingMessage,
    body: Buffer,
    hasSignature: boolean,
): ResultCode | undefined {
    const source = message.headers[relayHeaderNames.source];
    const code = readFailureType(body);
    if (source !== undefined) {
        return source === "entry" ? code ?? "callOutcomeUnknown" : undefined;
    }
    const isOwnForm = !hasSignature && code !== undefined && definitionOf(code).httpStatus === message.statusCode;
    return isOwnForm ? code : undefined;
}

function readFailureType(body: Buffer): ResultCode | undefined {
    try {
        const { success, data } = failureBodySchema.safeParse(JSON.parse(body.toString()));
        return success && isResultCode(data.error.type) ? data.error.type : undefined;
    }
    catch {
        return undefined;
    }
}

function isResultCode(type: string): type is ResultCode {
    return Object.hasOwn(resultCodes, type);
}
