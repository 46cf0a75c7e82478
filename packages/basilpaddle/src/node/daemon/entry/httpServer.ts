import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Address, errorBody, refusalStatus } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { ConnectionGuard } from "../listeners/index.js";
import { notRun, refusalHeaders, writeRefusalHead } from "./reply.js";
import { malformedEvent, refusalForRoom } from "./requestBody.js";

const maxHeaderBytes = 16_384;
const headersTimeoutMilliseconds = 10_000;
/** Longer than the usual 60 s of a load balancer, so that the balancer closes idle connections first. */
const keepAliveTimeoutMilliseconds = 75_000;
const receiveGraceMilliseconds = 5_000;
const checkIntervalMilliseconds = 1_000;

/** Settings and request handler of an HTTP listener. */
export type HttpServerOptions = {
    readonly address: Address;
    /** Milliseconds for a caller to send a whole request. */
    readonly receiveTimeout: number;
    readonly logger: Logger;
    /** Bounds what its connections hold. */
    readonly guard: ConnectionGuard;
    /** Its name, for logs. */
    readonly listener: string;
    readonly handler: (request: http.IncomingMessage, response: http.ServerResponse) => void;
};

/** An HTTP listener. Every timeout of Node's server is set explicitly, since none of them may interrupt an answer in progress. */
export class HttpServer {
    private readonly responsesBySocket = new WeakMap<Socket, Set<http.ServerResponse>>();
    /** Connections whose request was answered as not run; the rest of it may still arrive. */
    private readonly refusedSockets = new WeakSet<Socket>();

    private constructor(private readonly server: http.Server, private readonly options: HttpServerOptions) {}

    static async create(options: HttpServerOptions): Promise<HttpServer> {
        const server = http.createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: Math.min(headersTimeoutMilliseconds, options.receiveTimeout),
            // `readBody` has a shorter timeout and gives a more specific answer; this one covers all other cases.
            requestTimeout: options.receiveTimeout + receiveGraceMilliseconds,
            keepAliveTimeout: keepAliveTimeoutMilliseconds,
            connectionsCheckingInterval: checkIntervalMilliseconds,
            noDelay: true,
        });
        // An idle timeout of the socket would break a stream whose engine sends nothing for a long time.
        server.timeout = 0;
        const created = new HttpServer(server, options);
        options.guard.watch(server, {
            listener: options.listener,
            headBytes: maxHeaderBytes,
            refuse: (response, status) => created.refuseGivenUp(response, status),
        });
        server.on("request", (request, response) => created.handleRequest(request, response));
        server.on(
            "clientError",
            (failure: NodeJS.ErrnoException, socket) => created.handleClientError(failure, socket as Socket),
        );
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.address.port, options.address.host, () => {
                server.off("error", reject);
                resolve();
            });
        });
        return created;
    }

    port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Closes connections without a request in progress. */
    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Stops accepting connections and waits for the open ones; those without a request are closed. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        const closeIdleTimer = setInterval(() => this.server.closeIdleConnections(), checkIntervalMilliseconds);
        await closed;
        clearInterval(closeIdleTimer);
    }

    /** Closes every connection, also those with a request in progress. */
    closeAll(): void {
        this.server.closeAllConnections();
    }

    /** Answers a request whose body isn't whole, and of which nothing more is read. */
    private refuseGivenUp(response: http.ServerResponse, status: number): void {
        this.refusedSockets.add(response.req.socket);
        const refusal = status === refusalStatus.requestTimeout
            ? notRun("requestTimeout", "nothing came of the request's body for too long")
            : status === refusalStatus.headersTooLarge
            ? notRun("headersTooLarge", `the trailers exceed ${maxHeaderBytes} bytes`)
            : refusalForRoom("no room beside other connections");
        response.setHeader("connection", "close");
        response.end(writeRefusalHead(response, refusal, undefined));
    }

    private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        const socket = request.socket;
        if (this.refusedSockets.has(socket)) {
            socket.destroy();
            return;
        }
        const responses = this.responsesBySocket.get(socket) ?? new Set();
        this.responsesBySocket.set(socket, responses.add(response));
        response.once("close", () => responses.delete(response));
        // Without a listener, an error event of a caller's connection would end the process.
        request.on(
            "error",
            failure =>
                this.options.logger.debug("the connection failed while a request was being received", {
                    failure: failure.message,
                }),
        );
        response.on(
            "error",
            failure =>
                this.options.logger.debug("the connection failed while an answer was being sent", {
                    failure: failure.message,
                }),
        );
        this.options.handler(request, response);
    }

    /** Answers malformed HTTP and requests that time out, unless that would corrupt an answer in progress on the same socket. */
    private handleClientError(failure: NodeJS.ErrnoException, socket: Socket): void {
        const responses = [...this.responsesBySocket.get(socket) ?? []];
        if (!socket.writable || responses.length > 0) {
            const [onlyResponse] = responses;
            // While the body is being read, `readBody` answers the request. If the body is already being forwarded, the outcome
            // is unknown, so the connection is only closed.
            if (
                responses.length !== 1 || onlyResponse?.req.complete !== false || !onlyResponse.req.emit(malformedEvent)
            ) {
                socket.destroy();
            }
            return;
        }
        this.refusedSockets.add(socket);
        const refusal = failure.code === "HPE_HEADER_OVERFLOW"
            ? notRun("headersTooLarge", `the headers exceed ${maxHeaderBytes} bytes`)
            : failure.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? notRun("requestTimeout", "the request was not received completely in time")
            : notRun("badRequest", "not a valid HTTP request");
        const body = JSON.stringify(errorBody(refusal, undefined));
        const headers = Object.entries(refusalHeaders(refusal, undefined)).map(([name, value]) => `${name}: ${value}`);
        socket.end([
            `HTTP/1.1 ${refusalStatus[refusal.code]} ${http.STATUS_CODES[refusalStatus[refusal.code]] ?? ""}`,
            ...headers,
            "content-type: application/json",
            `content-length: ${Buffer.byteLength(body)}`,
            "connection: close",
            "",
            body,
        ].join("\r\n"));
    }
}
