import { setMaxListeners } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Creates a signal that aborts if the caller ends its connection before the response is complete. */
export function createCallerAbortSignal(request: IncomingMessage, response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    const { socket } = request;
    // `node:http` closes the response of a caller that ended its connection, but not before the next turns.
    const onEnd = (): void => {
        if (!response.writableEnded) {
            controller.abort();
        }
    };
    // A caller may send any number of requests without waiting for the responses.
    setMaxListeners(0, socket);
    socket.once("end", onEnd);
    response.once("close", () => {
        socket.removeListener("end", onEnd);
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
