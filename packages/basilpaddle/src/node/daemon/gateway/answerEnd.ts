import type * as http from "node:http";
import type { HeldBytes } from "../backends/index.js";

/** Answers whose end is that of their connection. */
const endedByConnection = new WeakSet<http.ServerResponse>();

/** Marks the end of an answer by that of its connection, as its backend server did: to be called before its head is sent. */
export function endWithConnection(response: http.ServerResponse): void {
    endedByConnection.add(response);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}

/** Ends an answer that isn't whole so that its caller can tell: its connection closes without the end of the answer. */
export function breakOff(response: http.ServerResponse): void {
    if (endedByConnection.has(response)) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/**
 * Sends a whole body and ends the answer once it is with the operating system. Node takes a connection for idle from the call of `end` on,
 * and a server that stops listening closes idle ones, with the bytes that a slow reader hasn't taken yet.
 */
export function endWhenSent(response: http.ServerResponse, body: Buffer): void {
    if (body.length > response.writableHighWaterMark || response.writableLength > 0) {
        response.write(body, () => response.end());
    }
    else {
        response.end(body);
    }
}

/** Counts a body that was handed to a caller's connection until the connection has taken it, or is closed. */
export function holdUntilTaken(response: http.ServerResponse, held: HeldBytes, attempt: string): void {
    if (response.writableLength > response.writableHighWaterMark) {
        const holding = held.take({ request: attempt }, response.writableLength);
        response.once("finish", () => holding.release());
        response.once("close", () => holding.release());
    }
}
