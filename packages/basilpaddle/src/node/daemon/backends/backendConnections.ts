import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import type { buildConnector, Pool } from "undici";
import type { ServerAnnouncement } from "../../protocol/index.js";
import {
    AnswerGuard,
    ConnectionFailure,
    connectionResetCode,
    reportResets,
    resetAtEndCode,
} from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { type AnswerEnding, AnswerLimits } from "./answerLimits.js";
import { type ConnectionOpener, DirectOpener } from "./connectionOpener.js";
import { ConnectionWait } from "./connectionWait.js";
import { GatedPool, type SendGate, sendPreventedCode } from "./gatedPool.js";

/** How long an idle connection is kept if the backend server announces no keep-alive time of its own. */
const keepAliveTimeoutMilliseconds = 8_000;
/** An idle connection isn't reused this shortly before its announced end: the server could close it as a request arrives. */
const keepAliveMarginMilliseconds = 1_000;
/** A backend server's connections are closed after this time without a call. */
const idleTimeoutMilliseconds = 60_000;
/** Fraction of a backend server's connection limit that the gateways share; the rest allows for uneven shares. */
const sharedConnectionFraction = 0.9;
/** undici's callback expects null, which this project doesn't use; any falsy value works. */
const noSocket = [undefined] as unknown as [never];
const noError = [undefined] as unknown as [never];

/** Opens connections for undici, whose own connector may exceed its timeout by up to a second. */
function connectorFor(
    open: (server: ServerAnnouncement) => Promise<Socket>,
    server: ServerAnnouncement,
): buildConnector.connector {
    return (_options, callback) => {
        open(server).then(socket => {
            reportResets(socket);
            callback(...noError, socket);
        }, (error: unknown) => callback(error as Error, ...noSocket));
    };
}

/** How an answer without a length ended, by the code of its connection's error. */
const endingByCode: ReadonlyMap<string | undefined, AnswerEnding> = new Map([
    [connectionResetCode, "reset"],
    [resetAtEndCode, "resetAtEnd"],
]);
/** Status codes of answers that never have a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** The head of an answer, and its body as a stream. */
export type BackendAnswer = {
    readonly status: number;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: Readable;
    /**
     * Whether the answer itself indicates where it ends. One that is ended only by its connection may have been cut short
     * undetectably: its end is examined before it counts as complete, and if it is forwarded whole, it gets no length.
     */
    readonly framed: boolean;
};

/** How a call failed before its answer began. */
export type CallFailure =
    /** No connection was established: the backend server received nothing of the request. */
    | { readonly kind: "notSent"; readonly cause: string; }
    /** The connection broke, or the call was aborted, after the backend server may have read the request. */
    | { readonly kind: "broken"; readonly cause: string; readonly wasReset: boolean; };

/** One HTTP call to a backend server. */
export type BackendCall = SendGate & {
    readonly server: ServerAnnouncement;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly signal: AbortSignal;
};

/** Calls backend servers. */
export abstract class BackendCaller {
    /** Sends a request and returns the head of the answer; never rejects. `limit`: connections that all gateways together may open to the server. */
    abstract call(call: BackendCall, limit: number, gateways: number): Promise<BackendAnswer | CallFailure>;

    /** Closes the connections to an incarnation that has ended or is idle; calls in progress can finish. */
    abstract closeConnections(id: string): void;
}

/** Connection pools of backend servers, per incarnation: a new one at the same address reuses none of the old connections. */
export class BackendConnections extends BackendCaller {
    private readonly pools = new Map<string, { readonly pool: Pool; usedAt: number; }>();
    private readonly sockets = new Set<Socket>();
    private closedSocketsBytes = 0;
    private readonly idleSweep: NodeJS.Timeout;

    private constructor(
        private readonly logger: Logger,
        private readonly opener: ConnectionOpener,
        /** Bounds of the answers. */
        readonly answers: AnswerLimits,
    ) {
        super();
        this.idleSweep = setInterval(() => this.closeIdle(), idleTimeoutMilliseconds / 4);
        this.idleSweep.unref();
    }

    /**
     * `opener`: opens the connections. @default directly, from an address that the operating system chooses
     * `answers`: bounds of the answers. @default the default bounds
     */
    static create(
        logger: Logger,
        opener: ConnectionOpener = DirectOpener.create(),
        answers: AnswerLimits = AnswerLimits.createDefault(),
    ): BackendConnections {
        return new BackendConnections(logger, opener, answers);
    }

