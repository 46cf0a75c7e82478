import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyRoom } from "../listeners/index.js";

/** Maximum size of the body of an operator's request. The files of a change and the declaration merged from them must fit into one frame between daemons together. */
export const bodyLimitBytes = 4 * 1024 * 1024;

const refusals = {
    tooLarge: { status: 413, message: `the body exceeds ${bodyLimitBytes} bytes` },
    noRoom: { status: 503, message: "no room for the body; nothing was done" },
    broken: { status: 408, message: "the body was not received completely" },
} as const;

/** A parsed body, or the HTTP status and message of the refusal. */
export type BodyResult =
    | { readonly kind: "read"; readonly value: unknown; }
    | { readonly kind: "refused"; readonly status: 400 | 408 | 413 | 503; readonly message: string; };

/** Reads and parses a JSON body of at most `bodyLimitBytes`, for which there is room beside others. */
export async function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    room: BodyRoom,
): Promise<BodyResult> {
    const body = await room.read(request, response, bodyLimitBytes).catch(() => "broken" as const);
    if (Buffer.isBuffer(body)) {
        try {
            return { kind: "read", value: JSON.parse(body.toString("utf8")) };
        }
        catch (error) {
            return { kind: "refused", status: 400, message: `the body isn't JSON: ${(error as Error).message}` };
        }
    }
    if (body !== "broken") {
        // The rest of the body isn't read.
        response.shouldKeepAlive = false;
        response.once("finish", () => request.destroy());
    }
    return { kind: "refused", ...refusals[body] };
}
