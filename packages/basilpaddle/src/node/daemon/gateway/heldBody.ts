import type * as http from "node:http";
import type { CallerLimits } from "../../protocol/index.js";
import type { HeldBytes } from "../backends/index.js";
import { readBody } from "./callerRequest.js";

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
