import type { IncomingMessage } from "node:http";

/** Whether the body is delimited by a length or by chunks, not merely by the end of the connection. */
export function hasFramedBody(message: IncomingMessage): boolean {
    return message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
}
