import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Number of bytes that a server may send without adding to its response: before its headers, including interim
 * responses, and between two parts of its body, in the framing of chunks. `node:http` bounds only each single header.
 */
const maximumUnproductiveBytes = 64 * 1024;

/** Detects servers that send bytes without end that add nothing to the response. */
export class ResponseByteGuard {
    private message: IncomingMessage | undefined;
    private isBodyGuarded = false;
    private consumedBytes = 0;
    private productiveBytes = 0;
    private unproductiveBytes = 0;

    /** @param onExceeded Called when the server has sent too many unproductive bytes; must cancel the request. */
    constructor(request: ClientRequest, private readonly onExceeded: () => void) {
        request.once("response", message => {
            this.message = message;
            this.unproductiveBytes = 0;
        });
        request.once("socket", socket => {
            this.watch(request, socket);
        });
    }

    /** Yields the body; from now on its framing is guarded too. */
    async *chunks(message: IncomingMessage): AsyncGenerator<Buffer, void, undefined> {
        this.isBodyGuarded = true;
        for await (const chunk of message as AsyncIterable<Buffer>) {
            this.consumedBytes += chunk.length;
            yield chunk;
        }
    }

    private watch(request: ClientRequest, socket: Socket): void {
        // Follows the listener of the HTTP parser, which has handled the bytes by then.
        const onData = (bytes: Buffer): void => {
            this.count(bytes.length);
        };
        socket.on("data", onData);
        request.once("close", () => {
            socket.removeListener("data", onData);
        });
    }

    private count(receivedBytes: number): void {
        const { message } = this;
        if (message !== undefined && !this.isBodyGuarded) {
            return;
        }
        const productiveBytes = this.consumedBytes + (message?.readableLength ?? 0);
        if (productiveBytes > this.productiveBytes) {
            this.productiveBytes = productiveBytes;
            this.unproductiveBytes = 0;
            return;
        }
        this.unproductiveBytes += receivedBytes;
        if (this.unproductiveBytes > maximumUnproductiveBytes) {
            this.onExceeded();
        }
    }
}
