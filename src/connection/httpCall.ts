import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { splitAddress } from "../util/socketAddress.js";
import { cancelOnAbort, cancelRequest } from "./cancelRequest.js";

/** Maximum size of the body of a response, in bytes. */
const maximumResponseBytes = 64 * 1024 * 1024;

/** An HTTP request with a timeout. */
export interface HttpCall {
    /** IP address and port, as `host:port`. */
    readonly address: string;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly headers?: OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    /** Timeout for the whole call, including the body of the response. */
    readonly timeout: Milliseconds;
    /** Aborts the call. */
    readonly signal?: AbortSignal;
}

/** A complete HTTP response. */
export interface HttpCallResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Sends a request and buffers its response. An error is a human-readable reason. */
export function httpCall(call: HttpCall): Promise<Result<HttpCallResponse, string>> {
    return new Promise(resolve => {
        const clientRequest = httpRequest({
            ...splitAddress(call.address),
            agent: false,
            method: call.method,
            path: call.path,
            headers: { ...call.headers, "content-length": Buffer.byteLength(call.body ?? "") },
        });
        const cancel = (reason: string): void => {
            resolve(Err(reason));
            cancelRequest(clientRequest);
        };
        if (call.signal !== undefined) {
            cancelOnAbort(clientRequest, call.signal);
        }
        // Not AbortSignal.timeout: a timeout signal that is referenced only by AbortSignal.any can be garbage-collected.
        const timer = setTimeout(() => {
            cancel("the call timed out");
        }, call.timeout);
        clientRequest.once("close", () => {
            clearTimeout(timer);
        });
        clientRequest.on("error", error => {
            resolve(Err(error.message));
        });
        clientRequest.once("response", response => {
            const chunks: Buffer[] = [];
            let byteCount = 0;
            response.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                byteCount += chunk.length;
                if (byteCount > maximumResponseBytes) {
                    cancel("the response is too large");
                }
            });
            response.once("error", error => {
                resolve(Err(error.message));
            });
            response.once("end", () => {
                const body = Buffer.concat(chunks);
                resolve(Ok({ status: response.statusCode ?? 0, headers: response.headers, body }));
            });
        });
        clientRequest.end(call.body);
    });
}
