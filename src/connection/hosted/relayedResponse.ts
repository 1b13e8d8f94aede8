import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { definitionOf, resultCodes } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";

const failureBodySchema = z.object({ error: z.object({ type: z.string() }) });

/** The failure with which another entry responded itself; undefined if the response is that of an endpoint. */
export function readEntryFailure(
    message: IncomingMessage,
    body: Buffer,
    hasSignature: boolean,
): ResultCode | undefined {
    if (hasSignature) {
        return undefined;
    }
    const code = readFailureType(body);
    return code !== undefined && definitionOf(code).httpStatus === message.statusCode ? code : undefined;
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
