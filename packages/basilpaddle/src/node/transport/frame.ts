import { Encoder } from "cbor-x";
import type { Socket } from "node:net";
import { BodyBuffer } from "../utils/index.js";

/** Maximum length of a frame's body; a larger length in the header means that the sender is faulty or uses another protocol. */
export const maxFrameBytes = 16 * 1024 * 1024;
const frameHeaderBytes = 4;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes a value as a frame: a four-byte big-endian length, followed by the value in CBOR. Throws if the encoded value is
 * over the limit.
 */
export function encodeFrame(value: unknown): Buffer {
    const body = encoder.encode(value);
    if (body.length > maxFrameBytes) {
        throw new RangeError(`A frame body of ${body.length} bytes exceeds the limit of ${maxFrameBytes} bytes.`);
    }
    const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, frameHeaderBytes);
    return frame;
}

/**
 * Reads one frame of a connection and leaves the bytes after it to be read by others; resolves to undefined if the connection
 * ends before, the frame is over the limit or it can't be decoded. `limit`: bytes of its body.
 */
export function readFrame(socket: Socket, limit = maxFrameBytes): Promise<unknown> {
    return new Promise(resolve => {
        let bodyBytes: number | undefined;
        const settle = (value: unknown): void => {
            socket.off("readable", readMore);
            socket.off("close", onClose);
            resolve(value);
        };
        const onClose = (): void => settle(undefined);
        const readMore = (): void => {
            if (bodyBytes === undefined) {
                const header = socket.read(frameHeaderBytes) as Buffer | undefined;
                if (!header) {
                    return;
                }
                bodyBytes = header.readUInt32BE(0);
            }
            if (bodyBytes === 0 || bodyBytes > limit) {
                settle(undefined);
                return;
            }
            const body = socket.read(bodyBytes) as Buffer | undefined;
            if (body) {
                settle(decodeBody(body));
            }
        };
        socket.on("readable", readMore);
        socket.on("close", onClose);
    });
}

/** The value of a frame's body; undefined if it is no CBOR. */
function decodeBody(body: Buffer): unknown {
    try {
        return encoder.decode(body);
    }
    catch {
        // Anybody can connect: the sender is answered like one that sends no frame.
        return undefined;
    }
}

/** Decodes the frames of a byte stream. What it holds follows the bytes that have come, however small their parts are. */
export class FrameReader {
    private header: Buffer = Buffer.alloc(0);
    /** The body that is being received, and its bytes; undefined until its header is whole. */
    private body: { readonly buffer: BodyBuffer; readonly bytes: number; } | undefined;

    static create(): FrameReader {
        return new FrameReader();
    }

    /** Bytes that it holds of a frame that isn't whole. */
    get heldBytes(): number {
        return this.header.length + (this.body?.buffer.heldBytes ?? 0);
    }

    /** Appends a chunk and returns the values of all frames it completes. Throws on a frame over the limit or an invalid body. */
    push(chunk: Buffer): unknown[] {
        const values: unknown[] = [];
        let rest = chunk;
        while (rest.length > 0) {
            rest = this.body === undefined ? this.readHeader(rest) : rest;
            if (this.body !== undefined) {
                const { buffer, bytes } = this.body;
                const part = rest.subarray(0, bytes - buffer.length);
                rest = rest.subarray(part.length);
                if (buffer.length + part.length < bytes) {
                    buffer.add(part);
                    break;
                }
                this.body = undefined;
                values.push(encoder.decode(buffer.length === 0 ? part : join(buffer, part)));
            }
        }
        return values;
    }

    /** Reads what a chunk has of a header; returns the rest. */
    private readHeader(chunk: Buffer): Buffer {
        const missing = frameHeaderBytes - this.header.length;
        this.header = Buffer.concat([this.header, chunk.subarray(0, missing)]);
        if (this.header.length === frameHeaderBytes) {
            const bytes = this.header.readUInt32BE(0);
            this.header = Buffer.alloc(0);
            if (bytes > maxFrameBytes) {
                throw new RangeError(
                    `A frame header gives a body length of ${bytes} bytes; the limit is ${maxFrameBytes} bytes.`,
                );
            }
            this.body = { buffer: BodyBuffer.create(), bytes };
        }
        return chunk.subarray(missing);
    }
}

function join(buffer: BodyBuffer, last: Buffer): Buffer {
    buffer.add(last);
    return buffer.whole();
}
