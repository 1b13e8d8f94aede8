import type { ClientRequest } from "node:http";
import { resetConnection } from "./resetConnection.js";

/** Aborts a request and withdraws the part of it that the server has not received. */
export function cancelRequest(request: ClientRequest): void {
    if (request.destroyed) {
        // Its connection may serve another request by now.
        return;
    }
    // Destroying the request alone would close its connection in order.
    if (request.socket) {
        resetConnection(request.socket);
    }
    request.destroy();
}

/** Cancels a request when a signal is aborted. */
export function cancelOnAbort(request: ClientRequest, signal: AbortSignal): void {
    const cancel = (): void => {
        cancelRequest(request);
    };
    if (signal.aborted) {
        cancel();
        return;
    }
    signal.addEventListener("abort", cancel, { once: true });
    request.once("close", () => {
        signal.removeEventListener("abort", cancel);
    });
}
