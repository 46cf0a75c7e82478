import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { QuarantinedRequests } from "../../coordination/index.js";
import type { Address, Finding } from "../../protocol/index.js";
import { mergeFiles } from "../../state/index.js";
import type { Logger, RecordedMetrics } from "../../utils/index.js";
import type { BodyRoom, ConnectionGuard } from "../listeners/index.js";
import { readBody } from "./body.js";
import type { Operations } from "./operations.js";
import { type DaemonStatus, type OperatorAnswer, operatorRequestSchema, postedChangeSchema } from "./operatorWire.js";
import { answerQuarantineCall } from "./quarantineCalls.js";

/** Timeout of an operator's request without a valid timeout of its own. */
export const defaultTimeoutMilliseconds = 10_000;
/** Maximum timeout of an operator's request; a longer one is reduced to it. */
const maxTimeoutMilliseconds = 120_000;
/** Time within which an operator's request must be received completely. */
const requestTimeoutMilliseconds = 30_000;
/** Time for the requests in progress when the server closes. */
const closeTimeoutMilliseconds = 1_000;
/** Bytes of the largest head that the parser takes. */
const maxHeaderBytes = 16 * 1024;
/** Enough for operators, scrapes and the balancer's probes, whose answers may be large. */
const maxConnections = 256;
const pathPrefix = "/operator/v1/";

/** Options of an operators' server. */
export type OperatorServerOptions = {
    readonly address: Address;
    readonly logger: Logger;
    readonly metrics: RecordedMetrics;
    readonly operations: Operations;
    readonly guard: ConnectionGuard;
    /** Room for the bodies of all requests. */
    readonly room: BodyRoom;
    /** This daemon's copy of the quarantined requests. @default none, and calls about them aren't served */
    readonly quarantine?: QuarantinedRequests | undefined;
    /** Returns the current status of this daemon. */
    readonly daemon: () => DaemonStatus;
};

type Reply = {
    readonly status: number;
    readonly type: "json" | "text" | "metrics";
    readonly body: unknown;
};

const contentTypes = {
    json: "application/json; charset=utf-8",
    text: "text/plain; charset=utf-8",
    metrics: "text/plain; version=0.0.4; charset=utf-8",
} as const;

/** HTTP interface of a daemon for operators and for the platform's load balancer. */
export class OperatorServer {
    private readonly unanswered = new Map<http.ServerResponse, http.IncomingMessage>();
    private closing = false;
    private onAllAnswered = (): void => undefined;

    private constructor(private readonly server: http.Server, private readonly options: OperatorServerOptions) {
        server.on("request", (request: http.IncomingMessage, response: http.ServerResponse) => {
            void this.serve(request, response);
        });
    }

