import { crc32 } from "node:zlib";
import { Damage } from "../damage.js";

const lengthBytes = 4;
const checksumBytes = 4;
const headBytes = lengthBytes + checksumBytes + checksumBytes;
/** Largest record in bytes. */
export const recordLimit = 64 * 1024 * 1024;

/** A record as it was found in a file. */
export type StoredRecord = { readonly offset: number; readonly body: Buffer; };

/** What was found in the bytes of a file after its header. */
export type StoredRecords = {
    readonly records: readonly StoredRecord[];
    /** Where the last whole record ends; what follows is a torn tail. */
    readonly end: number;
};

/**
 * Frames a record: length, checksum of the length, checksum of the body, body. The length has a checksum of its own:
 * without it a damaged length in the middle would look like an incomplete last record, and records that were
 * acknowledged would be cut off with it.
 */
export function frameRecord(body: Uint8Array): Buffer {
    const framed = Buffer.allocUnsafe(headBytes + body.length);
    framed.writeUInt32BE(body.length, 0);
    framed.writeUInt32BE(crc32(framed.subarray(0, lengthBytes)), lengthBytes);
    framed.writeUInt32BE(crc32(body), lengthBytes + checksumBytes);
    framed.set(body, headBytes);
    return framed;
}

/**
 * Reads records from `start`. An incomplete last one ends the reading; anything else wrong throws `Damage`. With
 * `tornTail`, a broken record that no whole one follows ends the reading too.
 */
export function readRecords(file: string, bytes: Buffer, start: number, tornTail = false): StoredRecords {
    try {
        return readStrictly(file, bytes, start);
    }
    catch (error) {
        if (!tornTail || !(error instanceof Damage) || hasRecordAfter(bytes, error.offset)) {
            throw error;
        }
        return readStrictly(file, bytes.subarray(0, error.offset), start);
    }
}

/** Whether a whole record begins anywhere after the offset. */
function hasRecordAfter(bytes: Buffer, offset: number): boolean {
    for (let at = offset + 1; at + headBytes < bytes.length; at++) {
        const length = bytes.readUInt32BE(at);
        const end = at + headBytes + length;
        const fits = length > 0 && end <= bytes.length;
        if (
            fits
            && crc32(bytes.subarray(at, at + lengthBytes)) === bytes.readUInt32BE(at + lengthBytes)
            && crc32(bytes.subarray(at + headBytes, end)) === bytes.readUInt32BE(at + lengthBytes + checksumBytes)
        ) {
            return true;
        }
    }
    return false;
}

function readStrictly(file: string, bytes: Buffer, start: number): StoredRecords {
    const records: StoredRecord[] = [];
    let offset = start;
    while (bytes.length - offset >= headBytes) {
        const length = bytes.readUInt32BE(offset);
        const expected = bytes.readUInt32BE(offset + lengthBytes);
        if (crc32(bytes.subarray(offset, offset + lengthBytes)) !== expected || length > recordLimit) {
            throw Damage.create(file, offset, "the length of a record doesn't match its checksum");
        }
        const body = bytes.subarray(offset + headBytes, offset + headBytes + length);
        if (body.length < length) {
            break;
        }
        if (crc32(body) !== bytes.readUInt32BE(offset + lengthBytes + checksumBytes)) {
            throw Damage.create(file, offset, "a record doesn't match its checksum");
        }
        records.push({ offset, body });
        offset += headBytes + length;
    }
    return { records, end: offset };
}
