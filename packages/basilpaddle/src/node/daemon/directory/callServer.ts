import { isUtf8 } from "node:buffer";
import * as http from "node:http";
import type { Finding } from "../../protocol/index.js";
import { DisposableStore, type Logger } from "../../utils/index.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";

/** Large enough for a configuration of some thousands of routes. */
const maxDocumentBytes = 8 * 1024 * 1024;
/** Large enough for any call of a backend server, which names its models in its heartbeats. */
const maxCallBytes = 64 * 1024;
/** Time limit for receiving a whole request. */
const receiveTimeoutMilliseconds = 10_000;
/** How long an idle connection stays open: several heartbeat intervals. */
const keepAliveTimeoutMilliseconds = 15_000;
/** Time for the calls in progress when the server closes: their callers wait no longer. */
const closeTimeoutMilliseconds = 1_000;

/** Reasons that a server gives while it closes. */
const notCarriedOut = "the directory shuts down; the call wasn't carried out";
const outcomeUnknown = "the directory shuts down; the outcome of the call isn't known";

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
    /** Calls without an answer yet; `handled`: their bodies are whole, and they may have been carried out. */
    private readonly openCalls = new Map<http.ServerResponse, "receiving" | "handled">();
    private closing = false;
    private onCallsEnded = (): void => undefined;

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
        callServer.store.add(async () => {
            server.close();
            await callServer.endCalls();
            server.closeAllConnections();
        });
        return callServer;
    }

    /**
     * Stops listening, refuses calls that haven't been received whole, and waits a second at most for those that are being
     * carried out. Every call gets an answer before its connection closes.
     */
    close(): Promise<void> {
        return this.store.dispose();
    }

    private async endCalls(): Promise<void> {
        this.closing = true;
        this.refuseCalls("receiving", notCarriedOut);
        if (this.openCalls.size > 0) {
            let timer: NodeJS.Timeout | undefined;
            await new Promise<void>(resolve => {
                this.onCallsEnded = resolve;
                timer = setTimeout(resolve, closeTimeoutMilliseconds);
            });
            clearTimeout(timer);
        }
        this.refuseCalls("receiving", notCarriedOut);
        this.refuseCalls("handled", outcomeUnknown);
        // The answers are written to their connections.
        await new Promise(setImmediate);
    }

    private refuseCalls(progress: "receiving" | "handled", reason: string): void {
        const refused = [...this.openCalls].filter(([, state]) => state === progress).map(([response]) => response);
        if (refused.length > 0) {
            this.logger.warn("refused calls because of the shutdown", { calls: refused.length, reason });
        }
        refused.forEach(response => this.reply(response, { kind: "unavailable", reason }));
    }

    private endCall(response: http.ServerResponse): void {
        this.openCalls.delete(response);
        if (this.openCalls.size === 0) {
            this.onCallsEnded();
        }
    }

    private async receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        request.on("error", error => this.logger.debug("reading a request failed", { error: error.message }));
        response.on("error", error => this.logger.debug("writing a response failed", { error: error.message }));
        this.openCalls.set(response, "receiving");
        response.once("close", () => this.endCall(response));
        const path = (request.url ?? "").split("?", 1)[0]!;
        try {
            const call = this.wire.parseCall(request.method ?? "", path);
            const body = await readBody(request, call.kind === "storeConfiguration" ? maxDocumentBytes : maxCallBytes);
            if (this.closing) {
                this.reply(response, { kind: "unavailable", reason: notCarriedOut });
                return;
            }
            this.openCalls.set(response, "handled");
            if (typeof body === "string") {
                this.reply(response, await this.handler.handle(call, body));
                return;
            }
            this.logger.warn("rejected the body of a call", { path, cause: body.cause });
            // The rest of the body isn't read.
            response.shouldKeepAlive = false;
            response.once("finish", () => request.destroy());
            this.reply(response, { kind: "invalid", findings: [body] });
        }
        catch (error) {
            if (this.closing && response.headersSent) {
                this.logger.debug("the rest of a refused call isn't read", { path });
                return;
            }
            this.logger.error("handling a request failed", { method: request.method, path, error });
            this.reply(response, { kind: "unavailable", reason: "internal error while handling the call" });
        }
    }

    private reply(response: http.ServerResponse, outcome: CallResponse): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        response.shouldKeepAlive &&= !this.closing;
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

function bodyFinding(cause: string): Finding {
    return { file: "body", place: "", cause };
}

/**
 * Reads the whole body; a finding if it exceeds the limit in bytes, or isn't UTF-8: with replaced characters it could name
 * another server. Rejects if the connection breaks before its end.
 */
async function readBody(request: http.IncomingMessage, limit: number): Promise<string | Finding> {
    const chunks: Buffer[] = [];
    let size = 0;
    // The response is still to be sent when the limit is exceeded.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limit) {
            return bodyFinding(`the body is larger than ${limit} bytes`);
        }
        chunks.push(chunk);
    }
    const bytes = Buffer.concat(chunks);
    return isUtf8(bytes) ? bytes.toString("utf8") : bodyFinding("the body isn't UTF-8");
}
