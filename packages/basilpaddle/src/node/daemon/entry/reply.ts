import type { IncomingMessage, ServerResponse } from "node:http";
import {
    callerHeaders,
    errorBody,
    type Outcome,
    type Refusal,
    type RefusalCode,
    refusalStatus,
    type StoredAnswer,
    wireOutcomes,
} from "../../protocol/index.js";

/** How long a connection stays open after an answer that was sent before the request was received completely. */
const lingerMilliseconds = 1_000;

/** Builds a refusal of a request that was not forwarded to any backend server. */
export function notRun(code: RefusalCode, message: string, retryAfter?: number): Refusal {
    return { code, outcome: "notRun", message, retryAfter };
}

/** Response headers of a refusal. */
export function refusalHeaders(refusal: Refusal, requestId: string | undefined): Record<string, string> {
    const headers: Record<string, string> = { [callerHeaders.outcome]: wireOutcomes[refusal.outcome] };
    if (requestId !== undefined) {
        headers[callerHeaders.requestId] = requestId;
    }
    if (refusal.retryAfter !== undefined) {
        headers["retry-after"] = String(Math.ceil(refusal.retryAfter / 1_000));
    }
    return headers;
}

/** Answers with a refusal. If headers were already sent, the answer is broken off instead. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
    if (response.headersSent || response.destroyed) {
        breakOff(response);
        return;
    }
    endAfterRequest(response, writeRefusalHead(response, refusal, requestId));
}

/** Closes the connection of an answer that isn't whole. A caller of HTTP/1.0 takes a regular end for that of its answer. */
function breakOff(response: ServerResponse): void {
    if (response.req.httpVersion === "1.0") {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/** Writes the head of a refusal; returns its body. */
export function writeRefusalHead(response: ServerResponse, refusal: Refusal, requestId: string | undefined): string {
    const body = JSON.stringify(errorBody(refusal, requestId));
    response.writeHead(refusalStatus[refusal.code], {
        ...refusalHeaders(refusal, requestId),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    });
    return body;
}

/**
 * Ends an answer that is sent before its request was received completely. Closing at once would reset the connection
 * while the caller is still sending; the reset can overtake the answer, and the caller would see a connection error
 * without the reason of the refusal.
 */
function endAfterRequest(response: ServerResponse, body: string): void {
    const request = response.req;
    if (request.complete || request.destroyed) {
        response.end(body);
        return;
    }
    response.write(body);
    const timer = setTimeout(() => response.end(), lingerMilliseconds);
    const end = () => {
        clearTimeout(timer);
        response.end();
    };
    request.once("end", end);
    response.once("close", () => clearTimeout(timer));
    request.resume();
}

/** Answers with JSON. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/** Replays the recorded answer of an earlier request with the same key. */
export function sendRecordedAnswer(response: ServerResponse, answer: StoredAnswer): void {
    response.writeHead(answer.status, {
        ...answer.headers,
        "content-length": answer.body.length,
        [callerHeaders.replayed]: "true",
    });
    response.end(answer.body);
}

/** Outcome of a request that failed with an internal error of this daemon: it isn't known whether the request ran. */
export const internalErrorOutcome: Outcome = "unknown";

/** Value of a header. Repeated headers are joined by commas, and the validation of each header then refuses the joined value. */
export function header(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
}
