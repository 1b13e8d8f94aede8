import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { ResponseFault } from "../../connection/responseFault.js";
import { forwardedResponseHeaders } from "./forwardedHeaders.js";

/** Number of body bytes that are buffered before any of the response is forwarded to the caller. */
const bufferedBeginningBytes = 64 * 1024;

/**
 * An endpoint's response whose beginning has been read; most responses fit into it completely.
 *
 * Nothing is forwarded before that, so that a request whose response is interrupted early can be retried.
 */
export class ServiceResponse {
    private constructor(
        private readonly message: IncomingMessage,
        private readonly iterator: AsyncIterator<Buffer>,
        private readonly connectionFault: () => ResponseFault | undefined,
        /** The buffered first bytes of the body. */
        readonly beginning: Buffer,
        /** Whether `beginning` is the complete body. */
        readonly isComplete: boolean,
    ) {}

    /**
     * Buffers the beginning of the body; undefined when the connection fails before it is complete.
     *
     * @param connectionFault How the connection has failed; undefined if it has not.
     */
    static async readBeginning(
        message: IncomingMessage,
        connectionFault: () => ResponseFault | undefined,
    ): Promise<ServiceResponse | undefined> {
        const iterator = (message as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        try {
            while (receivedBytes < bufferedBeginningBytes) {
                const next = await iterator.next();
                if (next.done === true) {
                    return connectionFault() === undefined
                        ? new ServiceResponse(message, iterator, connectionFault, Buffer.concat(chunks), true)
                        : undefined;
                }
                chunks.push(next.value);
                receivedBytes += next.value.length;
            }
        }
        catch {
            return undefined;
        }
        return new ServiceResponse(message, iterator, connectionFault, Buffer.concat(chunks), false);
    }

    /** Why the body is incomplete, once reading it has failed. */
    get fault(): ResponseFault {
        return this.connectionFault() ?? "endedEarly";
    }

    /** HTTP status of the response; 502 if it has none. */
    get status(): number {
        return this.message.statusCode ?? 502;
    }

    /** Media type of the body; `application/octet-stream` if the response names none. */
    get contentType(): string {
        return this.message.headers["content-type"] ?? "application/octet-stream";
    }

    /** The headers that are forwarded to the caller. */
    forwardedHeaders(): OutgoingHttpHeaders {
        const headers: OutgoingHttpHeaders = {};
        for (const name of forwardedResponseHeaders) {
            const value = this.message.headers[name];
            if (value !== undefined) {
                headers[name] = value;
            }
        }
        return headers;
    }

    /** Yields the body after the beginning; throws when the connection fails. */
    async *remainingChunks(): AsyncGenerator<Buffer, void, undefined> {
        for (;;) {
            const next = await this.iterator.next();
            if (next.done === true) {
                if (this.connectionFault() !== undefined) {
                    throw new Error("the connection failed");
                }
                return;
            }
            yield next.value;
        }
    }
}
