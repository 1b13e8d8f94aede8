import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { splitAddress } from "../../src/util/socketAddress.js";

/** How a caller ends its connection: in order, or by a reset. */
export const disconnections = ["end", "reset"] as const;

/** One of {@link disconnections}. */
export type Disconnection = typeof disconnections[number];

/** Opens a connection on which errors are ignored. */
export async function openConnection(address: string): Promise<Socket> {
    const socket = connect(splitAddress(address));
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
}

/** Ends a connection at once; bytes that were written before are received first. */
export function disconnect(socket: Socket, disconnection: Disconnection): void {
    if (disconnection === "reset") {
        socket.resetAndDestroy();
    }
    else {
        socket.destroy();
    }
}

/**
 * Sends a request and ends the connection in the same turn of the event loop.
 *
 * A server in the same process cannot read the request before the connection has ended, like one whose event loop is
 * late.
 */
export async function sendAndDisconnect(address: string, request: string, disconnection: Disconnection): Promise<void> {
    const socket = await openConnection(address);
    socket.write(request);
    disconnect(socket, disconnection);
}

/** Formats an HTTP request with a length, if it has a body. */
export function formatRequest(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body = "",
): string {
    const length = body === "" ? {} : { "content-length": String(Buffer.byteLength(body)) };
    const lines = Object.entries({ ...headers, ...length }).map(([name, value]) => `${name}: ${value}`);
    return [`${method} ${path} HTTP/1.1`, ...lines, "", body].join("\r\n");
}
