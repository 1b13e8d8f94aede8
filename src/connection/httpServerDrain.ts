import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../util/clock.js";
import { waitForSocketPoll } from "../util/waitForSocketPoll.js";
import { withTimeout } from "../util/withTimeout.js";
import { abortResponse } from "./abortResponse.js";
import { holdsBytes } from "./server/clientConnections.js";

/** Requests of one connection. */
interface ConnectionActivity {
    readonly runningResponses: Set<ServerResponse>;
    /** Number of bytes that had been received when the newest response ended. */
    receivedBytesAtEnd: number;
}

/**
 * Closes an HTTP server without cutting requests: connections are closed once they are idle, and responses tell callers
 * to use other ones.
 *
 * `close` of `node:http` waits without end for connections that were never used, as it also stops checking the timeouts
 * of requests, and its `closeIdleConnections` destroys connections that are still sending the end of a response.
 */
export class HttpServerDrain {
    private readonly connections = new Map<Socket, ConnectionActivity>();
    private hasBegun = false;
    private isClosing = false;

    /** @param server A server that has not been started. */
    constructor(private readonly server: Server) {
        server.on("connection", (socket: Socket) => {
            this.connections.set(socket, { runningResponses: new Set(), receivedBytesAtEnd: 0 });
            socket.once("close", () => this.connections.delete(socket));
        });
        // Before the listener that responds, which may send the headers at once.
        server.prependListener("request", (request, response) => {
            this.recordRequest(request, response);
        });
    }

    /** From now on, each response closes its connection; the server still listens. */
    begin(): void {
        this.hasBegun = true;
        for (const { runningResponses } of this.connections.values()) {
            runningResponses.forEach(response => {
                response.shouldKeepAlive = false;
            });
        }
    }

    /**
     * Stops listening; resolves when all requests have been answered or timed out, and their connections are closed.
     *
     * @param unused Whether connections without a request so far are closed, or serve one as long as they are open.
     */
    async close(unused: "closed" | "kept" = "closed"): Promise<void> {
        this.begin();
        // Reads the requests that have already arrived.
        await waitForSocketPoll();
        this.isClosing = true;
        const closed = new Promise<void>(resolve => {
            NetServer.prototype.close.call(this.server, () => {
                resolve();
            });
        });
        [...this.connections.keys()].filter(({ bytesRead }) => bytesRead > 0 || unused === "closed").forEach(socket => {
            this.closeIfIdle(socket);
        });
        await closed;
        // Ends the checks of timeouts.
        this.server.close();
    }

    /** Like {@link close}, but aborts what has not ended after a time. */
    async closeWithin(clock: Clock, timeLimit: Milliseconds): Promise<void> {
        await withTimeout(clock, timeLimit, signal => {
            signal.addEventListener("abort", () => {
                this.abortConnections();
            }, { once: true });
            return this.close();
        });
    }

    private recordRequest({ socket }: IncomingMessage, response: ServerResponse): void {
        const activity = this.connections.get(socket);
        if (activity === undefined) {
            return;
        }
        if (this.hasBegun) {
            response.shouldKeepAlive = false;
        }
        activity.runningResponses.add(response);
        response.once("close", () => {
            activity.runningResponses.delete(response);
            activity.receivedBytesAtEnd = socket.bytesRead;
            if (this.isClosing) {
                this.closeIfIdle(socket);
            }
        });
    }

    private closeIfIdle(socket: Socket): void {
        const activity = this.connections.get(socket);
        const hasRequest = holdsBytes(socket) || activity?.receivedBytesAtEnd !== socket.bytesRead;
        if (activity?.runningResponses.size === 0 && !hasRequest) {
            socket.destroySoon();
        }
    }

    private abortConnections(): void {
        for (const [socket, { runningResponses }] of this.connections) {
            runningResponses.forEach(abortResponse);
            socket.destroy();
        }
    }
}
