import * as net from "node:net";
import type { Logger } from "../utils/index.js";
import { encodeFrame, FrameReader, maxFrameBytes } from "./frame.js";
import type { LinkContext, LinkHandler } from "./link.js";
import { type Frame, maxSendBufferBytes, readFrames } from "./linkFrame.js";

/** Connections that a server accepts at the same time. */
const maxConnections = 2_048;
/** Bytes that the frames of all of its connections may hold which aren't whole. */
const maxUnfinishedBytes = 4 * maxFrameBytes;
/** Requests of one connection that are being answered, beyond which nothing more of it is read. */
const maxRequestsInProgress = 1_024;
/** Time without received data after which the accepting side closes a connection; the connecting side has done so long before. */
const acceptedIdleTimeoutMilliseconds = 15_000;

/** Accepts links from other daemons and answers their requests. */
export class TcpServer {
    private readonly connections = new Map<net.Socket, AcceptedConnection>();
    /** Bytes that frames which aren't whole hold. */
    private unfinishedBytes = 0;

    private constructor(
        private readonly server: net.Server,
        private readonly handler: LinkHandler,
        private readonly logger: Logger,
    ) {
        server.on("connection", socket => this.handleConnection(socket));
    }

    /** Starts listening; with port 0 the operating system chooses a free port, which `port()` returns. */
    static async create(options: {
        readonly host: string;
        readonly port: number;
        readonly handler: LinkHandler;
        readonly logger: Logger;
    }): Promise<TcpServer> {
        const server = net.createServer({ noDelay: true });
        const created = new TcpServer(server, options.handler, options.logger);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen({ host: options.host, port: options.port }, resolve);
        });
        return created;
    }

    /** The port that the server listens on. */
    port(): number {
        return (this.server.address() as net.AddressInfo).port;
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.connections.keys()) {
            socket.destroy();
        }
        await closed;
    }

    private handleConnection(socket: net.Socket): void {
        const connection: AcceptedConnection = {
            reader: FrameReader.create(),
            requests: 0,
            unfinishedBytes: 0,
            hasSentFrame: false,
        };
        this.connections.set(socket, connection);
        const connectionClosed = new AbortController();
        const context: LinkContext = { disconnected: connectionClosed.signal };
        socket.on(
            "error",
            error => this.logger.debug("a connection from another daemon failed", { message: error.message }),
        );
        socket.on("close", () => {
            this.forget(socket, connection);
            connectionClosed.abort();
        });
        if (this.connections.size > maxConnections) {
            this.closeOneTooMany(socket);
        }
        socket.setTimeout(acceptedIdleTimeoutMilliseconds, () => socket.destroy());
        socket.on("drain", () => this.readOn(socket, connection));
        socket.on("data", chunk => {
            const frames = readFrames(connection.reader, chunk, socket, this.logger);
            connection.hasSentFrame ||= frames.length > 0;
            for (const frame of frames) {
                if (frame.life === undefined) {
                    void this.handleRequest(socket, frame, context);
                }
                else if (frame.life === "ask") {
                    socket.write(encodeFrame({ life: "sign" }));
                }
            }
            if (!socket.destroyed) {
                this.updateUnfinished(connection, connection.reader.heldBytes);
            }
            if (!mayReadOn(socket, connection)) {
                socket.pause();
            }
        });
    }

    private async handleRequest(socket: net.Socket, frame: Frame, context: LinkContext): Promise<void> {
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            // It was closed while the frames that came with this one were handled.
            return;
        }
        connection.requests += 1;
        try {
            const body = await this.handler(frame.body, context);
            if (frame.id !== undefined && !socket.destroyed) {
                socket.write(encodeFrame({ answerTo: frame.id, body }));
            }
        }
        catch (error) {
            // Without an answer the other side would wait for its whole timeout; closing the connection fails it at once as `lost`.
            this.logger.error("a link handler failed", { error });
            socket.destroy();
        }
        finally {
            connection.requests -= 1;
            this.readOn(socket, connection);
        }
    }

    private readOn(socket: net.Socket, connection: AcceptedConnection): void {
        if (socket.isPaused() && mayReadOn(socket, connection)) {
            socket.resume();
        }
    }

    /** Closes the oldest connection that has never sent a whole frame, as daemons do at once; the newest one if there is none. */
    private closeOneTooMany(newest: net.Socket): void {
        const [unused] = [...this.connections].find(([, { hasSentFrame }]) => !hasSentFrame) ?? [newest];
        this.logger.warn("too many connections from other daemons; closing one", { peer: unused.remoteAddress });
        unused.destroy();
    }

    /** States what a connection's unfinished frame holds; the largest ones are closed until all together hold little enough. */
    private updateUnfinished(connection: AcceptedConnection, bytes: number): void {
        this.unfinishedBytes += bytes - connection.unfinishedBytes;
        connection.unfinishedBytes = bytes;
        while (this.unfinishedBytes > maxUnfinishedBytes) {
            const [socket, largest] = [...this.connections].reduce((one, other) =>
                other[1].unfinishedBytes > one[1].unfinishedBytes ? other : one
            );
            this.logger.warn("unfinished frames hold too much together; closing a connection", {
                peer: socket.remoteAddress,
                bytes: largest.unfinishedBytes,
                held: this.unfinishedBytes,
            });
            this.forget(socket, largest);
            socket.destroy();
        }
    }

    private forget(socket: net.Socket, connection: AcceptedConnection): void {
        this.connections.delete(socket);
        this.unfinishedBytes -= connection.unfinishedBytes;
        connection.unfinishedBytes = 0;
    }
}

/** What a server knows of a connection from another daemon. */
type AcceptedConnection = {
    readonly reader: FrameReader;
    /** Number of its requests that are being answered. */
    requests: number;
    /** Bytes that its frame holds which isn't whole. */
    unfinishedBytes: number;
    hasSentFrame: boolean;
};

/** Whether few of its requests are in progress, and the other side takes the answers. */
function mayReadOn(socket: net.Socket, { requests }: AcceptedConnection): boolean {
    return requests < maxRequestsInProgress && socket.writableLength < maxSendBufferBytes;
}
