import { request as httpRequest } from "node:http";
import type { Agent, ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { readAnswerTraits } from "../../../platform/callHeaders.js";
import type { ResponseTraits } from "../../request/hosted/callTraits.js";
import type { Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";

/** Longest wait for a new connection: many times a round trip, and short against callers' targets. */
const connectTimeout: Milliseconds = 400;

/** A call as it goes to one endpoint. */
export interface OutgoingCall {
    readonly agent: Agent;
    /** Host and port. */
    readonly address: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    /** Undefined where the caller sent none. */
    readonly body: Buffer | undefined;
}

/** How the head of an answer came, or why none did. */
export type ExchangeHead =
    | { readonly kind: "answer"; readonly message: IncomingMessage; readonly traits: ResponseTraits; }
    /** Nothing was written: the call has not run. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The call was written, and may have run. */
    | { readonly kind: "lost"; readonly reason: string; };

/** One call at one endpoint. */
export class EndpointExchange {
    private readonly outgoing: ClientRequest;
    private isConnected = false;
    private hasConnectionFailed = false;
    private cancelReason: string | undefined;

    /** Sends the call. */
    constructor(call: OutgoingCall) {
        const { body } = call;
        const length = body === undefined ? [] : ["Content-Length", String(body.length)];
        this.outgoing = httpRequest({
            ...splitAddress(call.address),
            agent: call.agent,
            method: call.method,
            path: call.target,
            headers: [...call.headers, ...length],
            setHost: false,
        });
        this.outgoing.on("error", () => {
            this.hasConnectionFailed = true;
        });
        this.outgoing.once("socket", socket => {
            this.watchConnection(socket);
        });
        this.outgoing.end(body);
    }

    /** Whether a connection was opened for the call. */
    get isNewConnection(): boolean {
        return !this.outgoing.reusedSocket;
    }

    /**
     * Whether an answer that was read to its end is whole.
     *
     * The library takes an answer without a length for complete also when its connection was reset.
     */
    isWhole(message: IncomingMessage): boolean {
        return message.complete && !this.hasConnectionFailed;
    }

    /** Resolves when the head of the answer has come, or when none will. */
    head(): Promise<ExchangeHead> {
        return new Promise(resolve => {
            this.outgoing.once("response", message => {
                resolve({ kind: "answer", message, traits: readAnswerTraits(message) });
            });
            this.outgoing.once("error", (error: Error) => {
                resolve(this.failed(error.message));
            });
            this.outgoing.once("close", () => {
                resolve(this.failed("the connection was closed"));
            });
        });
    }

    /** Ends the call; the endpoint sees its connection close and stops working on it. */
    cancel(reason: string): void {
        this.cancelReason = reason;
        this.outgoing.destroy();
    }

    private watchConnection(socket: Socket): void {
        if (!socket.connecting) {
            this.isConnected = true;
            return;
        }
        const timer = setTimeout(() => {
            this.cancel("no connection in time");
        }, connectTimeout);
        socket.once("connect", () => {
            this.isConnected = true;
            clearTimeout(timer);
        });
        this.outgoing.once("close", () => {
            clearTimeout(timer);
        });
    }

    private failed(message: string): ExchangeHead {
        const reason = this.cancelReason ?? message;
        return this.isConnected ? { kind: "lost", reason } : { kind: "notSent", reason };
    }
}
