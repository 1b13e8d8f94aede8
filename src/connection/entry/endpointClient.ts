import { Agent, request as httpRequest } from "node:http";
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";

/** Idle connections kept to one endpoint. */
const maximumIdleConnections = 64;

/** Longest wait for a connection, in milliseconds. */
const connectTimeout: Milliseconds = 1_000;

/** A call to an endpoint. */
export interface EndpointCall {
    readonly method: string;
    readonly path: string;
    readonly headers: OutgoingHttpHeaders;
    readonly body: Buffer;
    /** Aborts the call and closes its connection. */
    readonly signal: AbortSignal;
    /**
     * Whether to use a connection of its own.
     *
     * A kept connection may be closed by the endpoint just as the call is written to it; then nobody knows whether the
     * call arrived. On a new one a failure to connect proves that it did not.
     */
    readonly freshConnection?: boolean;
}

/** How a call ended without an answer. */
export interface EndpointCallError {
    /** Whether a byte of the request may have reached the endpoint. */
    readonly sent: boolean;
    readonly reason: string;
}

/** What a call gave: the beginning of an answer, or an error. */
export type EndpointCallResult =
    | { readonly kind: "answer"; readonly message: IncomingMessage; }
    | { readonly kind: "error"; readonly error: EndpointCallError; };

/** HTTP connections to one endpoint, kept open between calls. */
export class EndpointClient implements Disposable {
    private readonly agent = new Agent({
        keepAlive: true,
        maxFreeSockets: maximumIdleConnections,
        scheduling: "lifo",
    });

    /** @param address IP number and port of the endpoint. */
    constructor(private readonly address: string) {}

    /** Sends a call; resolves when the head of its answer has arrived. */
    send(call: EndpointCall): Promise<EndpointCallResult> {
        return new Promise(resolve => {
            const { host, port } = splitAddress(this.address);
            const outgoing = httpRequest({
                host,
                port,
                agent: call.freshConnection === true ? false : this.agent,
                method: call.method,
                path: call.path,
                headers: { ...call.headers, "content-length": call.body.length },
                signal: call.signal,
            });
            outgoing.once("response", message => {
                resolve({ kind: "answer", message });
            });
            // A byte may have left as soon as the connection stands, since the request is written in the same turn.
            let connected = false;
            const timer = setTimeout(() => {
                if (!connected) {
                    outgoing.destroy(new Error("the connection took too long"));
                }
            }, connectTimeout);
            const noteConnected = (): void => {
                connected = true;
                clearTimeout(timer);
            };
            outgoing.once("socket", socket => {
                if (socket.connecting) {
                    socket.once("connect", noteConnected);
                }
                else {
                    noteConnected();
                }
            });
            outgoing.on("error", error => {
                clearTimeout(timer);
                resolve({ kind: "error", error: { sent: connected, reason: error.message } });
            });
            outgoing.end(call.body);
        });
    }

    /** Closes idle connections now and the others as soon as their calls have ended. */
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
