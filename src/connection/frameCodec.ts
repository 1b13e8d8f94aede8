import { Decoder, Encoder } from "cbor-x";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";

/** Size of the big-endian length prefix of each frame, in bytes. */
const lengthPrefixBytes = 4;

/** Maximum size of the body of a frame, in bytes. */
export const maximumFrameBytes = 8 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a message as one frame: a 32-bit big-endian length, then the CBOR body. */
export function encodeFrame(message: unknown): Buffer {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, lengthPrefixBytes);
    return frame;
}

/**
 * Splits a byte stream into frames and decodes them.
 *
 * Buffers at most one incomplete frame. Must not be used again after an error.
 */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private hasFrame = false;

    /**
     * @param maximumBodyBytes Maximum size of a body, in bytes.
     * @param maximumFirstBodyBytes Maximum size of the body of the first frame, in bytes.
     */
    constructor(
        private readonly maximumBodyBytes: number = maximumFrameBytes,
        private readonly maximumFirstBodyBytes: number = maximumBodyBytes,
    ) {}

    /** Whether a whole frame has been received. */
    get hasReceivedFrame(): boolean {
        return this.hasFrame;
    }

    /**
     * Adds the next bytes of the stream.
     *
     * @returns The messages that these bytes complete, not validated; `frameTooLarge` or `frameMalformed` on error.
     */
    push(chunk: Buffer): Result<readonly unknown[], Failure> {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        const messages: unknown[] = [];
        for (;;) {
            if (this.bufferedBytes < lengthPrefixBytes) {
                return Ok(messages);
            }
            const length = this.peekLength();
            const limit = this.hasFrame ? this.maximumBodyBytes : this.maximumFirstBodyBytes;
            if (length > limit) {
                return Err(failure("frameTooLarge", { length, limit }));
            }
            if (this.bufferedBytes < lengthPrefixBytes + length) {
                return Ok(messages);
            }
            this.hasFrame = true;
            const frame = this.takeBytes(lengthPrefixBytes + length);
            try {
                messages.push(decoder.decode(frame.subarray(lengthPrefixBytes)));
            }
            catch (error) {
                return Err(failure("frameMalformed", { reason: String(error) }));
            }
        }
    }

    private peekLength(): number {
        const first = this.chunks[0];
        if (first !== undefined && first.length >= lengthPrefixBytes) {
            return first.readUInt32BE(0);
        }
        return this.concatenateChunks().readUInt32BE(0);
    }

    private takeBytes(length: number): Buffer {
        const first = this.chunks[0];
        const source = first !== undefined && first.length >= length ? first : this.concatenateChunks();
        const taken = source.subarray(0, length);
        this.chunks[0] = source.subarray(length);
        this.bufferedBytes -= length;
        return taken;
    }

    private concatenateChunks(): Buffer {
        const all = Buffer.concat(this.chunks);
        this.chunks = [all];
        return all;
    }
}
