import { createServer } from "node:http";
import type { Socket } from "node:net";
import { listen } from "../../util/socketAddress.js";

/**
 * A server that stands in for any number of endpoints: it answers an entry's requests for load reports with a constant
 * load, and all other requests with an empty list of events.
 */
export class FakeEndpointServer implements AsyncDisposable {
    private answeredRequests = 0;
    private closedConnectionBytes = 0;
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer((request, response) => {
        this.answeredRequests += 1;
        response.setHeader("content-type", "application/json");
        if (request.url !== "/v1/load") {
            response.end("{\"events\":[],\"last\":0}");
            return;
        }
        response.end(JSON.stringify({
            reportedAt: Date.now(),
            model: "model-0",
            version: "1",
            adapters: [],
            role: "mixed",
            runningRequests: 8,
            waitingRequests: 0,
            maximumRunningRequests: 32,
            leaving: false,
        }));
    });

    /** Number of requests so far. */
    get requestCount(): number {
        return this.answeredRequests;
    }

    /** Bytes of requests and responses so far, without TCP and IP headers. */
    get byteCount(): number {
        const open = [...this.sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
        return this.closedConnectionBytes + open;
    }

    /** Starts to listen on a free loopback port; resolves with the address. */
    start(): Promise<string> {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.closedConnectionBytes += socket.bytesRead + socket.bytesWritten;
            });
        });
        return listen(this.server, "127.0.0.1:0");
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
            this.server.closeAllConnections();
        });
    }
}
