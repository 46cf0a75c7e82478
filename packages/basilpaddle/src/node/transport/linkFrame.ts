import type * as net from "node:net";
import type { Logger } from "../utils/index.js";
import type { FrameReader } from "./frame.js";

/** Bytes in a connection's send buffer above which messages that aren't answered are dropped. */
export const maxSendBufferBytes = 8 * 1024 * 1024;

/** One message between daemons. */
export type Frame = {
    readonly id?: number;
    readonly answerTo?: number;
    readonly body?: unknown;
    /** Keep-alive message: a probe (`ask`) or the reply to one (`sign`). */
    readonly life?: "ask" | "sign";
};

/** The messages that a chunk completes; none if one of them is invalid, and the connection is closed. */
export function readFrames(reader: FrameReader, chunk: Buffer, socket: net.Socket, logger: Logger): Frame[] {
    try {
        const frames = reader.push(chunk);
        if (frames.every(isFrame)) {
            return frames;
        }
        logger.warn("received a frame that is no message; closing the connection");
    }
    catch (error) {
        logger.warn("received an invalid frame; closing the connection", { error });
    }
    socket.destroy();
    return [];
}

function isFrame(value: unknown): value is Frame {
    return typeof value === "object" && Boolean(value);
}
