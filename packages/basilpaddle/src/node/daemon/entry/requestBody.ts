import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { RequestScope } from "../../coordination/request/index.js";
import type { Refusal } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import { notRun } from "./reply.js";

/** Event emitted on a request whose body turns out to be malformed HTTP while it is received. */
export const malformedEvent = "basilpaddleMalformed";

/** Limits of a request's body, in bytes and milliseconds. */
export type BodyLimits = { readonly bodyBytes: number; readonly receiveTimeout: number; };

const shutdownRetryAfterMilliseconds = 1_000;
const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Reads the whole body of a request. A body that is too large or too slow is refused before it is received completely,
 * and the connection closes after the answer: the rest of the body would be parsed as the next request. `scope`: a shutdown that
 * stops it refuses the request.
 */
export function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    limits: BodyLimits,
    clock: Clock,
    scope?: RequestScope,
): Promise<Either<Refusal, Buffer>> {
    const tooLarge = notRun("bodyTooLarge", `the body exceeds ${limits.bodyBytes} bytes`);
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let length = 0;
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
                chunks.length = 0;
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
            limits.receiveTimeout,
            () =>
                end(Left(
                    notRun(
                        "requestTimeout",
                        `the request was not received completely within ${limits.receiveTimeout} ms`,
                    ),
                )),
        );
        request.on("error", () => end(Left(notRun("malformedBody", "the request ended before its body was complete"))));
        request.on(malformedEvent, () => end(Left(notRun("malformedBody", "the body's HTTP encoding is invalid"))));
        request.on("close", () => end(Left(notRun("callerGone", "the caller disconnected"))));
        if (Number(request.headers["content-length"] ?? 0) > limits.bodyBytes) {
            end(Left(tooLarge));
            return;
        }
        request.on("data", (chunk: Buffer) => {
            if (ended) {
                return;
            }
            length += chunk.length;
            if (length > limits.bodyBytes) {
                end(Left(tooLarge));
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => end(Right(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))));
    });
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
