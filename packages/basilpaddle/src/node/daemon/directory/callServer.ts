import * as http from "node:http";
import type { Finding } from "../../protocol/index.js";
import { DisposableStore, type Logger } from "../../utils/index.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";

/** Large enough for a configuration of some thousands of routes. */
const maxBodyBytes = 8 * 1024 * 1024;
/** Time limit for receiving a whole request. */
const receiveTimeoutMilliseconds = 10_000;
/** How long an idle connection stays open: several heartbeat intervals. */
const keepAliveTimeoutMilliseconds = 15_000;

/** Result of a call, before it is written as an HTTP response. */
export type CallResponse =
    | { readonly kind: "done"; }
    | { readonly kind: "document"; readonly content: string; }
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; }
    /** The outcome can't be determined now: the caller should retry, here or at another directory. */
    | { readonly kind: "unavailable"; readonly reason: string; }
    | { readonly kind: "unknownCall"; };

/** Executes the calls that the server receives. */
export abstract class CallHandler {
    /** Handles one call, given its complete body. */
    abstract handle(call: DirectoryCall, body: string): Promise<CallResponse>;
}

/** HTTP server for the calls of backend servers and operators. */
export class CallServer {
    private readonly store = DisposableStore.create();

    private constructor(
        private readonly handler: CallHandler,
        private readonly wire: DirectoryWire,
        private readonly logger: Logger,
    ) {}

    static async create(options: {
        readonly address: { readonly host: string; readonly port: number; };
        readonly handler: CallHandler;
        readonly wire: DirectoryWire;
        readonly logger: Logger;
    }): Promise<CallServer> {
        const callServer = new CallServer(options.handler, options.wire, options.logger);
        const server = http.createServer({
            requestTimeout: receiveTimeoutMilliseconds,
            keepAliveTimeout: keepAliveTimeoutMilliseconds,
            noDelay: true,
        });
        server.on("request", (request, response) => void callServer.receive(request, response));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.address.port, options.address.host, resolve);
        });
        callServer.store.add(() => {
            server.close();
            server.closeAllConnections();
        });
        return callServer;
    }

    /** Stops listening and closes every connection, active ones included. */
    close(): Promise<void> {
        return this.store.dispose();
    }

    private async receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        request.on("error", error => this.logger.debug("reading a request failed", { error: error.message }));
        response.on("error", error => this.logger.debug("writing a response failed", { error: error.message }));
        const path = (request.url ?? "").split("?", 1)[0]!;
        try {
            const call = this.wire.parseCall(request.method ?? "", path);
            const body = await readBody(request);
            const result = body === undefined
                ? { kind: "invalid" as const, findings: [bodyTooLarge] }
                : await this.handler.handle(call, body);
            this.reply(response, result);
        }
        catch (error) {
            this.logger.error("handling a request failed", { method: request.method, path, error });
            this.reply(response, { kind: "unavailable", reason: "internal error while handling the call" });
        }
    }

    private reply(response: http.ServerResponse, outcome: CallResponse): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const [status, body] = this.statusAndBody(outcome);
        const bytes = Buffer.from(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
        response.end(bytes);
    }

    private statusAndBody(outcome: CallResponse): [number, string] {
        switch (outcome.kind) {
            case "done":
                return [200, "{}"];
            case "document":
                return [200, outcome.content];
            case "invalid":
                return [400, this.wire.findings(outcome.findings)];
            case "unavailable":
                return [503, JSON.stringify({ error: outcome.reason })];
            case "unknownCall":
                return [404, JSON.stringify({ error: "unknown call" })];
        }
    }
}

const bodyTooLarge: Finding = { file: "body", place: "", cause: `the body is larger than ${maxBodyBytes} bytes` };

/**
 * Reads the whole body; undefined if it exceeds the limit. Rejects if the connection breaks before its end. A body over the
 * limit is still read to its end, but not stored.
 */
async function readBody(request: http.IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size <= maxBodyBytes) {
            chunks.push(chunk);
        }
    }
    return size > maxBodyBytes ? undefined : Buffer.concat(chunks).toString("utf8");
}
