import type { IncomingMessage } from "node:http";

/**
 * Whether the body is delimited by a length or by chunks, not merely by the end of the connection.
 *
 * A body with another transfer coding than chunks as the last one ends with its connection (RFC 9112, section 6.3).
 */
export function hasFramedBody({ headers }: Pick<IncomingMessage, "headers">): boolean {
    const transferCodings = headers["transfer-encoding"];
    return transferCodings === undefined
        ? headers["content-length"] !== undefined
        : transferCodings.toLowerCase().split(",").at(-1)?.trim() === "chunked";
}
