import { isUtf8 } from "node:buffer";
import * as http from "node:http";
import { type Finding, maxDocumentBytes } from "../../protocol/index.js";
import { DisposableStore, type Logger } from "../../utils/index.js";
import type { BodyRoom, ConnectionGuard } from "../listeners/index.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";

/** Large enough for any call of a backend server, which names its models in its heartbeats. */
const maxCallBytes = 64 * 1024;
/** Bytes of the largest head that the parser takes. */
const maxHeaderBytes = 16 * 1024;
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

/** Room for the bodies of configurations, and for those of all other calls, which go on beside them. */
export type BodyRooms = { readonly documents: BodyRoom; readonly calls: BodyRoom; };

/** HTTP server for the calls of backend servers and operators. */
export class CallServer {
    private readonly store = DisposableStore.create();
    /** Calls without an answer yet; `handled`: their bodies are whole, and they may have been carried out. */
    private readonly openCalls = new Map<http.ServerResponse, "receiving" | "handled">();
    private closing = false;
    private onCallsEnded = (): void => undefined;

    /** The document that was written last: answers that aren't read share its bytes. */
    private lastDocument = { content: "", bytes: Buffer.alloc(0) };

    private constructor(
        private readonly handler: CallHandler,
        private readonly wire: DirectoryWire,
        private readonly rooms: BodyRooms,
        private readonly logger: Logger,
    ) {}

    static async create(options: {
        readonly address: { readonly host: string; readonly port: number; };
        readonly handler: CallHandler;
        readonly wire: DirectoryWire;
        readonly guard: ConnectionGuard;
        readonly rooms: BodyRooms;
        readonly logger: Logger;
    }): Promise<CallServer> {
        const callServer = new CallServer(options.handler, options.wire, options.rooms, options.logger);
        const server = http.createServer({
            maxHeaderSize: maxHeaderBytes,
            requestTimeout: receiveTimeoutMilliseconds,
            keepAliveTimeout: keepAliveTimeoutMilliseconds,
            noDelay: true,
        });
        options.guard.watch(server, { listener: "calls", headBytes: maxHeaderBytes });
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
            const body = await this.readBody(call, request, response);
            if (this.closing) {
                this.reply(response, { kind: "unavailable", reason: notCarriedOut });
                return;
            }
            this.openCalls.set(response, "handled");
            if (typeof body === "string") {
                this.reply(response, await this.handler.handle(call, body));
                return;
            }
            if (body.kind === "invalid") {
                this.logger.warn("rejected the body of a call", { path, cause: body.findings[0]?.cause });
            }
            // The rest of the body isn't read.
            response.shouldKeepAlive = false;
            response.once("finish", () => request.destroy());
            this.reply(response, body);
        }
        catch (error) {
            if (response.headersSent || request.destroyed) {
                this.logger.debug("the rest of a call isn't read", { path, error });
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
        const bytes = outcome.kind === "document" ? this.documentBytes(body) : Buffer.from(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
        response.end(bytes);
    }

    private documentBytes(content: string): Buffer {
        if (content !== this.lastDocument.content) {
            this.lastDocument = { content, bytes: Buffer.from(content) };
        }
        return this.lastDocument.bytes;
    }

    /**
     * Reads the whole body; the answer if there is no room, it exceeds the limit in bytes, or isn't UTF-8: with replaced characters it
     * could name another server. Rejects if the connection breaks before its end.
     */
    private async readBody(
        call: DirectoryCall,
        request: http.IncomingMessage,
        response: http.ServerResponse,
    ): Promise<string | Extract<CallResponse, { kind: "invalid" | "unavailable"; }>> {
        const isDocument = call.kind === "storeConfiguration";
        const room = isDocument ? this.rooms.documents : this.rooms.calls;
        const limit = isDocument ? maxDocumentBytes : maxCallBytes;
        const body = await room.read(request, response, limit);
        if (body === "noRoom") {
            return { kind: "unavailable", reason: "no room for the body; the call wasn't carried out" };
        }
        if (body === "tooLarge") {
            return invalidBody(`the body is larger than ${limit} bytes`);
        }
        return isUtf8(body) ? body.toString("utf8") : invalidBody("the body isn't UTF-8");
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

function invalidBody(cause: string): { readonly kind: "invalid"; readonly findings: readonly Finding[]; } {
    return { kind: "invalid", findings: [{ file: "body", place: "", cause }] };
}
