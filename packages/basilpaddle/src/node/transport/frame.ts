import { Encoder } from "cbor-x";
import type { Socket } from "node:net";

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
 * ends before, the frame is over the limit or it can't be decoded.
 */
export function readFrame(socket: Socket): Promise<unknown> {
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
            if (bodyBytes === 0 || bodyBytes > maxFrameBytes) {
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

/** Decodes the frames of a byte stream. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;

    static create(): FrameReader {
        return new FrameReader();
    }

    /** Appends a chunk and returns the values of all frames it completes. Throws on a frame over the limit or an invalid body. */
    push(chunk: Buffer): unknown[] {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        const values: unknown[] = [];
        for (let body = this.nextBody(); body !== undefined; body = this.nextBody()) {
            values.push(encoder.decode(body));
        }
        return values;
    }

    private nextBody(): Buffer | undefined {
        if (this.bufferedBytes < frameHeaderBytes) {
            return undefined;
        }
        // Chunks are joined only when a whole frame has arrived; joining at each chunk would take quadratic time.
        const first = this.chunks[0]!;
        const header = first.length >= frameHeaderBytes ? first : this.joinChunks();
        const length = header.readUInt32BE(0);
        if (length > maxFrameBytes) {
            throw new RangeError(
                `A frame header gives a body length of ${length} bytes; the limit is ${maxFrameBytes} bytes.`,
            );
        }
        if (this.bufferedBytes < frameHeaderBytes + length) {
            return undefined;
        }
        const bytes = this.joinChunks();
        const remaining = bytes.subarray(frameHeaderBytes + length);
        this.chunks = remaining.length > 0 ? [remaining] : [];
        this.bufferedBytes = remaining.length;
        return bytes.subarray(frameHeaderBytes, frameHeaderBytes + length);
    }

    private joinChunks(): Buffer {
        if (this.chunks.length > 1) {
            this.chunks = [Buffer.concat(this.chunks)];
        }
        return this.chunks[0]!;
    }
}
