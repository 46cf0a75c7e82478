import type * as http from "node:http";

/** Estimated bytes on the heap, beside the payload, of what a connection makes a process hold. */
export const retainedBytes = {
    /** A connection with its parser and its listeners. */
    connection: 16_000,
    /** A request in progress with its response, and the connection to a server on which it waits. */
    request: 24_000,
    /** One header line, as it was received and by its name, also as it is forwarded. */
    headerLine: 400,
} as const;

/** Bytes of the shortest header line. */
const shortestHeaderLineBytes = 4;

/** Estimated bytes of a request in progress with that head. */
export function retainedByRequest({ rawHeaders }: http.IncomingMessage): number {
    return retainedBytes.request + rawHeaders.length / 2 * retainedBytes.headerLine;
}

/** Estimated bytes that a parser holds at most for that many bytes of a head. */
export function retainedByHead(bytes: number): number {
    return bytes / shortestHeaderLineBytes * retainedBytes.headerLine;
}
