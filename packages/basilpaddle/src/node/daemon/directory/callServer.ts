import * as http from "node:http";
import type { Finding } from "../../protocol/index.js";
import { DisposableStore, type Logger } from "../../utils/index.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";

/** Largest body in bytes: a configuration of some thousands of routes. */
const bodyLimit = 8 * 1024 * 1024;
/** Milliseconds for a whole call to arrive. */
const receiveTimeout = 10_000;
/** Milliseconds that an idle connection stays open: several heartbeats. */
const keepAliveTimeout = 15_000;

/** What a call is answered with. */
export type CallAnswer =
    | { readonly kind: "done"; }
    | { readonly kind: "document"; readonly content: string; }
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; }
    /** Nobody can be sure now: the caller should ask another directory, or again. */
    | { readonly kind: "unavailable"; readonly reason: string; }
    | { readonly kind: "unknownCall"; };

/** Carries the calls out. */
export abstract class CallHandler {
    /** Answers one call with its whole body. */
    abstract answer(call: DirectoryCall, body: string): Promise<CallAnswer>;
}

/** The HTTP listener for backend servers and operators. */
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
        const created = new CallServer(options.handler, options.wire, options.logger);
        const server = http.createServer({ requestTimeout: receiveTimeout, keepAliveTimeout, noDelay: true });
        server.on("request", (request, response) => void created.receive(request, response));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.address.port, options.address.host, resolve);
        });
        created.store.add(() => {
            server.close();
            server.closeAllConnections();
        });
        return created;
    }

    /** Stops listening and breaks every connection. */
    close(): Promise<void> {
        return this.store.dispose();
    }

    private async receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        request.on("error", error => this.logger.debug("a call broke", { error: error.message }));
        response.on("error", error => this.logger.debug("an answer broke", { error: error.message }));
        const path = (request.url ?? "").split("?", 1)[0]!;
        try {
            const call = this.wire.call(request.method ?? "", path);
            const body = await readBody(request);
            const answer = body === undefined
                ? { kind: "invalid" as const, findings: [tooLarge] }
                : await this.handler.answer(call, body);
            this.reply(response, answer);
        }
        catch (error) {
            this.logger.error("a call failed", { method: request.method, path, error });
            this.reply(response, { kind: "unavailable", reason: "the call failed" });
        }
    }

    private reply(response: http.ServerResponse, answer: CallAnswer): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const [status, body] = this.written(answer);
        const bytes = Buffer.from(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
        response.end(bytes);
    }

    private written(answer: CallAnswer): [number, string] {
        switch (answer.kind) {
            case "done":
                return [200, "{}"];
            case "document":
                return [200, answer.content];
            case "invalid":
                return [400, this.wire.findings(answer.findings)];
            case "unavailable":
                return [503, JSON.stringify({ error: answer.reason })];
            case "unknownCall":
                return [404, JSON.stringify({ error: "no such call" })];
        }
    }
}

const tooLarge: Finding = { file: "body", place: "", cause: `it is larger than ${bodyLimit} bytes` };

/** The whole body; undefined for one over the limit. Fails where the connection breaks before its end. */
async function readBody(request: http.IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size <= bodyLimit) {
            chunks.push(chunk);
        }
    }
    return size > bodyLimit ? undefined : Buffer.concat(chunks).toString("utf8");
}
