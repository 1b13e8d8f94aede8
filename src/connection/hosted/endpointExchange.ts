import { request as httpRequest } from "node:http";
import type { Agent, ClientRequest, IncomingMessage } from "node:http";
import { readResponseTraits } from "../../../platform/callHeaders.js";
import type { ResponseTraits } from "../../request/hosted/callTraits.js";
import type { Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { cancelRequest } from "../cancelRequest.js";
import { detectResetOfUnframedBody } from "../clientSocket.js";
import { discardBody } from "../discardBody.js";
import { hasFramedBody } from "../framedBody.js";
import { ResponseByteGuard } from "../responseByteGuard.js";
import { responseFaultOf } from "../responseFault.js";
import type { ResponseFault } from "../responseFault.js";
import { findHeadViolation } from "../responseHead.js";
import { sendWhenConnected } from "../sendWhenConnected.js";
import { EndpointAgent } from "./endpointAgent.js";

/** Timeout for opening a connection; many times the round-trip time, and short compared to latency targets. */
const connectTimeout: Milliseconds = 400;

/** The HTTP request that is sent to one endpoint. */
export interface OutgoingRequest {
    readonly agent: Agent;
    /** Host and port. */
    readonly address: string;
    readonly method: string;
    /** Path and query, as received from the caller. */
    readonly target: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    /** Undefined if the caller's request has no body. */
    readonly body: Buffer | undefined;
}

/** The response headers, or the reason why none arrived. */
export type ExchangeHead =
    | { readonly kind: "response"; readonly message: IncomingMessage; readonly traits: ResponseTraits; }
    /** The request was not written: the call did not run. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The request may have been written: the call may have run. */
    | { readonly kind: "lost"; readonly reason: string; };

/** One HTTP request to an endpoint and its response. */
export class EndpointExchange {
    private request: ClientRequest;
    private byteGuard: ResponseByteGuard;
    private hasBeenSent = false;
    private headFault: ResponseFault | undefined;
    private connectionError: Error | undefined;
    private cancelReason: string | undefined;

    /** Sends the request. */
    constructor(private readonly outgoing: OutgoingRequest) {
        const { body } = outgoing;
        const length = body === undefined ? [] : ["Content-Length", String(body.length)];
        this.request = httpRequest({
            ...splitAddress(outgoing.address),
            agent: outgoing.agent,
            method: outgoing.method,
            path: outgoing.target,
            headers: [...outgoing.headers, ...length],
            setHost: false,
        });
        this.byteGuard = this.observe(this.request);
        sendWhenConnected(this.request, {
            body,
            connectTimeout,
            onConnectTimeout: () => {
                this.cancel("the connection was not established within the timeout");
            },
            onSend: () => {
                this.hasBeenSent = true;
            },
        });
    }

    /** Whether a new connection was opened for the request. */
    get isNewConnection(): boolean {
        return !this.request.reusedSocket;
    }

    /** Whether the request may have been written. */
    get isSent(): boolean {
        return this.hasBeenSent;
    }

    /** Whether the request was aborted on this side. */
    get isCancelled(): boolean {
        return this.cancelReason !== undefined;
    }

    /** Why the response is missing, incomplete or invalid, if it is; undefined if the request was aborted on this side. */
    get fault(): ResponseFault | undefined {
        if (this.headFault !== undefined || this.isCancelled) {
            return this.headFault;
        }
        return this.connectionError === undefined ? "endedEarly" : responseFaultOf(this.connectionError);
    }

    /**
     * Whether a response that was read to its end is complete.
     *
     * `node:http` reports the end of a response without a length in any case.
     */
    isComplete(message: IncomingMessage): boolean {
        return message.complete && this.connectionError === undefined;
    }

    /** Yields the body of the response; throws if the connection fails. */
    body(message: IncomingMessage): AsyncIterable<Buffer> {
        return this.byteGuard.chunks(message);
    }

    /** Discards the body of the response, and keeps its connection if the body is short. */
    discardBody(message: IncomingMessage): void {
        discardBody(message, () => {
            this.cancel("the discarded body is too long");
        });
    }

    /**
     * Discards a response that belongs to an earlier call, and waits for the next one on the same connection.
     *
     * @returns Undefined if no further response can follow: the response ends with its connection.
     */
    async skip(message: IncomingMessage): Promise<ExchangeHead | undefined> {
        const { agent, address } = this.outgoing;
        const { socket } = this.request;
        if (!(agent instanceof EndpointAgent) || !socket || !this.request.shouldKeepAlive || !hasFramedBody(message)) {
            return undefined;
        }
        const isIdle = await new Promise<boolean>(resolve => {
            agent.reserve(socket, () => {
                resolve(true);
            });
            socket.once("close", () => {
                resolve(false);
            });
            this.discardBody(message);
        });
        if (!isIdle || this.isCancelled) {
            return { kind: "lost", reason: this.cancelReason ?? "the connection was closed" };
        }
        // A request that is never ended writes nothing: it only reads the next response.
        const reader = httpRequest({ ...splitAddress(address), agent, method: this.outgoing.method, setHost: false });
        this.request = reader;
        this.byteGuard = this.observe(reader);
        reader.once("socket", reused => {
            if (reused !== socket) {
                this.cancel("the connection was taken by another call");
            }
        });
        reader.once("response", response => {
            response.once("end", () => {
                reader.destroy();
            });
        });
        return this.head();
    }

    /** Resolves when the response headers have arrived, or when the request has failed. */
    head(): Promise<ExchangeHead> {
        return new Promise(resolve => {
            this.request.once("response", message => {
                const violation = findHeadViolation(message);
                if (violation !== undefined) {
                    this.headFault = violation.fault;
                    this.cancel(violation.reason);
                    return;
                }
                resolve({ kind: "response", message, traits: readResponseTraits(message) });
            });
            this.request.once("error", (error: Error) => {
                resolve(this.failedHead(error.message));
            });
            this.request.once("close", () => {
                resolve(this.failedHead("the connection was closed"));
            });
        });
    }

    /** Aborts the request by resetting its connection, upon which the endpoint stops processing the call. */
    cancel(reason: string): void {
        this.cancelReason = reason;
        cancelRequest(this.request);
    }

    private observe(request: ClientRequest): ResponseByteGuard {
        detectResetOfUnframedBody(request);
        request.on("error", error => {
            this.connectionError ??= error;
        });
        return new ResponseByteGuard(request, () => {
            this.cancel("the endpoint sent too many bytes that belong to no response");
        });
    }

    private failedHead(message: string): ExchangeHead {
        const reason = this.cancelReason ?? message;
        return this.hasBeenSent ? { kind: "lost", reason } : { kind: "notSent", reason };
    }
}
