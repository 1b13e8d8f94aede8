import { z } from "zod";
import type { FailureBody } from "../connection/httpResponse.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { commandErrorsOfResponse, toCommandError } from "./commandError.js";
import type { CommandError } from "./commandError.js";
import type { OperatorCall, OperatorClient } from "./operatorClient.js";

/** Body of an error response from a control process; a response without this structure comes from another server. */
const failureBodySchema = z.object({
    error: z.object({
        code: z.string().regex(/^GH\d{4}$/),
        message: z.string(),
        faults: z.array(z.string()).optional(),
    }),
});

/**
 * Calls the operator API and validates the response body.
 *
 * @returns The parsed body; the errors that a control process reported; or `answerUnreadable` when the body matches
 * neither the schema nor that of an error response.
 */
export async function callControl<Schema extends z.ZodType>(
    client: OperatorClient,
    call: OperatorCall,
    schema: Schema,
): Promise<Result<z.output<Schema>, readonly CommandError[]>> {
    const response = await client.call(call);
    if (response.err) {
        return Err([toCommandError(response.val)]);
    }
    const body = parseBody(response.val.body);
    if (response.val.status !== 200) {
        return Err(isFailureBody(body) ? commandErrorsOfResponse(body) : [toCommandError(failure("answerUnreadable"))]);
    }
    const parsed = schema.safeParse(body);
    return parsed.success ? Ok(parsed.data) : Err([toCommandError(failure("answerUnreadable"))]);
}

function parseBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}

function isFailureBody(body: unknown): body is FailureBody {
    return failureBodySchema.safeParse(body).success;
}
