import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { RequestScope } from "../../coordination/request/index.js";
import type { Refusal } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import { type BodyRoom, noRoomRetryAfterSeconds } from "../listeners/index.js";
import { notRun } from "./reply.js";

/** Event emitted on a request whose body turns out to be malformed HTTP while it is received. */
export const malformedEvent = "basilpaddleMalformed";

/** Limits of a request's body, in bytes and milliseconds. */
export type BodyLimits = { readonly bodyBytes: number; readonly receiveTimeout: number; };

/** What reading a body needs: its limits, and the room that all bodies share. */
export type BodyReading = { readonly limits: BodyLimits; readonly clock: Clock; readonly room: BodyRoom; };

const shutdownRetryAfterMilliseconds = 1_000;
const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Reads the whole body of a request. A body that is too large or too slow, or for which there is no room beside others, is refused
 * before it is received completely, and the connection closes after the answer: the rest of the body would be parsed as the next
 * request. `scope`: a shutdown that stops it refuses the request.
 */
export function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    { limits, clock, room }: BodyReading,
    scope?: RequestScope,
): Promise<Either<Refusal, Buffer>> {
    const { bodyBytes, receiveTimeout } = limits;
    const tooLarge = notRun("bodyTooLarge", `the body exceeds ${bodyBytes} bytes`);
    const noRoom = refusalForRoom("no room for the body beside others");
    const broken = notRun("malformedBody", "the request ended before its body was complete");
    return new Promise(resolve => {
        const abandoned = new AbortController();
        let ended = false;
        const end = (result: Either<Refusal, Buffer>) => {
            if (ended) {
                return;
            }
            ended = true;
            cancelTimer();
            scope?.signal.removeEventListener("abort", onShutdown);
            if (result.isLeft()) {
                response.setHeader("connection", "close");
                abandoned.abort();
            }
            resolve(result);
        };
        const onShutdown = (): void => {
            if (scope?.stopped === "shuttingDown") {
                end(Left(notRun("shuttingDown", "this daemon is shutting down", shutdownRetryAfterMilliseconds)));
            }
        };
        scope?.signal.addEventListener("abort", onShutdown);
        const cancelTimer = clock.after(
            receiveTimeout,
            () =>
                end(Left(
                    notRun("requestTimeout", `the request was not received completely within ${receiveTimeout} ms`),
                )),
        );
        request.on("error", () => end(Left(broken)));
        request.on(malformedEvent, () => end(Left(notRun("malformedBody", "the body's HTTP encoding is invalid"))));
        request.on("close", () => {
            if (!request.complete) {
                end(Left(notRun("callerGone", "the caller disconnected")));
            }
        });
        if (Number(request.headers["content-length"] ?? 0) > bodyBytes) {
            end(Left(tooLarge));
            return;
        }
        room.read(request, response, bodyBytes, abandoned.signal).then(
            body => end(Buffer.isBuffer(body) ? Right(body) : Left(body === "tooLarge" ? tooLarge : noRoom)),
            () => end(Left(broken)),
        );
    });
}

/** The refusal of a request for which there is no room beside others. */
export function refusalForRoom(message: string): Refusal {
    return notRun("noRoom", message, noRoomRetryAfterSeconds * 1_000);
}

/** Parses a body as UTF-8 encoded JSON. */
export function parseJson(body: Uint8Array): Either<Refusal, unknown> {
    try {
        return Right(JSON.parse(decoder.decode(body)));
    }
    catch (failure) {
        return Left(notRun("malformedBody", `the body is not JSON: ${(failure as Error).message}`));
    }
}
