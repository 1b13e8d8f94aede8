import { once } from "node:events";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { definitionOf, formatFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";

/** The JSON body of a failure. */
export interface FailureBody {
    readonly error: {
        /** Number of the result code, such as `GH1301`. */
        readonly code: string;
        /** Identifier of the result code. */
        readonly type: string;
        readonly message: string;
        /** What is known about the execution of the request; absent if the failure concerns no request. */
        readonly outcome?: string | undefined;
        /** Messages of the individual failures, for a document with several faults. */
        readonly faults?: readonly string[] | undefined;
    };
}

/** Creates the JSON body for a failure. */
export function createFailureBody(reportedFailure: Failure, faults?: readonly Failure[]): FailureBody {
    const definition = definitionOf(reportedFailure.code);
    return {
        error: {
            code: `GH${definition.number}`,
            type: reportedFailure.code,
            message: formatFailure(reportedFailure),
            outcome: definition.outcome,
            faults: faults?.map(formatFailure),
        },
    };
}

/** Sends a JSON response; does nothing if the headers have already been sent or the connection is closed. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: OutgoingHttpHeaders = {},
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": bytes.length, ...headers });
    response.end(bytes);
}

/** Sends a failure as a JSON response, with the status of its result code and the `x-outcome` header. */
export function sendFailure(
    response: ServerResponse,
    reportedFailure: Failure,
    headers: OutgoingHttpHeaders = {},
    faults?: readonly Failure[],
): void {
    const definition = definitionOf(reportedFailure.code);
    const outcome = definition.outcome === undefined ? {} : { "x-outcome": definition.outcome };
    sendJson(response, definition.httpStatus, createFailureBody(reportedFailure, faults), { ...outcome, ...headers });
}

/** Creates the `retry-after` header, in whole seconds, rounded up; no header if `retryAfter` is undefined. */
export function createRetryAfterHeader(retryAfter: Milliseconds | undefined): Readonly<Record<string, string>> {
    return retryAfter === undefined ? {} : { "retry-after": String(Math.ceil(retryAfter / 1000)) };
}

/**
 * Resolves when the write buffer of a response has been drained, when its connection has closed, or when a signal is
 * aborted.
 */
export async function waitForDrain(response: ServerResponse, cancelSignal?: AbortSignal): Promise<void> {
    const closeController = new AbortController();
    const onClose = (): void => {
        closeController.abort();
    };
    response.once("close", onClose);
    cancelSignal?.addEventListener("abort", onClose, { once: true });
    await once(response, "drain", { signal: closeController.signal }).catch(() => undefined);
    response.removeListener("close", onClose);
    cancelSignal?.removeEventListener("abort", onClose);
}
