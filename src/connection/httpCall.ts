import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { splitAddress } from "../util/socketAddress.js";

/** Largest accepted answer, in bytes. */
const maximumAnswerBytes = 64 * 1024 * 1024;

/** A call with a bounded time. */
export interface HttpCall {
    /** IP number and port. */
    readonly address: string;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    /** Longest time for the whole call. */
    readonly timeout: Milliseconds;
    /** Gives the call up early when aborted. */
    readonly signal?: AbortSignal;
}

/** A whole answer. */
export interface HttpCallAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Makes a call and gathers its answer; the error is a reason for people. */
export function httpCall(call: HttpCall): Promise<Result<HttpCallAnswer, string>> {
    return new Promise(resolve => {
        const outgoing = httpRequest({
            ...splitAddress(call.address),
            agent: false,
            method: call.method,
            path: call.path,
            headers: { ...call.headers, "content-length": Buffer.byteLength(call.body ?? "") },
            ...call.signal === undefined ? {} : { signal: call.signal },
        });
        // A timer of its own: a signal of AbortSignal.timeout that only AbortSignal.any refers to can be collected early.
        const timer = setTimeout(() => {
            outgoing.destroy(new Error("the call timed out"));
        }, call.timeout);
        outgoing.once("close", () => {
            clearTimeout(timer);
        });
        outgoing.on("error", error => {
            resolve(Err(error.message));
        });
        outgoing.once("response", message => {
            const chunks: Buffer[] = [];
            let length = 0;
            message.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                length += chunk.length;
                if (length > maximumAnswerBytes) {
                    outgoing.destroy(new Error("the answer is too large"));
                }
            });
            message.once("error", error => {
                resolve(Err(error.message));
            });
            message.once("end", () => {
                const body = Buffer.concat(chunks);
                resolve(Ok({ status: message.statusCode ?? 0, headers: message.headers, body }));
            });
        });
        outgoing.end(call.body);
    });
}
