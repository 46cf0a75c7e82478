import type * as http from "node:http";
import type { CallerLimits } from "../../protocol/index.js";
import type { HeldBytes } from "../backends/index.js";
import { BodyBuffer } from "../listeners/index.js";

/** Part of the limit of all bodies that callers' may take, so that answers to them can still be read. */
const callersFraction = 0.5;
/** Retry-After if there is no room for a body. */
export const noRoomRetryAfterSeconds = 0.3;

/** Refuses a request with a status, a cause and further headers. */
export type Refuse = (status: number, cause: string, headers?: Readonly<Record<string, string>>) => void;

/** Reads a caller's whole body, and counts it until its answer has ended; undefined if it isn't whole, and its caller was told. */
export async function readBodyOrRefuse(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    limits: CallerLimits,
    held: HeldBytes,
    refuse: Refuse,
): Promise<Buffer | undefined> {
    const body = await readHeldBody(incoming, response, limits, held);
    if (body === undefined) {
        response.destroy();
    }
    else if (body === "tooLarge") {
        refuse(413, `the body is larger than ${limits.bodyBytes} bytes`);
    }
    else if (body === "noRoom") {
        refuse(503, "no room for the body", { "Retry-After": String(noRoomRetryAfterSeconds) });
    }
    // The request may have been refused meanwhile, since the grace period is over.
    return typeof body === "string" || response.headersSent ? undefined : body;
}

/** Reads a caller's whole body, and counts it until its answer has ended; "noRoom" if all bodies together have too many bytes. */
function readHeldBody(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    limits: CallerLimits,
    held: HeldBytes,
): ReturnType<typeof readBody> {
    const holding = held.hold({});
    response.once("close", () => holding.release());
    return readBody(incoming, limits, bytes => {
        const fits = held.tryReserve(holding, bytes, callersFraction);
        if (!fits) {
            holding.release();
        }
        return fits;
    });
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
    let buffer: BodyBuffer | undefined = BodyBuffer.create();
    let size = 0;
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > limits.bodyBytes) {
                return "tooLarge";
            }
            // The rest is read too: to stop would close the connection without an answer.
            buffer = buffer !== undefined && mayKeep(buffer.costOf(chunk)) ? buffer : undefined;
            buffer?.add(chunk);
        }
    }
    catch {
        // The connection broke before the end of the body, so there is no caller to answer.
        return undefined;
    }
    return buffer?.whole() ?? "noRoom";
}
