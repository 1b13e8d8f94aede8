import type { Socket } from "node:net";

/**
 * Closes a connection immediately, by a reset if it is established: an orderly close would still deliver the bytes in
 * the kernel's send buffer.
 *
 * After `end` it is destroyed without a reset, because a reset would then block the event loop of Node.js 20.
 */
export function resetConnection(socket: Socket): void {
    if (socket.connecting || socket.writableEnded || socket.destroyed) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
}
