import * as net from "node:net";
import { Either, Left, Right } from "purify-ts";
import { afterPoll, type Logger } from "../utils/index.js";
import { encodeFrame, FrameReader } from "./frame.js";
import { Link, type LinkContext, type LinkFailure, type LinkHandler, Network } from "./link.js";

/**
 * Milliseconds for a connection to come about; the other host's system answers for a process that is busy, within the way
 * there and back. A host without power answers nothing, and the system sends the lost packet again after a second only: after
 * a loss of power everywhere, gateways that were up before the directories' hosts reached one half a second late. A new try
 * sends a new packet.
 */
export const connectTimeout = 300;
/** Bytes that may wait in a connection before messages without an answer are dropped. */
const sendBufferLimit = 8 * 1024 * 1024;

type Waiting = {
    readonly settle: (answer: Either<LinkFailure, unknown>) => void;
};
type Frame = {
    readonly id?: number;
    readonly answerTo?: number;
    readonly body?: unknown;
    /** Asks for a sign of life, or is one. */
    readonly life?: "ask" | "sign";
};
/** Milliseconds without a byte from the other side after which a sign of life is asked for. */
const quietTime = 500;
/** Milliseconds without a byte after which a connection counts as broken: three signs of life were missed. */
const silenceLimit = 2_000;
/** Milliseconds without a byte after which the accepting side gives a connection up; its maker has done so long before. */
const acceptedSilenceLimit = 15_000;

/** Links over TCP. */
export class TcpNetwork extends Network {
    private constructor(private readonly logger: Logger, private readonly source: string | undefined) {
        super();
    }

    /** `source`: the host's own address that connections leave from; the system chooses where none is given. */
    static create(logger: Logger, source?: string): TcpNetwork {
        return new TcpNetwork(logger, source);
    }

    override link(address: { readonly host: string; readonly port: number; }): Link {
        return TcpLink.create(address, this.logger, this.source);
    }
}

class TcpLink extends Link {
    private socket: net.Socket | undefined;
    private connecting: Promise<Either<LinkFailure, net.Socket>> | undefined;
    private readonly waiting = new Map<number, Waiting>();
    private lastId = 0;
    private closed = false;

    private constructor(
        private readonly address: { readonly host: string; readonly port: number; },
        private readonly logger: Logger,
        private readonly source: string | undefined,
    ) {
        super();
    }

    static create(
        address: { readonly host: string; readonly port: number; },
        logger: Logger,
        source: string | undefined,
    ): TcpLink {
        return new TcpLink(address, logger, source);
    }

