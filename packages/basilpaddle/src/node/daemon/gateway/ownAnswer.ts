import type * as http from "node:http";

/** Writes an error response of this daemon's own. */
export function writeOwnAnswer(
    response: http.ServerResponse,
    status: number,
    cause: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = Buffer.from(`${JSON.stringify({ error: cause })}\n`);
    response.writeHead(status, { ...headers, "Content-Type": "application/json", "Content-Length": body.length });
    response.end(body);
}
