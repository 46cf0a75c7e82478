import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallerLimits } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import { type ConnectionGuard, noRoomRetryAfterSeconds } from "../listeners/index.js";
import { breakOff } from "./answerEnd.js";
import { writeOwnAnswer } from "./ownAnswer.js";

/** Limits until the first configuration is received. */
const initialLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
};
/** Largest header that the parser accepts; the limit of the configuration is checked afterwards. */
const maxHeaderBytes = 128 * 1024;
/** How long an idle connection stays open beyond its limit: a request sent just within the limit may be in transit. */
const keepAliveMarginMilliseconds = 1_000;
/** Interval of the check for connections that exceed a timeout. */
const connectionCheckIntervalMilliseconds = 500;
/** Timeout for receiving a whole request with its body. */
const requestTimeoutMilliseconds = 60_000;

/** Address, handler and logger of the listener. */
export type CallerServerOptions = {
    readonly address: { readonly host: string; readonly port: number; };
    readonly handler: (incoming: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Called with each connection that is accepted. */
    readonly onConnection?: (socket: Socket) => void;
    readonly guard: ConnectionGuard;
    readonly logger: Logger;
};

/** The HTTP listener for callers; sets every timeout of the library explicitly. */
export class CallerServer {
    private limits = initialLimits;
    private closing = false;
    /** Connections whose request was answered as not run; the rest of it may still arrive. */
    private readonly rejectedSockets = new WeakSet<Socket>();
    private readonly openResponses = new Set<http.ServerResponse>();
    private readonly setHeadBytes: (bytes: number) => void;

    private constructor(private readonly server: http.Server, private readonly options: CallerServerOptions) {
        this.setHeadBytes = options.guard.watch(server, {
            listener: "callers",
            headBytes: initialLimits.headerBytes,
            refuse: refuseGivenUp,
        });
    }

    static async create(options: CallerServerOptions): Promise<CallerServer> {
        const server = http.createServer({
            maxHeaderSize: maxHeaderBytes,
            requestTimeout: requestTimeoutMilliseconds,
            connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
            noDelay: true,
        });
        // A socket timeout would cut a stream whose engine sends nothing for a long time.
        server.timeout = 0;
        const callerServer = new CallerServer(server, options);
        callerServer.setLimits(initialLimits);
        server.on("request", (incoming, response) => callerServer.receive(incoming, response));
        if (options.onConnection !== undefined) {
            server.on("connection", options.onConnection);
        }
        server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) => callerServer.rejectMalformed(error, socket as Socket),
        );
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen({ ...options.address, backlog: 1_024 }, () => {
                server.off("error", reject);
                resolve();
            });
        });
        return callerServer;
    }

    /** The port that the server listens on. */
    port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Applies the limits of a configuration. */
    setLimits(limits: CallerLimits): void {
        this.limits = limits;
        this.setHeadBytes(limits.headerBytes);
        this.server.headersTimeout = this.closing ? 0 : limits.headerTimeout;
        this.server.keepAliveTimeout = limits.idleTimeout + keepAliveMarginMilliseconds;
    }

    currentLimits(): CallerLimits {
        return this.limits;
    }

    /** Number of requests that aren't answered yet. */
    openRequests(): number {
        return this.openResponses.size;
    }

    /**
     * Closes each connection after the response to the last request that was read on it, which says so in its headers, also if its
     * request came before. A request on a connection that was open for long is answered like the others, and not as slow.
     */
    closeAfterResponses(): void {
        this.closing = true;
        this.setLimits(this.limits);
        this.openResponses.forEach(response => this.closeAfter(response));
    }

    /** Stops accepting connections. */
    stopListening(): void {
        this.server.close();
    }

    /** Closes connections without a request. */
    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Closes every connection, and breaks off the answers that are being sent. */
    closeAll(): void {
        this.openResponses.forEach(breakOff);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Closes a connection after this response, unless more has come on it, and not after those to requests that were read before. */
    private closeAfter(last: http.ServerResponse): void {
        const { socket } = last.req;
        const isLast = !this.options.guard.hasUnparsed(socket);
        this.openResponses.forEach(response => {
            if (response.req.socket === socket && !response.headersSent) {
                response.shouldKeepAlive = response !== last || !isLast;
            }
        });
    }

    private receive(incoming: http.IncomingMessage, response: http.ServerResponse): void {
        if (this.rejectedSockets.has(incoming.socket)) {
            incoming.socket.destroy();
            return;
        }
        this.openResponses.add(response);
        response.once("close", () => this.openResponses.delete(response));
        // Without a listener, an error of a caller's connection would terminate the process.
        incoming.on("error", error => this.options.logger.debug("reading a request failed", { cause: error.message }));
        response.on("error", error => this.options.logger.debug("writing a response failed", { cause: error.message }));
        response.sendDate = false;
        if (this.closing) {
            this.closeAfter(response);
        }
        this.options.handler(incoming, response);
    }

    /** Answers malformed or oversized input or a request that timed out, unless a response is being written to the socket. */
    private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        const hasOpenResponse = [...this.openResponses].some(response => response.socket === socket);
        if (!socket.writable || hasOpenResponse || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const status = error.code === "HPE_HEADER_OVERFLOW"
            ? "431 Request Header Fields Too Large"
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
        this.rejectedSockets.add(socket);
        this.options.logger.warn("rejected a malformed, oversized or slow request", { status, cause: error.code });
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
}

function refuseGivenUp(response: http.ServerResponse, status: number, cause: string): void {
    const headers = { "Connection": "close", "Retry-After": String(noRoomRetryAfterSeconds) };
    writeOwnAnswer(response, status, cause, headers);
}
