import { Decoder, Encoder } from "cbor-x";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";

/** Bytes of the big-endian length that precedes the body of each frame. */
const lengthBytes = 4;

/** Largest accepted body of a frame, in bytes. */
export const maximumFrameBytes = 8 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a message as one frame: a 32-bit big-endian length, then the CBOR body. */
export function encodeFrame(message: unknown): Buffer {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(lengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, lengthBytes);
    return frame;
}

/**
 * Cuts a byte stream into frames and decodes them.
 *
 * The reader holds at most one incomplete frame. After an error it must not be used again.
 */
export class FrameReader {
    private chunks: Buffer[] = [];
    private buffered = 0;

    /** @param limit Largest accepted body, in bytes. */
    constructor(private readonly limit: number = maximumFrameBytes) {}

    /**
     * Takes the next bytes of the stream.
     *
     * @returns The messages that became complete, not yet validated, or the fault of the stream.
     */
    push(chunk: Buffer): Result<readonly unknown[], Failure> {
        this.chunks.push(chunk);
        this.buffered += chunk.length;
        const messages: unknown[] = [];
        for (;;) {
            if (this.buffered < lengthBytes) {
                return Ok(messages);
            }
            const length = this.peekLength();
            if (length > this.limit) {
                return Err(failure("frameTooLarge", { length, limit: this.limit }));
            }
            if (this.buffered < lengthBytes + length) {
                return Ok(messages);
            }
            const frame = this.take(lengthBytes + length);
            try {
                messages.push(decoder.decode(frame.subarray(lengthBytes)));
            }
            catch (error) {
                return Err(failure("frameMalformed", { reason: String(error) }));
            }
        }
    }

    private peekLength(): number {
        const first = this.chunks[0];
        if (first !== undefined && first.length >= lengthBytes) {
            return first.readUInt32BE(0);
        }
        return this.joined().readUInt32BE(0);
    }

    private take(length: number): Buffer {
        const first = this.chunks[0];
        const source = first !== undefined && first.length >= length ? first : this.joined();
        const taken = source.subarray(0, length);
        this.chunks[0] = source.subarray(length);
        this.buffered -= length;
        return taken;
    }

    private joined(): Buffer {
        const all = Buffer.concat(this.chunks);
        this.chunks = [all];
        return all;
    }
}
