import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { DisposableStore } from "../../src/util/disposableStore.js";
import { listen } from "../../src/util/socketAddress.js";

/** How a server ends a connection behind its last bytes. */
export type ServerEnding =
    | "end"
    /** In order; then the connection is reset because the request was not read. */
    | "endThenReset"
    /** By a reset that arrives together with the last bytes. */
    | "resetWithData";

/** Writes bytes and ends the connection in the same turn of the event loop. */
export function writeAndEnd(socket: Socket, bytes: string, ending: ServerEnding): void {
    if (ending === "end") {
        socket.end(bytes, "latin1");
        return;
    }
    if (ending === "endThenReset") {
        socket.end(bytes, "latin1", () => {
            socket.destroy();
        });
        return;
    }
    socket.write(bytes, "latin1");
    socket.resetAndDestroy();
}

/** Starts a server that responds to the first bytes of each request, and reads no more; returns its address. */
export async function startRawServer(store: DisposableStore, bytes: string, ending: ServerEnding): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            writeAndEnd(socket, bytes, ending);
        });
    });
    store.defer(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return listen(server, "127.0.0.1:0");
}
