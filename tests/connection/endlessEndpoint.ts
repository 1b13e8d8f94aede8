import { once } from "node:events";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { DisposableStore } from "../../src/util/disposableStore.js";
import { listen } from "../../src/util/socketAddress.js";

/** Minimum number of bytes written at once. */
const writeBytes = 64 * 1024;

/** What an endpoint sends: a beginning, then the same bytes until its connection is closed. */
export interface EndlessBytes {
    readonly beginning: string;
    readonly repeated: string;
}

/** An endpoint that responds to each request with bytes without end, as fast as they are read. */
export class EndlessEndpoint {
    /** Number of connections that received a request. */
    requests = 0;
    private openSockets = 0;

    private constructor(readonly address: string, private readonly closeEvents: AbortSignal) {}

    /** Whether all connections that received a request have been closed by the other side. */
    get isAbandoned(): boolean {
        return this.openSockets === 0 && !this.closeEvents.aborted;
    }

    static async start(store: DisposableStore, { beginning, repeated }: EndlessBytes): Promise<EndlessEndpoint> {
        const sockets = new Set<Socket>();
        const stopped = new AbortController();
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("data", () => {
                endpoint.requests++;
                endpoint.openSockets++;
                socket.once("close", () => {
                    endpoint.openSockets--;
                });
                void sendWithoutEnd(socket, beginning, repeated);
            });
        });
        store.defer(() => {
            stopped.abort();
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        const endpoint = new EndlessEndpoint(await listen(server, "127.0.0.1:0"), stopped.signal);
        return endpoint;
    }
}

async function sendWithoutEnd(socket: Socket, beginning: string, repeated: string): Promise<void> {
    socket.write(beginning);
    const block = Buffer.from(repeated.repeat(Math.ceil(writeBytes / repeated.length)));
    const closed = new AbortController();
    socket.once("close", () => {
        closed.abort();
    });
    while (!socket.destroyed) {
        if (!socket.write(block)) {
            await once(socket, "drain", { signal: closed.signal }).catch(() => undefined);
        }
    }
}
