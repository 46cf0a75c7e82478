import type * as http from "node:http";
import type { CallerLimits } from "../../protocol/index.js";
import type { HeldBytes } from "../backends/index.js";

/** Part of the limit of all bodies that callers' may take, so that answers to them can still be read. */
const callersFraction = 0.5;
/** Retry-After if there is no room for a body. */
export const noRoomRetryAfterSeconds = 0.3;

/** Reads a caller's whole body, and counts it until its answer has ended; "noRoom" if all bodies together have too many bytes. */
export function readHeldBody(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    limits: CallerLimits,
    held: HeldBytes,
): ReturnType<typeof readBody> {
    const holding = held.hold({});
    response.once("close", () => holding.release());
    return readBody(incoming, limits, bytes => held.tryReserve(holding, bytes, callersFraction));
}

/**
 * Reads the whole body before anything is forwarded, so that the request can be resent in full, and isn't run at all if its
 * caller disconnects midway. Returns "tooLarge" as soon as the limit is exceeded, "noRoom" at the end of a body that `mayKeep` had no
 * room for, undefined if the caller disconnected.
 */
export async function readBody(
    incoming: http.IncomingMessage,
    limits: CallerLimits,
    mayKeep: (bytes: number) => boolean = () => true,
): Promise<Buffer | "tooLarge" | "noRoom" | undefined> {
    const announced = Number(incoming.headers["content-length"] ?? 0);
    if (announced > limits.bodyBytes) {
        return "tooLarge";
    }
    let chunks: Buffer[] | undefined = [];
    let size = 0;
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > limits.bodyBytes) {
                return "tooLarge";
            }
            // The rest is read too: to stop would close the connection without an answer.
            chunks = mayKeep(chunk.length) ? chunks : undefined;
            chunks?.push(chunk);
        }
    }
    catch {
        // The connection broke before the end of the body, so there is no caller to answer.
        return undefined;
    }
    if (chunks === undefined) {
        return "noRoom";
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
