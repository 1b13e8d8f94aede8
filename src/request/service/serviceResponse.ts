import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { forwardedAnswerHeaders } from "./forwardedHeaders.js";

/** Bytes of an answer that are read before any of it goes to the caller. */
const heldBytes = 64 * 1024;

/**
 * An endpoint's answer of which the beginning has been read; of most answers this is the whole.
 *
 * Nothing goes to the caller before, so that an answer that breaks off early can be asked for again.
 */
export class ServiceAnswer {
    private constructor(
        private readonly message: IncomingMessage,
        private readonly iterator: AsyncIterator<Buffer>,
        /** The bytes read so far. */
        readonly beginning: Buffer,
        /** Whether they are all. */
        readonly whole: boolean,
    ) {}

    /** Reads the beginning; undefined when the answer breaks off before. */
    static async begin(message: IncomingMessage): Promise<ServiceAnswer | undefined> {
        const iterator = (message as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
        const chunks: Buffer[] = [];
        let length = 0;
        try {
            while (length < heldBytes) {
                const next = await iterator.next();
                if (next.done === true) {
                    return new ServiceAnswer(message, iterator, Buffer.concat(chunks), true);
                }
                chunks.push(next.value);
                length += next.value.length;
            }
        }
        catch {
            return undefined;
        }
        return new ServiceAnswer(message, iterator, Buffer.concat(chunks), false);
    }

    /** HTTP status of the answer. */
    get status(): number {
        return this.message.statusCode ?? 502;
    }

    /** Type of the body. */
    get contentType(): string {
        return this.message.headers["content-type"] ?? "application/octet-stream";
    }

    /** The headers that go back to the caller. */
    headers(): OutgoingHttpHeaders {
        const headers: OutgoingHttpHeaders = {};
        for (const name of forwardedAnswerHeaders) {
            const value = this.message.headers[name];
            if (value !== undefined) {
                headers[name] = value;
            }
        }
        return headers;
    }

    /** The bytes after the beginning; throws when the answer breaks off. */
    async *rest(): AsyncGenerator<Buffer, void, undefined> {
        for (;;) {
            const next = await this.iterator.next();
            if (next.done === true) {
                return;
            }
            yield next.value;
        }
    }
}
