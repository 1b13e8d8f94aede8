import type { ServerResponse } from "node:http";
import { resetConnection } from "./resetConnection.js";

/**
 * Ends a response early so that the caller cannot take it for complete.
 *
 * A body in chunks lacks its last chunk then. Any other body may be delimited by the end of the connection, so that only
 * a reset tells that it is incomplete.
 */
export function abortResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding && response.socket) {
        resetConnection(response.socket);
    }
    response.destroy();
}
