import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../util/clock.js";

/** Maximum size of a body that is read to its end so that its connection can be reused, in bytes. */
const maximumDiscardedBytes = 64 * 1024;

/** Maximum time for reading such a body. */
const discardTimeout: Milliseconds = 1_000;

/**
 * Discards the body of a response.
 *
 * @param cancel Closes the connection; called if the body is too long or takes too long.
 */
export function discardBody(message: IncomingMessage, cancel: () => void): void {
    let bytes = 0;
    const timer = setTimeout(cancel, discardTimeout);
    message.once("close", () => {
        clearTimeout(timer);
    });
    message.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maximumDiscardedBytes) {
            cancel();
        }
    });
}
