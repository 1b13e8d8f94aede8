import { z } from "zod";
import type { FailureBody } from "../connection/httpAnswer.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { answeredErrors, commandError } from "./commandError.js";
import type { CommandError } from "./commandError.js";
import type { OperatorCall, OperatorClient } from "./operatorClient.js";

/** The form of a failure of ours; other servers' errors look otherwise. */
const failureBodySchema = z.object({
    error: z.object({
        code: z.string().regex(/^GH\d{4}$/),
        message: z.string(),
        faults: z.array(z.string()).optional(),
    }),
});

/** Makes one call and checks the form of its answer. */
export async function askControl<Schema extends z.ZodType>(
    client: OperatorClient,
    call: OperatorCall,
    schema: Schema,
): Promise<Result<z.output<Schema>, readonly CommandError[]>> {
    const answer = await client.call(call);
    if (answer.err) {
        return Err([commandError(answer.val)]);
    }
    const body = parseBody(answer.val.body);
    if (answer.val.status !== 200) {
        return Err(isFailureBody(body) ? answeredErrors(body) : [commandError(failure("answerUnreadable"))]);
    }
    const checked = schema.safeParse(body);
    return checked.success ? Ok(checked.data) : Err([commandError(failure("answerUnreadable"))]);
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
