import { Decoder, Encoder } from "cbor-x";
import { crc32 } from "node:zlib";

/** Magic number at the start of each record, which lets a scan find records after a damaged one. */
const recordMagic = Buffer.from("GHr1", "latin1");

/** Header size in bytes: magic number, 32-bit body length, 32-bit CRC of body and length; integers are big-endian. */
const headerBytes = 12;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a value as CBOR. */
export function encodeValue(value: unknown): Uint8Array {
    return encoder.encode(value);
}

/** Decodes CBOR without validating the value against a schema. Throws on malformed bytes. */
export function decodeValue(bytes: Uint8Array): unknown {
    return decoder.decode(bytes);
}

/** A valid record and the offset of the byte after it. */
interface ValidRecord {
    readonly body: Uint8Array;
    readonly end: number;
}

/** The result of scanning a file for records. */
export interface RecordScan {
    /** Bodies of the leading valid records, in order. */
    readonly bodies: readonly Uint8Array[];
    /** Size of the leading valid records in bytes. */
    readonly validBytes: number;
    /**
     * What follows the leading valid records: nothing (`clean`), an incomplete write that a crash interrupted (`torn`),
     * or damage (`damaged`). A later valid record indicates damage, since each record is synced before the next is
     * written.
     */
    readonly tail: "clean" | "torn" | "damaged";
}

/** Encodes a value as one checksummed record. */
export function encodeRecord(value: unknown): Buffer {
    const body = encoder.encode(value);
    const record = Buffer.allocUnsafe(headerBytes + body.length);
    recordMagic.copy(record, 0);
    record.writeUInt32BE(body.length, 4);
    body.copy(record, headerBytes);
    record.writeUInt32BE(checksumOf(record, body.length), 8);
    return record;
}

/** Reads the records of a file up to the first invalid one. */
export function scanRecords(bytes: Uint8Array): RecordScan {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const bodies: Uint8Array[] = [];
    let offset = 0;
    while (offset < buffer.length) {
        const record = readRecordAt(buffer, offset);
        if (record === undefined) {
            const tail = hasValidRecordFrom(buffer, offset + 1) ? "damaged" : "torn";
            return { bodies, validBytes: offset, tail };
        }
        bodies.push(record.body);
        offset = record.end;
    }
    return { bodies, validBytes: offset, tail: "clean" };
}

function readRecordAt(buffer: Buffer, offset: number): ValidRecord | undefined {
    if (buffer.length - offset < headerBytes || buffer.compare(recordMagic, 0, 4, offset, offset + 4) !== 0) {
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

function hasValidRecordFrom(buffer: Buffer, start: number): boolean {
    let offset = buffer.indexOf(recordMagic, start);
    while (offset >= 0) {
        if (readRecordAt(buffer, offset) !== undefined) {
            return true;
        }
        offset = buffer.indexOf(recordMagic, offset + 1);
    }
    return false;
}

function checksumOf(record: Buffer, length: number): number {
    return crc32(record.subarray(headerBytes), length);
}