    override async call(call: BackendCall, limit: number, gateways: number): Promise<BackendAnswer | CallFailure> {
        let pool: Pool;
        try {
            const connections = Math.floor(limit * sharedConnectionFraction / Math.max(1, gateways));
            pool = this.pool(call.server, Math.max(2, connections));
        }
        catch (error) {
            return { kind: "notSent", cause: (error as Error).message };
        }
        const wait = ConnectionWait.create(call);
        try {
            const request: Parameters<Pool["request"]>[0] & SendGate = {
                method: call.method as "GET",
                path: call.path,
                headers: [...call.headers],
                body: call.body,
                signal: wait.signal,
                responseHeaders: "raw",
                // This system enforces all timeouts itself: undici's own would abort a stream between two events.
                headersTimeout: 0,
                bodyTimeout: 0,
                maySend: () => wait.maySend(),
                attempt: call.attempt,
            };
            const answer = await pool.request(request);
            answer.body.once("close", () => wait.close());
            const rawHeaders = (answer.headers as unknown as readonly string[]).map(String);
            const headers = headersByName(rawHeaders);
            const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined
                || bodilessStatuses.has(answer.statusCode) || call.method === "HEAD";
            if (!framed) {
                this.observeEnd(call, answer.body);
            }
            return { status: answer.statusCode, rawHeaders, headers, body: answer.body, framed };
        }
        catch (error) {
            wait.close();
            const { code, message } = error as NodeJS.ErrnoException;
            const cause = typeof code === "string" ? code : message;
            if (wait.wasPrevented()) {
                return { kind: "notSent", cause: sendPreventedCode };
            }
            return error instanceof ConnectionFailure
                ? { kind: "notSent", cause }
                : { kind: "broken", cause, wasReset: !call.signal.aborted };
        }
    }

    override closeConnections(id: string): void {
        const entry = this.pools.get(id);
        if (entry !== undefined) {
            this.pools.delete(id);
            void entry.pool.close().catch((error: unknown) => {
                this.logger.debug("failed to close connections of a backend server", { id, error });
            });
        }
    }

    /** Closes all connections; calls in progress can finish. */
    closeAllConnections(): void {
        [...this.pools.keys()].forEach(id => this.closeConnections(id));
    }

    /** Bytes received over all connections since the start. */
    receivedBytes(): number {
        return [...this.sockets].reduce((sum, { bytesRead }) => sum + bytesRead, this.closedSocketsBytes);
    }

    /** Closes all connections immediately. */
    async close(): Promise<void> {
        clearInterval(this.idleSweep);
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(({ pool }) => pool.destroy()));
    }

    /** Records how the connection ends that alone marks the end of an answer. */
    private observeEnd({ server, attempt }: BackendCall, body: Readable): void {
        const record = (ending: AnswerEnding): void =>
            this.answers.endedByConnection(server, attempt, this.opener.way, ending);
        body.once("end", () => record("end"));
        body.once("error", ({ code }: NodeJS.ErrnoException) => record(endingByCode.get(code) ?? "fault"));
    }

    private pool(server: ServerAnnouncement, connections: number): Pool {
        const entry = this.pools.get(server.id);
        if (entry !== undefined) {
            entry.usedAt = performance.now();
            return entry.pool;
        }
        const pool = new GatedPool(`http://${server.address}`, {
            connections,
            pipelining: 1,
            maxHeaderSize: this.answers.bounds.headBytes,
            keepAliveTimeout: keepAliveTimeoutMilliseconds,
            keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
            connect: connectorFor(server => this.open(server), server),
        });
        this.pools.set(server.id, { pool, usedAt: performance.now() });
        return pool;
    }

    private async open(server: ServerAnnouncement): Promise<Socket> {
        const socket = await this.opener.open(server);
        this.sockets.add(socket);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.closedSocketsBytes += socket.bytesRead;
        });
        AnswerGuard.attach(socket, {
            ...this.answers.bounds,
            onExceeded: (bound, bytes) => this.answers.exceeded(server, bound, bytes),
        });
        return socket;
    }

    private closeIdle(): void {
        const idleSince = performance.now() - idleTimeoutMilliseconds;
        this.pools.forEach(({ usedAt }, id) => {
            if (usedAt < idleSince) {
                this.closeConnections(id);
            }
        });
    }
}

/** Whether the call was answered. */
export function isAnswer(result: BackendAnswer | CallFailure): result is BackendAnswer {
    return "status" in result;
}

/** Headers by lower-case name; of a repeated header the first value is used. */
function headersByName(rawHeaders: readonly string[]): Record<string, string | undefined> {
    const headers: Record<string, string | undefined> = Object.create(Object.prototype) as Record<string, string>;
    for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
        headers[rawHeaders[position]!.toLowerCase()] ??= rawHeaders[position + 1]!;
    }
    return headers;
}
