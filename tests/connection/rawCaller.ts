import { once } from "node:events";
import { connectClient } from "../../src/connection/clientSocket.js";
import { splitAddress } from "../../src/util/socketAddress.js";

/** How the connection of a caller ended; `open`: it is kept. */
export type ConnectionEnding = "end" | "reset" | "open";

/** A response as a caller receives it. */
export interface RawResponse {
    /** Status line and headers. */
    readonly head: string;
    /** The body as received, including the framing of chunks. */
    readonly framedBody: string;
    readonly ending: ConnectionEnding;
}

/** Last chunk of a body (RFC 9112, section 7.1), without trailers. */
const lastChunk = "0\r\n\r\n";

/** Sends a request; resolves with what was received until the connection ended, or until the time has passed. */
export async function sendRaw(address: string, request: string, longestMilliseconds: number): Promise<RawResponse> {
    const socket = connectClient(splitAddress(address));
    // A reset that arrives together with data would be seen as an orderly end otherwise.
    socket.beginExactEnd();
    await once(socket, "connect");
    let received = "";
    let ending: ConnectionEnding = "open";
    socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
    socket.once("end", () => ending = "end");
    socket.once("error", () => ending = "reset");
    socket.write(request);
    await new Promise(resolve => {
        socket.once("close", resolve);
        setTimeout(resolve, longestMilliseconds);
    });
    socket.destroy();
    const [head = "", ...rest] = received.split("\r\n\r\n");
    return { head, framedBody: rest.join("\r\n\r\n"), ending };
}

/** Whether the body is sent in chunks. */
export function isChunked({ head }: RawResponse): boolean {
    return /\r\ntransfer-encoding: chunked/i.test(head);
}

/** The body without the framing of chunks. */
export function bodyOf(response: RawResponse): string {
    if (!isChunked(response)) {
        return response.framedBody;
    }
    let rest = response.framedBody;
    let body = "";
    for (;;) {
        const [sizeLine = "", size = "0"] = /^([0-9a-f]+)\r\n/i.exec(rest) ?? [];
        const length = parseInt(size, 16);
        if (length === 0) {
            return body;
        }
        body += rest.slice(sizeLine.length, sizeLine.length + length);
        rest = rest.slice(sizeLine.length + length + 2);
    }
}

/** Whether a caller takes the response for complete (RFC 9112, section 8). */
export function looksComplete(response: RawResponse): boolean {
    const { head, framedBody, ending } = response;
    const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
    if (isChunked(response)) {
        return framedBody.endsWith(lastChunk);
    }
    return length === undefined ? ending === "end" : framedBody.length >= Number(length);
}
