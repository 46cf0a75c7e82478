import type { ServerResponse } from "node:http";

/** Lets the end of its connection be that of an answer; to be called before its head is written. */
export function omitLength(response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}

/** Writes bytes of an answer and resets its connection, so that its reader may find both at once. */
export function writeAndReset(response: ServerResponse, bytes: string): void {
    response.write(bytes, () => response.socket?.resetAndDestroy());
}
