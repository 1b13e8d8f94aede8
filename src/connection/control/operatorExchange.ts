import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import type { CommandLog, FencingToken } from "../../process/replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome } from "../../process/state/controlState.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { readBody } from "../httpBody.js";
import { sendFailure, sendJson } from "../httpResponse.js";

/** Maximum size of a JSON body, in bytes; manifests have their own limit. */
const maximumBodyBytes = 64 * 1024;

/** Maximum number of schema issues in the failure for an invalid input. */
const maximumReportedIssues = 5;

/** Request and response of an authenticated operator. */
export interface OperatorExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Name of the operator. */
    readonly operator: string;
    readonly query: URLSearchParams;
}

/** A route of the operator API. */
export interface OperatorRoute {
    readonly method: "GET" | "PUT" | "POST";
    readonly path: string;
    /** Handles a request and sends its response. */
    readonly handle: (exchange: OperatorExchange) => Promise<void> | void;
}

/**
 * Returns the fencing token if this process holds the leader's lease, otherwise the failure `notLeader`.
 *
 * Only the leader knows all entries and the newest configuration.
 */
export function getFencingToken(
    commandLog: CommandLog<ControlCommand, ControlOutcome>,
    now: Milliseconds,
): Result<FencingToken, Failure> {
    const token = commandLog.lease(now, 0);
    const leader = commandLog.leaderAddress() ?? "unknown";
    return token === undefined ? Err(failure("notLeader", { leader })) : Ok(token);
}

/** Sends the value as JSON, or the failure. */
export function sendResult(response: ServerResponse, result: Result<unknown, Failure>): void {
    if (result.err) {
        sendFailure(response, result.val);
        return;
    }
    sendJson(response, 200, result.val);
}

/** Checks a value against a schema; the failure `requestMalformed` lists the first issues on one line. */
export function validateInput<Schema extends z.ZodType>(
    value: unknown,
    schema: Schema,
): Result<z.output<Schema>, Failure> {
    const checked = schema.safeParse(value);
    if (checked.success) {
        return Ok(checked.data);
    }
    const issues = checked.error.issues.slice(0, maximumReportedIssues).map(issue => {
        const path = issue.path.map(String).join(".");
        return path === "" ? issue.message : `${path}: ${issue.message}`;
    });
    return Err(failure("requestMalformed", { reason: issues.join("; ") }));
}

/** Reads a JSON body and checks it against a schema; the failure is `requestMalformed` if the body is invalid. */
export async function readJsonBody<Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
): Promise<Result<z.output<Schema>, Failure>> {
    const body = await readBody(request, maximumBodyBytes);
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
    return validateInput(value, schema);
}
