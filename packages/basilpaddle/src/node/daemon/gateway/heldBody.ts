import type * as http from "node:http";
import type { CallerLimits } from "../../protocol/index.js";
import { BodyBuffer, type Clock } from "../../utils/index.js";
import type { HeldBytes, ReceivedBody } from "../backends/index.js";
import { noRoomRetryAfterSeconds } from "../listeners/index.js";

/** Milliseconds in which a process that noticed the end of a body's time late reads what has come meanwhile. */
const lateReadMilliseconds = 100;

/** Until when a body must be whole, in milliseconds of the monotonic clock. */
export type BodyDeadline = { readonly clock: Clock; readonly dueAt: number; };

/** Refuses a request with a status, a cause and further headers. */
export type Refuse = (status: number, cause: string, headers?: Readonly<Record<string, string>>) => void;

/** How a body that wasn't read whole ended; undefined if its caller disconnected. */
type Unread = "tooLarge" | "noRoom" | "late" | undefined;

/** Reads a caller's whole body, and counts it until its answer has ended; undefined if it isn't whole, and its caller was told. */
export async function readBodyOrRefuse(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    limits: CallerLimits,
    held: HeldBytes,
    deadline: BodyDeadline,
    refuse: Refuse,
): Promise<Buffer | undefined> {
    const body = await readBody(incoming, response, limits, held, deadline);
    if (body === undefined) {
        response.destroy();
    }
    else if (response.headersSent) {
        // It was refused meanwhile, since the grace period is over.
        return undefined;
    }
    else if (body === "tooLarge") {
        refuse(413, `the body is larger than ${limits.bodyBytes} bytes`);
    }
    else if (body === "noRoom") {
        refuse(503, "no room for the body", { "Retry-After": String(noRoomRetryAfterSeconds), "Connection": "close" });
    }
    else if (body === "late") {
        refuse(408, "the body wasn't whole within the request's time", { "Connection": "close" });
    }
    return typeof body === "string" ? undefined : body;
}

/**
 * Reads the whole body before anything is forwarded, so that the request can be resent in full, and isn't run at all if its
 * caller disconnects midway. Resolves early, and leaves the rest unread, once it is known that it won't be read whole.
 */
function readBody(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    { bodyBytes }: CallerLimits,
    held: HeldBytes,
    deadline: BodyDeadline,
): Promise<Buffer | Unread> {
    if (Number(incoming.headers["content-length"] ?? 0) > bodyBytes) {
        return Promise.resolve("tooLarge");
    }
    return new Promise(resolve => {
        const buffer = BodyBuffer.create();
        const end = (body: Buffer | Unread): void => {
            cancelLimit();
            incoming.off("data", add).off("end", finish).off("close", leave);
            resolve(body);
        };
        const refuseRest = (cause: Unread): void => {
            received.release();
            incoming.pause();
            end(cause);
        };
        const received: ReceivedBody = held.received.receive(() => refuseRest("noRoom"));
        const add = (part: Buffer): void => {
            if (buffer.length + part.length > bodyBytes) {
                refuseRest("tooLarge");
            }
            else if (received.reserve(buffer.costOf(part))) {
                buffer.add(part);
            }
            else {
                refuseRest("noRoom");
            }
        };
        const finish = (): void => {
            received.recordWhole();
            end(buffer.whole());
        };
        // The connection broke before the end of the body, so there is no caller to answer.
        const leave = (): void => {
            received.release();
            end(undefined);
        };
        const cancelLimit = callOnceOverdue(deadline, () => refuseRest("late"));
        response.once("close", () => received.release());
        incoming.on("data", add).once("end", finish).once("close", leave);
        if (incoming.destroyed) {
            leave();
        }
    });
}

/** Calls back once a deadline is over, and what came before it was read; returns what cancels it. */
function callOnceOverdue({ clock, dueAt }: BodyDeadline, callback: () => void): () => void {
    let cancel = clock.after(Math.max(1, dueAt - clock.monotonic()), () => {
        if (clock.monotonic() - dueAt < lateReadMilliseconds) {
            callback();
        }
        else {
            cancel = clock.after(lateReadMilliseconds, callback);
        }
    });
    return () => cancel();
}
