import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** An HTTP request to a stand-in, with its complete body. */
export type Call = {
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
};

/** Sends a JSON response, unless the caller has disconnected or was answered. */
export function respondWithJson(response: ServerResponse, status: number, body: unknown): void {
    if (response.destroyed || response.writableEnded) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/** Resolves after the time or on abort; without a timer, in the same turn of the event loop, if the time is 0 or less. */
export function wait(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (milliseconds <= 0 || signal?.aborted) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const timer = setTimeout(resolve, milliseconds);
        signal?.addEventListener("abort", () => {
            clearTimeout(timer);
            resolve();
        }, { once: true });
    });
}

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

/** The HTTP server of a stand-in, on a port that the system chooses. */
export class HttpServer {
    private constructor(private readonly server: Server, readonly url: string) {}

    static create(host: string, handler: (call: Call) => Promise<void>): Promise<HttpServer> {
        const server = createServer((request, response) => {
            const path = request.url ?? "/";
            void readBody(request)
                .then(body => handler({ method: request.method ?? "GET", path, body, request, response }))
                .catch((error: unknown) => respondWithJson(response, 500, { message: String(error) }));
        });
        // By default Node.js limits a request to five minutes and its headers to one minute; a stalled stream may last longer.
        server.requestTimeout = 0;
        server.keepAliveTimeout = 10_000;
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, host, () => {
                const { port } = server.address() as AddressInfo;
                resolve(new HttpServer(server, `http://${host}:${port}`));
            });
        });
    }

    /** Stops listening and destroys every connection, as the crash of a process does. */
    destroy(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Stops listening, and resolves once the connections in use are closed. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }
}