    /** Resolves once the server listens. With port 0 the operating system chooses a free port, which `port()` returns. */
    static async create(options: OperatorServerOptions): Promise<OperatorServer> {
        const server = http.createServer({
            requestTimeout: requestTimeoutMilliseconds,
            headersTimeout: requestTimeoutMilliseconds,
            maxHeaderSize: maxHeaderBytes,
        });
        options.guard.watch(server, { listener: "operators", headBytes: maxHeaderBytes, connections: maxConnections });
        const created = new OperatorServer(server, options);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen({ host: options.address.host, port: options.address.port }, resolve);
        });
        return created;
    }

    /** The port that it listens on. */
    port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening, waits a second at most for the requests in progress, and answers them all before it closes their connections. */
    async close(): Promise<void> {
        this.closing = true;
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        await this.waitForAnswers();
        this.unanswered.forEach((request, response) => {
            const reply = request.complete
                ? failure(504, "undecided", "the daemon shuts down; the outcome isn't known")
                : shuttingDown;
            this.write(request, response, reply);
        });
        // The answers are written to their connections.
        await new Promise(setImmediate);
        this.server.closeAllConnections();
        await closed;
    }

    private async waitForAnswers(): Promise<void> {
        if (this.unanswered.size > 0) {
            let timer: NodeJS.Timeout | undefined;
            await new Promise<void>(resolve => {
                this.onAllAnswered = resolve;
                timer = setTimeout(resolve, closeTimeoutMilliseconds);
            });
            clearTimeout(timer);
        }
    }

    private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.unanswered.set(response, request);
        response.once("close", () => {
            this.unanswered.delete(response);
            if (this.unanswered.size === 0) {
                this.onAllAnswered();
            }
        });
        let reply: Reply;
        try {
            reply = await this.answer(request, response);
        }
        catch (error) {
            this.options.logger.error("failed to handle an operator's request", { error, url: request.url });
            reply = failure(500, "badRequest", "internal error; see the log of this daemon");
        }
        this.write(request, response, reply);
    }

    private write(request: http.IncomingMessage, response: http.ServerResponse, reply: Reply): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        response.shouldKeepAlive &&= !this.closing;
        const body = reply.type === "json" ? `${JSON.stringify(reply.body)}\n` : String(reply.body);
        response.writeHead(reply.status, {
            "content-type": contentTypes[reply.type],
            "content-length": Buffer.byteLength(body),
            "cache-control": "no-store",
        });
        response.end(request.method === "HEAD" ? undefined : body);
    }

    private async answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<Reply> {
        const quarantineReply = this.options.quarantine
            && await answerQuarantineCall(this.options.quarantine, request, response, this.options.room);
        if (quarantineReply !== undefined) {
            return { ...quarantineReply, type: "json" };
        }
        const url = new URL(request.url ?? "/", "http://operators");
        const isRead = request.method === "GET" || request.method === "HEAD";
        if (isRead) {
            const ownReply = this.localReply(url.pathname);
            if (ownReply !== undefined) {
                return ownReply;
            }
        }
        if (!url.pathname.startsWith(pathPrefix)) {
            return failure(404, "notFound", `unknown path ${url.pathname}`);
        }
        const name = url.pathname.slice(pathPrefix.length);
        const timeout = parseTimeout(url.searchParams.get("timeout") ?? undefined);
        if (isRead) {
            const query = Object.fromEntries(url.searchParams);
            return this.handleRead(name === "config" ? "configuration" : name, query, timeout);
        }
        if (request.method === "POST") {
            return this.handlePost(name, request, response, timeout);
        }
        return failure(405, "badRequest", `the method ${request.method} isn't supported`);
    }

    private localReply(pathname: string): Reply | undefined {
        switch (pathname) {
            case "/healthz":
                return { status: 200, type: "text", body: "ok\n" };
            case "/readyz": {
                const daemon = this.options.daemon();
                const body = daemon.ready ? "ready\n" : `not ready: ${daemon.reason ?? "starting"}\n`;
                return { status: daemon.ready ? 200 : 503, type: "text", body };
            }
            case "/metrics":
                return { status: 200, type: "metrics", body: this.options.metrics.text() };
            default:
                return undefined;
        }
    }

    private async handleRead(name: string, query: Record<string, string>, timeout: number): Promise<Reply> {
        if (!["status", "configuration", "history", "audit"].includes(name)) {
            return failure(404, "notFound", `unknown path ${pathPrefix}${name}`);
        }
        const request = operatorRequestSchema.safeParse({ ...query, kind: name });
        if (!request.success) {
            return failure(400, "badRequest", request.error.issues.map(issue => issue.message).join("; "));
        }
        const answer = await this.options.operations.handle(request.data, timeout);
        const reply = this.replyOf(answer);
        // The status of this daemon is added to failures as well, so that a daemon without a connection to the control daemons
        // can still be inspected.
        return name === "status" ? { ...reply, body: { ...answer, daemon: this.options.daemon() } } : reply;
    }

    private async handlePost(
        name: string,
        request: http.IncomingMessage,
        response: http.ServerResponse,
        timeout: number,
    ): Promise<Reply> {
        const body = await readBody(request, response, this.options.room);
        if (body.kind !== "read") {
            return failure(body.status, "badRequest", body.message);
        }
        if (this.closing) {
            return shuttingDown;
        }
        if (name === "config") {
            return this.apply(body.value, timeout);
        }
        if (name !== "drain") {
            return failure(404, "notFound", `POST isn't supported at ${pathPrefix}${name}`);
        }
        const drainRequest = operatorRequestSchema.safeParse({ ...body.value as object, kind: "drain" });
        if (!drainRequest.success) {
            return failure(400, "badRequest", drainRequest.error.issues.map(formatIssue).join("; "));
        }
        return this.replyOf(await this.options.operations.handle(drainRequest.data, timeout));
    }

    private async apply(value: unknown, timeout: number): Promise<Reply> {
        const postedChange = postedChangeSchema.safeParse(value);
        if (!postedChange.success) {
            return failure(400, "badRequest", postedChange.error.issues.map(formatIssue).join("; "));
        }
        return mergeFiles(postedChange.data.files).caseOf<Promise<Reply> | Reply>({
            Left: findings => failure(422, "findings", "the files have findings", findings),
            Right: async declaration => {
                const change = { ...postedChange.data, declaration };
                const answer = await this.options.operations.handle({ kind: "apply", change }, timeout);
                this.options.logger.info("answered an operator's change", {
                    operator: change.operator,
                    changeId: change.changeId,
                    base: change.base,
                    answer: answer.kind === "applied" ? answer.result.kind : answer.kind,
                });
                return this.replyOf(answer);
            },
        });
    }

    private replyOf(answer: OperatorAnswer): Reply {
        return { status: statusOf(answer), type: "json", body: answer };
    }
}

function statusOf(answer: OperatorAnswer): number {
    if (answer.kind === "applied") {
        return answer.result.kind === "accepted" ? 200 : 409;
    }
    if (answer.kind !== "failure") {
        return 200;
    }
    switch (answer.code) {
        case "badRequest":
            return 400;
        case "notFound":
        case "unknownBackend":
            return 404;
        case "findings":
            return 422;
        case "undecided":
            return 504;
        default:
            return 503;
    }
}

function failure(
    status: number,
    code: Extract<OperatorAnswer, { kind: "failure"; }>["code"],
    message: string,
    findings?: readonly Finding[],
): Reply {
    return { status, type: "json", body: { kind: "failure", code, message, findings } };
}

const shuttingDown = failure(503, "unreachable", "the daemon shuts down; the request wasn't carried out");

function formatIssue(issue: { readonly path: readonly PropertyKey[]; readonly message: string; }): string {
    return `${issue.path.map(String).join(".")}: ${issue.message}`;
}

function parseTimeout(text: string | undefined): number {
    const requestedTimeout = text === undefined ? defaultTimeoutMilliseconds : Number(text);
    return Number.isFinite(requestedTimeout) && requestedTimeout > 0
        ? Math.min(requestedTimeout, maxTimeoutMilliseconds)
        : defaultTimeoutMilliseconds;
}
