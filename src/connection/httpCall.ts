import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { hasPort, splitAddress } from "../util/socketAddress.js";
import { cancelOnAbort, cancelRequest } from "./cancelRequest.js";
import { connectClient, detectResetOfUnframedBody } from "./clientSocket.js";
import { ResponseByteGuard } from "./responseByteGuard.js";
import { findHeadViolation } from "./responseHead.js";

/** Maximum size of the body of a response unless the call states another one, in bytes. */
const defaultMaximumResponseBytes = 64 * 1024 * 1024;

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
    /** Maximum size of the body of the response, in bytes. */
    readonly maximumResponseBytes?: number;
}

/** A complete HTTP response. */
export interface HttpCallResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Sends a request and buffers its response. An error is a human-readable reason. */
export function httpCall(call: HttpCall): Promise<Result<HttpCallResponse, string>> {
    if (!hasPort(call.address)) {
        return Promise.resolve(Err(`${call.address} has no port to connect to`));
    }
    return new Promise(resolve => {
        const address = splitAddress(call.address);
        const clientRequest = httpRequest({
            ...address,
            createConnection: () => connectClient(address),
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
        detectResetOfUnframedBody(clientRequest);
        const byteGuard = new ResponseByteGuard(clientRequest, () => {
            cancel("the server sent too many bytes that belong to no response");
        });
        // Not AbortSignal.timeout: a timeout signal that is referenced only by AbortSignal.any can be garbage-collected.
        const timer = setTimeout(() => {
            cancel("the call timed out");
        }, call.timeout);
        clientRequest.once("close", () => {
            clearTimeout(timer);
            // A change of the protocol (101) that nobody asked for closes the connection without an error.
            if (!hasResponse) {
                resolve(Err("the connection was closed"));
            }
        });
        clientRequest.on("error", error => {
            resolve(Err(error.message));
        });
        let hasResponse = false;
        clientRequest.once("response", response => {
            hasResponse = true;
            const violation = findHeadViolation(response);
            if (violation !== undefined) {
                cancel(violation.reason);
                return;
            }
            const limit = call.maximumResponseBytes ?? defaultMaximumResponseBytes;
            void readBody(byteGuard.chunks(response), limit).then(body => {
                if (body.err) {
                    cancel(body.val);
                    return;
                }
                resolve(Ok({ status: response.statusCode ?? 0, headers: response.headers, body: body.val }));
            });
        });
        clientRequest.end(call.body);
    });
}

/** Reads a body to its end; an error is a human-readable reason. */
async function readBody(chunks: AsyncIterable<Buffer>, limit: number): Promise<Result<Buffer, string>> {
    const received: Buffer[] = [];
    let byteCount = 0;
    try {
        for await (const chunk of chunks) {
            byteCount += chunk.length;
            if (byteCount > limit) {
                return Err("the response is too large");
            }
            received.push(chunk);
        }
        return Ok(Buffer.concat(received));
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
}
