import * as http from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";

/** Limits until a configuration has come. */
const firstLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
};
/** Largest header in bytes that is read at all; what a configuration allows is checked afterwards. */
const mostHeaderBytes = 128 * 1024;
/** Milliseconds that a kept connection stays open beyond the idle limit: a request sent just within it may be on its way. */
const idleMargin = 1_000;
/** Milliseconds between two looks at connections that take too long. */
const checkInterval = 500;
/** Milliseconds for a whole request with its body. */
const requestTimeout = 60_000;

/** What the listener needs. */
export type CallerServerOptions = {
    readonly address: { readonly host: string; readonly port: number; };
    readonly handler: (incoming: http.IncomingMessage, response: http.ServerResponse) => void;
    readonly logger: Logger;
};

/** The HTTP listener for callers, with every time limit of the library set on purpose. */
export class CallerServer {
    private limits = firstLimits;
    private closing = false;
    private readonly open = new Set<http.ServerResponse>();

    private constructor(private readonly server: http.Server, private readonly options: CallerServerOptions) {}

    static async create(options: CallerServerOptions): Promise<CallerServer> {
        const server = http.createServer({
            maxHeaderSize: mostHeaderBytes,
            requestTimeout,
            connectionsCheckingInterval: checkInterval,
            noDelay: true,
        });
        // An idle limit of the socket would cut a stream whose engine is silent for long.
        server.timeout = 0;
        const created = new CallerServer(server, options);
        created.setLimits(firstLimits);
        server.on("request", (incoming, response) => created.receive(incoming, response));
        server.on("clientError", (error: NodeJS.ErrnoException, socket) => created.refuse(error, socket as Socket));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen({ ...options.address, backlog: 1_024 }, () => {
                server.off("error", reject);
                resolve();
            });
        });
        return created;
    }

    /** Takes the limits of a configuration over. */
    setLimits(limits: CallerLimits): void {
        this.limits = limits;
        this.server.headersTimeout = limits.headerTimeout;
        this.server.keepAliveTimeout = limits.idleTimeout + idleMargin;
    }

    currentLimits(): CallerLimits {
        return this.limits;
    }

    /** Requests that aren't answered yet. */
    openRequests(): number {
        return this.open.size;
    }

    /** From now on every answer tells its caller that the connection ends with it. */
    endConnections(): void {
        this.closing = true;
    }

    /** Takes no further connections. */
    stopListening(): void {
        this.server.close();
    }

    /** Closes connections without a request. */
    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Closes every connection. */
    closeAll(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private receive(incoming: http.IncomingMessage, response: http.ServerResponse): void {
        this.open.add(response);
        response.once("close", () => this.open.delete(response));
        // Without a listener, an error of a caller's connection would end the process.
        incoming.on("error", error => this.options.logger.debug("a request broke", { cause: error.message }));
        response.on("error", error => this.options.logger.debug("an answer broke", { cause: error.message }));
        response.sendDate = false;
        if (this.closing) {
            response.shouldKeepAlive = false;
        }
        this.options.handler(incoming, response);
    }

    /** Bytes that aren't a request, or one that takes too long. An answer under way on the socket isn't mixed with this one. */
    private refuse(error: NodeJS.ErrnoException, socket: Socket): void {
        const answering = [...this.open].some(response => response.socket === socket);
        if (!socket.writable || answering || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const status = error.code === "HPE_HEADER_OVERFLOW"
            ? "431 Request Header Fields Too Large"
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
        this.options.logger.warn("bytes that aren't a request were refused", { status, cause: error.code });
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
}
