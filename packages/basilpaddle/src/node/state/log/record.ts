import { crc32 } from "node:zlib";
import { Damage } from "../damage.js";

const lengthBytes = 4;
const checksumBytes = 4;
const frameHeaderBytes = lengthBytes + checksumBytes + checksumBytes;
/** Maximum size of a record's body in bytes. */
export const recordLimitBytes = 64 * 1024 * 1024;

/** A record read from a file, with its byte offset. */
export type StoredRecord = { readonly offset: number; readonly body: Buffer; };

/** The records read from the bytes of a file after its header. */
export type StoredRecords = {
    readonly records: readonly StoredRecord[];
    /** Byte offset of the end of the last complete record; what follows is a torn tail. */
    readonly end: number;
};

/**
 * Frames a record: length, checksum of the length, checksum of the body, body. The length has its own checksum:
 * without it a corrupt length in the middle of the file would look like an incomplete last record, and acknowledged
 * records after it would be truncated.
 */
export function frameRecord(body: Uint8Array): Buffer {
    const framed = Buffer.allocUnsafe(frameHeaderBytes + body.length);
    framed.writeUInt32BE(body.length, 0);
    framed.writeUInt32BE(crc32(framed.subarray(0, lengthBytes)), lengthBytes);
    framed.writeUInt32BE(crc32(body), lengthBytes + checksumBytes);
    framed.set(body, frameHeaderBytes);
    return framed;
}

/**
 * Reads records from byte `start`. Reading ends at an incomplete last record; any other deviation throws `Damage`. With
 * `tornTail`, reading also ends at a corrupt record that no complete record follows.
 */
export function readRecords(file: string, bytes: Buffer, start: number, tornTail = false): StoredRecords {
    try {
        return readCompleteRecords(file, bytes, start);
    }
    catch (error) {
        if (!tornTail || !(error instanceof Damage) || hasRecordAfter(bytes, error.offset)) {
            throw error;
        }
        return readCompleteRecords(file, bytes.subarray(0, error.offset), start);
    }
}

/** Whether a complete record starts anywhere after the offset. */
function hasRecordAfter(bytes: Buffer, offset: number): boolean {
    for (let at = offset + 1; at + frameHeaderBytes < bytes.length; at++) {
        const length = bytes.readUInt32BE(at);
        const end = at + frameHeaderBytes + length;
        const fits = length > 0 && end <= bytes.length;
        if (
            fits
            && crc32(bytes.subarray(at, at + lengthBytes)) === bytes.readUInt32BE(at + lengthBytes)
            && crc32(bytes.subarray(at + frameHeaderBytes, end))
                === bytes.readUInt32BE(at + lengthBytes + checksumBytes)
        ) {
            return true;
        }
    }
    return false;
}

function readCompleteRecords(file: string, bytes: Buffer, start: number): StoredRecords {
    const records: StoredRecord[] = [];
    let offset = start;
    while (bytes.length - offset >= frameHeaderBytes) {
        const length = bytes.readUInt32BE(offset);
        const expected = bytes.readUInt32BE(offset + lengthBytes);
        if (crc32(bytes.subarray(offset, offset + lengthBytes)) !== expected || length > recordLimitBytes) {
            throw Damage.create(file, offset, "the length of a record doesn't match its checksum");
        }
        const body = bytes.subarray(offset + frameHeaderBytes, offset + frameHeaderBytes + length);
        if (body.length < length) {
            break;
        }
        if (crc32(body) !== bytes.readUInt32BE(offset + lengthBytes + checksumBytes)) {
            throw Damage.create(file, offset, "a record doesn't match its checksum");
        }
        records.push({ offset, body });
        offset += frameHeaderBytes + length;
    }
    return { records, end: offset };
}
