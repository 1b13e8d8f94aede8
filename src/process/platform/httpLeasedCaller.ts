import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { connectClient, detectResetOfUnframedBody } from "../../connection/clientSocket.js";
import { resetConnection } from "../../connection/resetConnection.js";
import { findHeadViolation } from "../../connection/responseHead.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { CommandLog, FencingToken } from "../replicatedLog/commandLog.js";
import { LeasedCaller } from "./leasedCaller.js";
import type { CallResponse, LeasedCall } from "./leasedCaller.js";

/** Maximum size of a response body, in bytes. */
export const maximumResponseBytes = 4_194_304;

/** Part of a replicated log that grants the leader lease. */
export type LeaseSource = Pick<CommandLog<never, unknown>, "lease">;

/**
 * Makes each call on a separate connection.
 *
 * The connection is established before the lease is checked, so that only a write follows the check. On timeout or
 * cancellation the connection is reset, so that bytes still in the kernel's send buffer are discarded, not sent later.
 */
export class HttpLeasedCaller extends LeasedCaller {
    /**
     * @param timeLimit Maximum time from connecting, and thus also from the write, to the end of the response.
     * @param margin Minimum remaining lease beyond the time limit.
     */
    constructor(
        private readonly leaseSource: LeaseSource,
        private readonly clock: Clock,
        private readonly timeLimit: Milliseconds,
        private readonly margin: Milliseconds,
    ) {
        super();
    }

    override async call(call: LeasedCall, signal: AbortSignal): Promise<Result<CallResponse, Failure>> {
        const cancellation = new AbortController();
        const cancel = (): void => {
            cancellation.abort();
        };
        const timer = setTimeout(cancel, this.timeLimit);
        signal.addEventListener("abort", cancel);
        if (signal.aborted) {
            cancel();
        }
        try {
            return await this.callUntil(call, cancellation.signal);
        }
        finally {
            clearTimeout(timer);
            signal.removeEventListener("abort", cancel);
        }
    }

    private async callUntil(call: LeasedCall, cancelSignal: AbortSignal): Promise<Result<CallResponse, Failure>> {
        const connected = await this.connect(call.address, cancelSignal);
        if (connected.err) {
            return connected;
        }
        const socket = connected.val;
        const reset = (): void => {
            resetConnection(socket);
        };
        const token = this.leaseSource.lease(this.clock.now(), this.timeLimit + this.margin);
        if (token === undefined || cancelSignal.aborted) {
            reset();
            return Err(failure("leaseLost"));
        }
        cancelSignal.addEventListener("abort", reset, { once: true });
        try {
            return Ok(await this.exchange(call, token, socket));
        }
        catch (error) {
            return Err(this.toFailure(call.address, error, cancelSignal));
        }
        finally {
            cancelSignal.removeEventListener("abort", reset);
            socket.destroy();
        }
    }

    private async connect(address: string, cancelSignal: AbortSignal): Promise<Result<Socket, Failure>> {
        const separator = address.lastIndexOf(":");
        const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
        const port = Number(address.slice(separator + 1));
        if (!Number.isInteger(port) || port < 1 || port > 65_535) {
            return Err(failure("callFailed", { address, reason: "the address contains no valid port" }));
        }
        const socket = connectClient({ host, port, noDelay: true, signal: cancelSignal });
        try {
            await new Promise((resolve, reject) => {
                socket.once("connect", resolve);
                socket.once("error", reject);
                socket.once("close", () => {
                    reject(new Error("connection closed before it was established"));
                });
            });
            return Ok(socket);
        }
        catch (error) {
            socket.destroy();
            return Err(this.toFailure(address, error, cancelSignal));
        }
        finally {
            socket.on("error", () => undefined);
        }
    }

    private async exchange(call: LeasedCall, token: FencingToken, socket: Socket): Promise<CallResponse> {
        const { headers, body } = call.content(token);
        const clientRequest = request({
            method: call.method,
            path: call.path,
            createConnection: () => socket,
            headers: { ...headers, host: call.address, connection: "close", "content-length": body?.length ?? 0 },
        });
        detectResetOfUnframedBody(clientRequest);
        let connectionError: Error | undefined;
        clientRequest.on("error", error => {
            connectionError = error;
        });
        clientRequest.end(body);
        const response = await responseOf(clientRequest);
        const violation = findHeadViolation(response);
        if (violation !== undefined) {
            throw new Error(violation.reason);
        }
        const text = await readText(response);
        if (connectionError !== undefined) {
            throw connectionError;
        }
        return {
            status: response.statusCode ?? 0,
            retryAfter: readRetryAfter(response.headers["retry-after"]),
            body: text === "" ? undefined : JSON.parse(text) as unknown,
        };
    }

    private toFailure(address: string, error: unknown, cancelSignal: AbortSignal): Failure {
        const reason = error instanceof Error ? error.message : String(error);
        if (error instanceof SyntaxError) {
            return failure("platformAnswerMalformed", { address, reason });
        }
        if (cancelSignal.aborted) {
            return failure("callTimedOut", { address, timeLimit: this.timeLimit });
        }
        return failure("callFailed", { address, reason });
    }
}

function responseOf(clientRequest: ClientRequest): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
        clientRequest.once("response", resolve);
        clientRequest.on("error", reject);
        clientRequest.once("close", () => {
            reject(new Error("connection closed before a response arrived"));
        });
    });
}

async function readText(response: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > maximumResponseBytes) {
            throw new Error(`the response body exceeds ${maximumResponseBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function readRetryAfter(header: string | undefined): Milliseconds | undefined {
    return header !== undefined && /^\d{1,6}$/.test(header) ? Number(header) * 1_000 : undefined;
}
