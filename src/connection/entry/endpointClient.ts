import { request as httpRequest } from "node:http";
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Milliseconds } from "../../util/clock.js";
import { hasPort, splitAddress } from "../../util/socketAddress.js";
import { cancelOnAbort, cancelRequest } from "../cancelRequest.js";
import { ClientAgent } from "../clientAgent.js";
import { connectClient, detectResetOfUnframedBody } from "../clientSocket.js";
import { ResponseByteGuard } from "../responseByteGuard.js";
import { responseFaultOf } from "../responseFault.js";
import type { ResponseFault } from "../responseFault.js";
import { findHeadViolation } from "../responseHead.js";
import { sendWhenConnected } from "../sendWhenConnected.js";

/** Maximum number of idle connections to one endpoint. */
const maximumIdleConnections = 64;

/** Timeout for connecting, in milliseconds. */
const connectTimeout: Milliseconds = 1_000;

/** A call to an endpoint. */
export interface EndpointCall {
    readonly method: string;
    readonly path: string;
    readonly headers: OutgoingHttpHeaders;
    readonly body: Buffer;
    /** Aborts the call and resets its connection. */
    readonly signal: AbortSignal;
    /**
     * Whether to open a new connection instead of reusing one.
     *
     * The endpoint may close a reused connection while the call is being written to it, and then it is unknown whether
     * the call arrived. A failure to open a new connection proves that it did not.
     */
    readonly freshConnection?: boolean;
}

/** Why a call ended without a response. */
export interface EndpointCallError {
    /** Whether a byte of the request may have reached the endpoint. */
    readonly sent: boolean;
    readonly reason: string;
    /** Undefined if nothing was sent. */
    readonly fault: ResponseFault | undefined;
}

/** Result of a call: a response whose body has not been read, or an error. */
export type EndpointCallResult =
    | {
        readonly kind: "answer";
        readonly message: IncomingMessage;
        /**
         * How the connection has failed, so that the body is incomplete: `node:http` reports the end of a body without a
         * length in any case. Undefined if it has not failed.
         */
        readonly connectionFault: () => ResponseFault | undefined;
    }
    | { readonly kind: "error"; readonly error: EndpointCallError; };

/** HTTP client for one endpoint, which reuses connections. */
export class EndpointClient implements Disposable {
    private readonly agent = new ClientAgent({
        keepAlive: true,
        maxFreeSockets: maximumIdleConnections,
        scheduling: "lifo",
    });

    /** @param address IP address and port of the endpoint, as `host:port`. */
    constructor(private readonly address: string) {}

    /** Sends a call; resolves when the headers of the response have arrived, or with an error. */
    send(call: EndpointCall): Promise<EndpointCallResult> {
        if (!hasPort(this.address)) {
            const error = { sent: false, reason: `${this.address} has no port to connect to`, fault: undefined };
            return Promise.resolve({ kind: "error", error });
        }
        return new Promise(resolve => {
            const { host, port } = splitAddress(this.address);
            const clientRequest = httpRequest({
                host,
                port,
                ...(call.freshConnection === true
                    ? { createConnection: () => connectClient({ host, port }) }
                    : { agent: this.agent }),
                method: call.method,
                path: call.path,
                headers: { ...call.headers, "content-length": call.body.length },
            });
            cancelOnAbort(clientRequest, call.signal);
            detectResetOfUnframedBody(clientRequest);
            new ResponseByteGuard(clientRequest, () => {
                cancelRequest(clientRequest);
            });
            let sent = false;
            let connectionFault: ResponseFault | undefined;
            const fail = (reason: string, fault: ResponseFault): void => {
                resolve({ kind: "error", error: { sent, reason, fault: sent ? fault : undefined } });
            };
            clientRequest.once("response", response => {
                const violation = findHeadViolation(response);
                if (violation !== undefined) {
                    fail(violation.reason, violation.fault);
                    cancelRequest(clientRequest);
                    return;
                }
                resolve({ kind: "answer", message: response, connectionFault: () => connectionFault });
            });
            sendWhenConnected(clientRequest, {
                body: call.body,
                connectTimeout,
                onConnectTimeout: () => {
                    clientRequest.destroy(new Error("the connection attempt timed out"));
                },
                onSend: () => {
                    sent = true;
                },
            });
            clientRequest.on("error", error => {
                connectionFault ??= responseFaultOf(error);
                fail(error.message, connectionFault);
            });
            // A change of the protocol (101) that nobody asked for closes the connection without an error.
            clientRequest.once("close", () => {
                fail("the connection was closed", "endedEarly");
            });
        });
    }

    /** Closes idle connections now, and the others when their calls have ended. */
    retire(): void {
        this.agent.maxFreeSockets = 0;
        for (const socket of Object.values(this.agent.freeSockets).flat()) {
            socket?.destroy();
        }
    }

    [Symbol.dispose](): void {
        this.agent.destroy();
    }
}
