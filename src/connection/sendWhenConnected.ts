import type { ClientRequest } from "node:http";
import type { Milliseconds } from "../util/clock.js";
import { waitForSocketPoll } from "../util/waitForSocketPoll.js";

/** How a request is sent. */
export interface SendOptions {
    /** The whole body; undefined if the request has none. */
    readonly body: Buffer | undefined;
    /** Maximum time for opening a connection. */
    readonly connectTimeout: Milliseconds;
    /** Called if no connection was opened in time; must destroy the request. */
    readonly onConnectTimeout: () => void;
    /** Called before the first byte is written. */
    readonly onSend: () => void;
}

/**
 * Sends a request when its connection is established, unless it was destroyed before.
 *
 * On a new connection, the event loop first polls all sockets again: the reason to cancel the request may have been
 * received while the connection was being established.
 */
export function sendWhenConnected(request: ClientRequest, options: SendOptions): void {
    const { body, connectTimeout, onConnectTimeout, onSend } = options;
    const send = (): void => {
        if (!request.destroyed) {
            onSend();
            request.end(body);
        }
    };
    request.once("socket", socket => {
        if (!socket.connecting) {
            send();
            return;
        }
        const timer = setTimeout(onConnectTimeout, connectTimeout);
        request.once("close", () => {
            clearTimeout(timer);
        });
        socket.once("connect", () => {
            clearTimeout(timer);
            void waitForSocketPoll().then(send);
        });
    });
}
