import type { IncomingMessage } from "node:http";

/** Maximum size of the body of an operator's request. A change and its merged form together must fit into one frame between daemons. */
export const bodyLimitBytes = 4 * 1024 * 1024;

/** The parsed body, or the HTTP status and message of the refusal. */
export type Body =
    | { readonly kind: "read"; readonly value: unknown; }
    | { readonly kind: "refused"; readonly status: 400 | 408 | 413; readonly message: string; };

/** Reads and parses a JSON body of at most `bodyLimitBytes`. */
export async function readBody(request: IncomingMessage): Promise<Body> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > bodyLimitBytes) {
                return {
                    kind: "refused",
                    status: 413,
                    message: `the body is over the limit of ${bodyLimitBytes} bytes`,
                };
            }
            chunks.push(chunk);
        }
    }
    catch {
        return { kind: "refused", status: 408, message: "the body didn't arrive whole" };
    }
    try {
        return { kind: "read", value: JSON.parse(Buffer.concat(chunks).toString("utf8")) };
    }
    catch (error) {
        return { kind: "refused", status: 400, message: `the body isn't JSON: ${(error as Error).message}` };
    }
}
