import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Begins a successful answer; `isCut`: without a length, so that the end of its connection is its own. */
export function beginAnswer(response: ServerResponse, headers: OutgoingHttpHeaders, isCut: boolean): void {
    if (isCut) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(200, headers);
}

/** Writes bytes of an answer and resets its connection, so that its reader may find both at once. */
export function cutAnswer(response: ServerResponse, bytes: string): void {
    response.write(bytes, () => response.socket?.resetAndDestroy());
}
