import type * as http from "node:http";
import type { Socket } from "node:net";
import type { ConnectionBounds } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { BoundedLog } from "./boundedLog.js";
import { ConnectionMemory } from "./connectionMemory.js";
import { type GivenUpCause, GuardedConnection } from "./guardedConnection.js";
import { ParseTurns } from "./parseTurns.js";

/** Interval in milliseconds of the check for bodies of which nothing comes. */
const checkIntervalMilliseconds = 500;
/** Bytes of the shortest header line: a head has no more lines than its bytes over this. */
const shortestHeaderLineBytes = 4;
/** Retry-After, in seconds, of what was refused for want of room. */
export const noRoomRetryAfterSeconds = 0.3;

/** Status of the answer to a request that isn't served; none of them has run. */
const statuses: Readonly<Record<GivenUpCause | "expectation", number>> = {
    noRoom: 503,
    connections: 503,
    slowBody: 408,
    headTooLong: 431,
    expectation: 417,
};
const reasons: Readonly<Record<number, string>> = {
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
};

/** Dependencies of `ConnectionGuard`. */
export type ConnectionGuardOptions = {
    readonly bounds: ConnectionBounds;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** What a guard has to know of one listener. */
export type GuardedListener = {
    /** Its name, for logs. */
    readonly listener: string;
    /** Bytes of the largest head that it takes. */
    readonly headBytes: number;
    /** Most connections to it, if it needs fewer than the bounds allow. @default the bound */
    readonly connections?: number;
    /** Answers a request that is given up, and closes its connection. @default a short JSON text */
    readonly refuse?: (response: http.ServerResponse, status: number, cause: string) => void;
};

/**
 * Bounds what the connections to all HTTP listeners of a process make it hold: how many there are, how many requests of one are in
 * progress, and what the heads and requests of all take together. What exceeds a bound waits unread, or gives way.
 */
export class ConnectionGuard {
    private readonly memory: ConnectionMemory;
    private readonly turns = ParseTurns.create();
    private readonly connections = new WeakMap<Socket, GuardedConnection>();
    private readonly log: BoundedLog;

    private constructor(private readonly options: ConnectionGuardOptions) {
        this.memory = ConnectionMemory.create(options.bounds.heldBytes, options.clock);
        this.log = BoundedLog.create(options.logger, options.clock);
    }

    static create(options: ConnectionGuardOptions): ConnectionGuard {
        return new ConnectionGuard(options);
    }

    /** Guards the connections of a server that doesn't listen yet; returns what changes the bytes of its largest head. */
    watch(server: http.Server, listener: GuardedListener): (headBytes: number) => void {
        const connections = new Map<Socket, GuardedConnection>();
        let { headBytes } = listener;
        const setHeadBytes = (bytes: number): void => {
            headBytes = bytes;
            server.maxHeadersCount = Math.ceil(bytes / shortestHeaderLineBytes);
        };
        setHeadBytes(headBytes);
        server.on("connection", (socket: Socket) => {
            const { clock, bounds } = this.options;
            const connection = GuardedConnection.create({
                socket,
                memory: this.memory,
                turns: this.turns,
                requestsAhead: bounds.requestsAhead,
                headBytes: () => headBytes,
                now: () => clock.monotonic(),
                giveUp: (connection, cause) => this.giveUp(connection, cause, listener),
            });
            connections.set(socket, connection);
            this.connections.set(socket, connection);
            socket.once("close", () => connections.delete(socket));
            if (connections.size > Math.min(bounds.connections, listener.connections ?? Infinity)) {
                this.giveUp(leastUsed([...connections.values()]), "connections", listener);
            }
        });
        // Node's own takes a connection for idle whose next request waits unparsed; closing the server calls it too.
        server.closeIdleConnections = () => closeIdle(connections.values());
        server.prependListener("request", (request: http.IncomingMessage, response: http.ServerResponse) => {
            connections.get(request.socket)?.add(request, response);
        });
        server.on("checkExpectation", (request: http.IncomingMessage, response: http.ServerResponse) => {
            connections.get(request.socket)?.add(request, response);
            response.writeHead(statuses.expectation, { "Content-Length": 0 }).end();
        });
        const timer = setInterval(() => {
            // What came while this process stood still is read first.
            setImmediate(() => this.giveUpSlow(connections.values(), listener));
        }, checkIntervalMilliseconds);
        timer.unref();
        server.once("close", () => clearInterval(timer));
        return setHeadBytes;
    }

    /** Whether bytes have come on a connection of one of its listeners that its parser hasn't got yet. */
    hasUnparsed(socket: Socket): boolean {
        return this.connections.get(socket)?.hasUnparsed() ?? false;
    }

    /** Sets the gauges of what the connections hold. */
    measure(metrics: Metrics): void {
        this.memory.measure(metrics);
    }

    private giveUpSlow(connections: Iterable<GuardedConnection>, listener: GuardedListener): void {
        const { clock, bounds: { bodyPause } } = this.options;
        const now = clock.monotonic();
        for (const connection of connections) {
            if (now - connection.lastByteAt >= bodyPause && connection.unfinishedResponse() !== undefined) {
                this.giveUp(connection, "slowBody", listener);
            }
        }
    }

    /** Answers a request that isn't whole, or a connection without one, as not run; closes the connection. */
    private giveUp(connection: GuardedConnection, cause: GivenUpCause, listener: GuardedListener): void {
        const { socket } = connection;
        if (connection.hasEnded()) {
            return;
        }
        this.options.metrics.count("basilpaddle_connections_given_up_total", { listener: listener.listener, cause });
        this.log.warn("a connection was given up", {
            listener: listener.listener,
            cause,
            peer: socket.remoteAddress,
            held: connection.held,
            requests: connection.requestsInProgress(),
        });
        const unfinished = connection.unfinishedResponse();
        const mayAnswer = !connection.isIdle() && connection.isSending();
        connection.end();
        if (!mayAnswer || cause === "connections" || !socket.writable) {
            socket.destroy();
        }
        else if (unfinished === undefined) {
            endWith(socket, statuses[cause]);
        }
        else {
            (listener.refuse ?? refuse)(unfinished, statuses[cause], cause);
            unfinished.once("finish", () => socket.destroySoon());
        }
    }
}

/** Closes the connections whose requests were all answered, and of which nothing more has come. */
function closeIdle(connections: Iterable<GuardedConnection>): void {
    for (const connection of connections) {
        if (connection.isIdle() && connection.hadRequest()) {
            connection.socket.destroy();
        }
    }
}

/** The connection that had its last answer longest ago, idle ones first; the newest one if all others are being served. */
function leastUsed(connections: readonly GuardedConnection[]): GuardedConnection {
    const newest = connections.at(-1)!;
    const older = (one: GuardedConnection, other: GuardedConnection): GuardedConnection =>
        other.lastAnswerAt < one.lastAnswerAt ? other : one;
    const others = connections.filter(connection => connection !== newest && !connection.hasEnded());
    const idle = others.filter(connection => connection.isIdle());
    const candidates = idle.length > 0 ? idle : others.filter(connection => connection.mayGiveWay());
    return candidates.length > 0 ? candidates.reduce(older) : newest;
}

function refuse(response: http.ServerResponse, status: number, cause: string): void {
    const body = Buffer.from(`${JSON.stringify({ error: cause })}\n`);
    response.writeHead(status, {
        ...status === statuses.noRoom ? { "Retry-After": String(noRoomRetryAfterSeconds) } : {},
        "Connection": "close",
        "Content-Type": "application/json",
        "Content-Length": body.length,
    });
    response.end(body);
}

function endWith(socket: Socket, status: number): void {
    const retryAfter = status === statuses.noRoom ? `Retry-After: ${noRoomRetryAfterSeconds}\r\n` : "";
    socket.end(
        `HTTP/1.1 ${status} ${reasons[status]}\r\n${retryAfter}Connection: close\r\nContent-Length: 0\r\n\r\n`,
        () => {
            socket.destroy();
        },
    );
}
