import { once } from "node:events";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { definitionOf, formatFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";

/** The JSON body of a failure. */
export interface FailureBody {
    readonly error: {
        /** Number of the result code, as `GH1301`. */
        readonly code: string;
        /** Identifier of the result code. */
        readonly type: string;
        readonly message: string;
        /** What is known about the execution; absent where no request was involved. */
        readonly outcome?: string | undefined;
        /** Further failures, where a document has several faults. */
        readonly faults?: readonly string[] | undefined;
    };
}

/** The JSON form of a failure. */
export function failureBody(reported: Failure, faults?: readonly Failure[]): FailureBody {
    const definition = definitionOf(reported.code);
    return {
        error: {
            code: `GH${definition.number}`,
            type: reported.code,
            message: formatFailure(reported),
            outcome: definition.outcome,
            faults: faults?.map(formatFailure),
        },
    };
}

/** Answers with JSON; does nothing when the answer has begun or the connection is gone. */
export function answerJson(
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

/** Answers with a numbered failure. */
export function answerFailure(
    response: ServerResponse,
    reported: Failure,
    headers: OutgoingHttpHeaders = {},
    faults?: readonly Failure[],
): void {
    const definition = definitionOf(reported.code);
    const outcome = definition.outcome === undefined ? {} : { "x-outcome": definition.outcome };
    answerJson(response, definition.httpStatus, failureBody(reported, faults), { ...outcome, ...headers });
}

/** The `retry-after` header, in whole seconds; no header where waiting does not help. */
export function retryAfterHeader(retryAfter: Milliseconds | undefined): Readonly<Record<string, string>> {
    return retryAfter === undefined ? {} : { "retry-after": String(Math.ceil(retryAfter / 1000)) };
}

/** Resolves when a slow reader has made room, or when its connection has ended. */
export async function drained(response: ServerResponse): Promise<void> {
    const closed = new AbortController();
    const close = (): void => {
        closed.abort();
    };
    response.once("close", close);
    await once(response, "drain", { signal: closed.signal }).catch(() => undefined);
    response.removeListener("close", close);
}
