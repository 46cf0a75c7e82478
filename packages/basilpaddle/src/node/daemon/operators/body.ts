import type { IncomingMessage } from "node:http";

/** Maximum size of the body of an operator's request. The files of a change and the declaration merged from them must fit into one frame between daemons together. */
export const bodyLimitBytes = 4 * 1024 * 1024;

/** A parsed body, or the HTTP status and message of the refusal. */
export type BodyResult =
    | { readonly kind: "read"; readonly value: unknown; }
    | { readonly kind: "refused"; readonly status: 400 | 408 | 413; readonly message: string; };

/** Reads and parses a JSON body of at most `bodyLimitBytes`. */
export async function readBody(request: IncomingMessage): Promise<BodyResult> {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            receivedBytes += chunk.length;
            if (receivedBytes > bodyLimitBytes) {
                return {
                    kind: "refused",
                    status: 413,
                    message: `the body exceeds ${bodyLimitBytes} bytes`,
                };
            }
            chunks.push(chunk);
        }
    }
    catch {
        return { kind: "refused", status: 408, message: "the body was not received completely" };
    }
    try {
        return { kind: "read", value: JSON.parse(Buffer.concat(chunks).toString("utf8")) };
    }
    catch (error) {
        return { kind: "refused", status: 400, message: `the body isn't JSON: ${(error as Error).message}` };
    }
}
