import * as net from "node:net";
import type { Readable } from "node:stream";
import { type buildConnector, Pool } from "undici";
import type { Announced } from "../../protocol/index.js";
import { afterPoll, type Logger } from "../../utils/index.js";

/**
 * Milliseconds for a connection to come about; a host that is gone answers nothing at all. Short enough that a prompt's
 * KV cache, kept for half a second, can still be offered to another engine; a lost packet costs a second either way.
 */
const connectTimeout = 250;
/** Milliseconds that an idle connection is kept where the backend server names no time of its own. */
const keepAliveTimeout = 8_000;
/** Milliseconds before the named end of an idle connection after which it isn't used any more: a request may cross the end. */
const keepAliveMargin = 1_000;
/** Milliseconds without a call after which a backend server's connections are closed. */
const idleLimit = 60_000;
/** Part of a backend server's connections that gateways use together; the rest is for their uneven shares. */
const connectionPart = 0.9;
const noConnectionInTime = "NO_CONNECTION_IN_TIME";
/** Codes of failures to connect: nothing was sent. */
const connectFailures: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    noConnectionInTime,
]);
/** The library's callback wants the value that this project leaves out; anything that isn't true does. */
const noSocket = [undefined] as unknown as [never];
const noError = [undefined] as unknown as [never];

/**
 * Opens a connection. The library's own connector waits for up to a second longer than it is told, and it takes a reset
 * for the end of an answer whose connection would be closed anyway: a backend server that crashes in the middle of one
 * would give its caller half an answer as a whole one. A reset under another code is an error to it like any other.
 */
const connector: buildConnector.connector = (options, callback) => {
    const socket = net.connect({ host: options.hostname, port: Number(options.port), noDelay: true });
    const cancel = afterPoll(connectTimeout, () => {
        const error: NodeJS.ErrnoException = new Error(`no connection in ${connectTimeout} ms`);
        error.code = noConnectionInTime;
        socket.destroy(error);
    });
    const fail = (error: Error): void => {
        cancel();
        callback(error, ...noSocket);
    };
    socket.prependListener("error", (failure: NodeJS.ErrnoException) => {
        failure.code = failure.code === "ECONNRESET" ? "RESET_BY_SERVER" : failure.code;
    });
    socket.once("error", fail);
    socket.once("connect", () => {
        cancel();
        socket.off("error", fail);
        callback(...noError, socket);
    });
};

/** Statuses of answers that never have a body. */
const bodiless: ReadonlySet<number> = new Set([204, 304]);

/** The head of an answer, and its body as it comes. */
export type BackendAnswer = {
    readonly status: number;
    /** Names and values by turns, as they came. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: Readable;
    /**
     * Whether the answer itself says where it ends. One that only ends with its connection may have been broken off:
     * nobody can tell, and it must not be passed on as one that is known to be whole.
     */
    readonly framed: boolean;
};

/** How a call ended before its answer began. */
export type CallFailure =
    /** No connection came about: the backend server has seen nothing of the request. */
    | { readonly kind: "notSent"; readonly cause: string; }
    /** The connection broke, or was given up, after the request may have been read. */
    | { readonly kind: "broken"; readonly cause: string; };

/** One call. */
export type BackendCall = {
    readonly server: Announced;
    readonly method: string;
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly signal: AbortSignal;
};

/** Kept connections to backend servers, by incarnation: a new one at the same address gets none of the old one's. */
export class BackendConnections {
    private readonly pools = new Map<string, { readonly pool: Pool; usedAt: number; }>();
    private readonly sweep: NodeJS.Timeout;

    private constructor(private readonly logger: Logger) {
        this.sweep = setInterval(() => this.closeIdle(), idleLimit / 4);
        this.sweep.unref();
    }

    static create(logger: Logger): BackendConnections {
        return new BackendConnections(logger);
    }

    /** Sends a request; gives the head of the answer. `limit`: connections that all gateways may open to the server. */
    async call(call: BackendCall, limit: number, gateways: number): Promise<BackendAnswer | CallFailure> {
        const pool = this.pool(call.server, Math.max(2, Math.floor(limit * connectionPart / Math.max(1, gateways))));
        try {
            const answer = await pool.request({
                method: call.method as "GET",
                path: call.path,
                headers: [...call.headers],
                body: call.body,
                signal: call.signal,
                responseHeaders: "raw",
                // Every time limit is this system's own: those of the library would end a stream between two events.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const rawHeaders = (answer.headers as unknown as readonly string[]).map(String);
            const headers = named(rawHeaders);
            const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined
                || bodiless.has(answer.statusCode) || call.method === "HEAD";
            return { status: answer.statusCode, rawHeaders, headers, body: answer.body, framed };
        }
        catch (error) {
            const { code, message } = error as NodeJS.ErrnoException;
            const kind = code !== undefined && connectFailures.has(code) ? "notSent" : "broken";
            return { kind, cause: typeof code === "string" ? code : message };
        }
    }

    /** Closes the connections to an incarnation that has ended. */
    forget(id: string): void {
        const known = this.pools.get(id);
        if (known !== undefined) {
            this.pools.delete(id);
            void known.pool.close().catch((error: unknown) => {
                this.logger.debug("closing connections failed", { id, error });
            });
        }
    }

    /** Closes everything. */
    async close(): Promise<void> {
        clearInterval(this.sweep);
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(({ pool }) => pool.destroy()));
    }

    private pool(server: Announced, connections: number): Pool {
        const known = this.pools.get(server.id);
        if (known !== undefined) {
            known.usedAt = performance.now();
            return known.pool;
        }
        const pool = new Pool(`http://${server.address}`, {
            connections,
            pipelining: 1,
            keepAliveTimeout,
            keepAliveTimeoutThreshold: keepAliveMargin,
            connect: connector,
        });
        this.pools.set(server.id, { pool, usedAt: performance.now() });
        return pool;
    }

    private closeIdle(): void {
        const since = performance.now() - idleLimit;
        this.pools.forEach(({ usedAt }, id) => {
            if (usedAt < since) {
                this.forget(id);
            }
        });
    }
}

/** Whether the call has an answer. */
export function isAnswer(result: BackendAnswer | CallFailure): result is BackendAnswer {
    return "status" in result;
}

/** Headers by their names in lower case; of one that came twice, the first counts. */
function named(rawHeaders: readonly string[]): Record<string, string | undefined> {
    const headers: Record<string, string | undefined> = Object.create(Object.prototype) as Record<string, string>;
    for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
        headers[rawHeaders[position]!.toLowerCase()] ??= rawHeaders[position + 1]!;
    }
    return headers;
}
