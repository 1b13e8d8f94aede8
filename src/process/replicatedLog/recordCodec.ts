import { Decoder, Encoder } from "cbor-x";
import { crc32 } from "node:zlib";

/** First four bytes of each record ("GHr1"), by which a search finds records behind a damaged one. */
const recordMark = Buffer.from("GHr1", "latin1");

/** Bytes before the body: mark, 32-bit length of the body, 32-bit CRC of length and body; all big-endian. */
const headerBytes = 12;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a value as CBOR. */
export function encodeValue(value: unknown): Uint8Array {
    return encoder.encode(value);
}

/** Decodes CBOR; the value is not yet validated. Throws on malformed bytes. */
export function decodeValue(bytes: Uint8Array): unknown {
    return decoder.decode(bytes);
}

/** One sound record and the place behind it. */
interface SoundRecord {
    readonly body: Uint8Array;
    readonly end: number;
}

/** What a scan of a file found. */
export interface RecordScan {
    /** Bodies of the sound records, in order. */
    readonly bodies: readonly Uint8Array[];
    /** Bytes that the sound records take. */
    readonly soundBytes: number;
    /**
     * What follows them: nothing; the rest of a write that a crash cut short; or damage, since a sound record stands
     * behind it and each record was synced before the next one was written.
     */
    readonly ending: "clean" | "torn" | "damaged";
}

/** Encodes a value as one checksummed record. */
export function encodeRecord(value: unknown): Buffer {
    const body = encoder.encode(value);
    const record = Buffer.allocUnsafe(headerBytes + body.length);
    recordMark.copy(record, 0);
    record.writeUInt32BE(body.length, 4);
    body.copy(record, headerBytes);
    record.writeUInt32BE(checksumOf(record, body.length), 8);
    return record;
}

/** Reads the records of a file up to the first that is not sound. */
export function scanRecords(bytes: Uint8Array): RecordScan {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const bodies: Uint8Array[] = [];
    let offset = 0;
    while (offset < buffer.length) {
        const record = recordAt(buffer, offset);
        if (record === undefined) {
            const ending = soundRecordBehind(buffer, offset + 1) ? "damaged" : "torn";
            return { bodies, soundBytes: offset, ending };
        }
        bodies.push(record.body);
        offset = record.end;
    }
    return { bodies, soundBytes: offset, ending: "clean" };
}

function recordAt(buffer: Buffer, offset: number): SoundRecord | undefined {
    if (buffer.length - offset < headerBytes || buffer.compare(recordMark, 0, 4, offset, offset + 4) !== 0) {
        return undefined;
    }
    const length = buffer.readUInt32BE(offset + 4);
    const end = offset + headerBytes + length;
    if (end > buffer.length) {
        return undefined;
    }
    const record = buffer.subarray(offset, end);
    if (record.readUInt32BE(8) !== checksumOf(record, length)) {
        return undefined;
    }
    return { body: record.subarray(headerBytes), end };
}

function soundRecordBehind(buffer: Buffer, start: number): boolean {
    let offset = buffer.indexOf(recordMark, start);
    while (offset >= 0) {
        if (recordAt(buffer, offset) !== undefined) {
            return true;
        }
        offset = buffer.indexOf(recordMark, offset + 1);
    }
    return false;
}

function checksumOf(record: Buffer, length: number): number {
    return crc32(record.subarray(headerBytes), length);
}
