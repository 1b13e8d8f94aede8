import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import type { CommandLog, FencingToken } from "../../process/replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome } from "../../process/state/controlState.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { readBody } from "../httpBody.js";

/** Largest accepted body of calls other than manifests, in bytes. */
const maximumCallBytes = 64 * 1024;

/** Most reasons that are named for a body which is not acceptable. */
const maximumReasons = 5;

/** One call of an operator whose token is known. */
export interface OperatorExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Name of the operator. */
    readonly operator: string;
    readonly query: URLSearchParams;
}

/** One call of the operator interface. */
export interface OperatorRoute {
    readonly method: "GET" | "PUT" | "POST";
    readonly path: string;
    /** Answers the call. */
    readonly answer: (exchange: OperatorExchange) => Promise<void> | void;
}

/** The proof that this process leads; only the leader knows every entry and the newest configuration. */
export function leaderToken(
    commandLog: CommandLog<ControlCommand, ControlOutcome>,
    now: Milliseconds,
): Result<FencingToken, Failure> {
    const token = commandLog.lease(now, 0);
    const leader = commandLog.leaderAddress() ?? "unknown";
    return token === undefined ? Err(failure("notLeader", { leader })) : Ok(token);
}

/** Answers with the value, or with the failure. */
export function answerResult(response: ServerResponse, result: Result<unknown, Failure>): void {
    if (result.err) {
        answerFailure(response, result.val);
        return;
    }
    answerJson(response, 200, result.val);
}

/** Checks a value of a call against a schema; the failure names the first reasons on one line. */
export function checkCall<Schema extends z.ZodType>(value: unknown, schema: Schema): Result<z.output<Schema>, Failure> {
    const checked = schema.safeParse(value);
    if (checked.success) {
        return Ok(checked.data);
    }
    const reasons = checked.error.issues.slice(0, maximumReasons).map(issue => {
        const path = issue.path.map(String).join(".");
        return path === "" ? issue.message : `${path}: ${issue.message}`;
    });
    return Err(failure("requestMalformed", { reason: reasons.join("; ") }));
}

/** Reads a JSON body and checks it against a schema. */
export async function readCall<Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
): Promise<Result<z.output<Schema>, Failure>> {
    const body = await readBody(request, maximumCallBytes);
    if (body.err) {
        return body;
    }
    let value: unknown;
    try {
        value = JSON.parse(body.val.toString("utf8"));
    }
    catch {
        return Err(failure("requestMalformed", { reason: "not JSON" }));
    }
    return checkCall(value, schema);
}