    override async request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        const connected = await this.connect();
        return connected.caseOf<Promise<Either<LinkFailure, unknown>> | Either<LinkFailure, unknown>>({
            Left: failure => Left(failure),
            Right: socket => this.exchange(socket, body, timeout),
        });
    }

    override send(body: unknown): void {
        void this.connect().then(connected => {
            connected.ifRight(socket => {
                if (socket.writableLength < sendBufferLimit) {
                    socket.write(encodeFrame({ body }));
                }
            });
        });
    }

    override close(): void {
        this.closed = true;
        this.fail({ kind: "closed", message: "the link was closed" });
        this.socket?.destroy();
        this.socket = undefined;
    }

    private exchange(socket: net.Socket, body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        return new Promise(resolve => {
            const id = ++this.lastId;
            const settle = (answer: Either<LinkFailure, unknown>): void => {
                cancel();
                this.waiting.delete(id);
                resolve(answer);
            };
            const cancel = afterPoll(timeout, () => {
                settle(Left({ kind: "timeout", message: `no answer from ${this.name()} in ${timeout} ms` }));
            });
            this.waiting.set(id, { settle });
            socket.write(encodeFrame({ id, body }));
        });
    }

    private connect(): Promise<Either<LinkFailure, net.Socket>> {
        if (this.closed) {
            return Promise.resolve(Left({ kind: "closed", message: "the link was closed" }));
        }
        if (this.socket !== undefined) {
            return Promise.resolve(Right(this.socket));
        }
        this.connecting ??= this.open().finally(() => {
            this.connecting = undefined;
        });
        return this.connecting;
    }

    private open(): Promise<Either<LinkFailure, net.Socket>> {
        return new Promise(resolve => {
            const socket = net.connect({
                host: this.address.host,
                port: this.address.port,
                noDelay: true,
                localAddress: this.source,
            });
            const cancel = afterPoll(connectTimeout, () => {
                socket.destroy(new Error(`no connection to ${this.name()} in ${connectTimeout} ms`));
            });
            let open = false;
            socket.on("error", (error: NodeJS.ErrnoException) => {
                cancel();
                const kind = error.code === "ECONNREFUSED" ? "refused" : "unreachable";
                if (!open) {
                    resolve(Left({ kind, message: error.message }));
                }
            });
            socket.on("connect", () => {
                open = true;
                cancel();
                if (this.closed) {
                    socket.destroy();
                    resolve(Left({ kind: "closed", message: "the link was closed" }));
                    return;
                }
                this.socket = socket;
                this.listen(socket);
                resolve(Right(socket));
            });
        });
    }

    /**
     * An open connection can fall silent for good without a reset, while new ones work: a state table on the way lost
     * it, or the other host was replaced. Messages without an answer would go nowhere for as long as it lasts, seen as
     * a member that never catches up. So a quiet connection is asked for a sign of life, and is made anew without one.
     */
    private watchSilence(socket: net.Socket): void {
        let heardAt = performance.now();
        socket.on("data", () => {
            heardAt = performance.now();
        });
        const look = (): void => {
            const quiet = performance.now() - heardAt;
            if (quiet >= silenceLimit) {
                this.logger.warn("a connection fell silent; making a new one", { peer: this.name(), quiet });
                socket.destroy();
            }
            else if (quiet >= quietTime) {
                socket.write(encodeFrame({ life: "ask" }));
            }
        };
        // After a stop of this process, what has arrived meanwhile is looked at first.
        const timer = setInterval(() => setImmediate(look), quietTime);
        timer.unref();
        socket.on("close", () => clearInterval(timer));
    }

    private listen(socket: net.Socket): void {
        const reader = FrameReader.create();
        this.watchSilence(socket);
        socket.on("data", chunk => {
            for (const frame of readFrames(reader, chunk, socket, this.logger)) {
                if (frame.answerTo !== undefined) {
                    this.waiting.get(frame.answerTo)?.settle(Right(frame.body));
                }
            }
        });
        socket.on("close", () => {
            if (this.socket === socket) {
                this.socket = undefined;
                this.fail({ kind: "lost", message: `the connection to ${this.name()} broke` });
            }
        });
    }

    private fail(failure: LinkFailure): void {
        for (const waiting of [...this.waiting.values()]) {
            waiting.settle(Left(failure));
        }
    }

    private name(): string {
        return `${this.address.host}:${this.address.port}`;
    }
}

/** Accepts links from other daemons. */
export class TcpServer {
    private readonly sockets = new Set<net.Socket>();

    private constructor(
        private readonly server: net.Server,
        private readonly handler: LinkHandler,
        private readonly logger: Logger,
    ) {
        server.on("connection", socket => this.serve(socket));
    }

    /** Listens at once; with port 0 the system chooses one, which `port()` tells. */
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

    /** The port that it listens on. */
    port(): number {
        return (this.server.address() as net.AddressInfo).port;
    }

    /** Stops listening and breaks every connection. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    private serve(socket: net.Socket): void {
        this.sockets.add(socket);
        const reader = FrameReader.create();
        const gone = new AbortController();
        const context: LinkContext = { gone: gone.signal };
        socket.on("error", error => this.logger.debug("a link broke", { message: error.message }));
        socket.on("close", () => {
            this.sockets.delete(socket);
            gone.abort();
        });
        socket.setTimeout(acceptedSilenceLimit, () => socket.destroy());
        socket.on("data", chunk => {
            for (const frame of readFrames(reader, chunk, socket, this.logger)) {
                if (frame.life === undefined) {
                    void this.answer(socket, frame, context);
                }
                else if (frame.life === "ask") {
                    socket.write(encodeFrame({ life: "sign" }));
                }
            }
        });
    }

    private async answer(socket: net.Socket, frame: Frame, context: LinkContext): Promise<void> {
        try {
            const body = await this.handler(frame.body, context);
            if (frame.id !== undefined && !socket.destroyed) {
                socket.write(encodeFrame({ answerTo: frame.id, body }));
            }
        }
        catch (error) {
            // Without an answer the other side waits for its whole timeout; `lost` tells it at once.
            this.logger.error("a link handler failed", { error });
            socket.destroy();
        }
    }
}

function readFrames(reader: FrameReader, chunk: Buffer, socket: net.Socket, logger: Logger): Frame[] {
    try {
        return reader.push(chunk) as Frame[];
    }
    catch (error) {
        logger.warn("a link sent something that isn't a frame", { error });
        socket.destroy();
        return [];
    }
}
