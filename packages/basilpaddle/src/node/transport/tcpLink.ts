import * as net from "node:net";
import { Either, Left, Right } from "purify-ts";
import { afterPoll, type Logger } from "../utils/index.js";
import { encodeFrame, FrameReader } from "./frame.js";
import { Link, type LinkFailure, Network } from "./link.js";
import { maxSendBufferBytes, readFrames } from "./linkFrame.js";

/**
 * Timeout for establishing a connection. The other host's operating system accepts the connection within one round trip, even
 * if the process is busy. A host that is down doesn't respond, and the operating system retransmits the lost packet only after a
 * second. After a power failure of the whole deployment, gateways that were up before the directories' hosts therefore connected
 * half a second late. With a short timeout, a new attempt sends a new packet earlier.
 */
export const connectTimeoutMilliseconds = 300;

type PendingRequest = {
    readonly settle: (answer: Either<LinkFailure, unknown>) => void;
};
/** Time without received data after which a keep-alive probe is sent. */
const idleProbeMilliseconds = 500;
/** Time without received data after which a connection is considered lost, if that many keep-alive probes weren't answered in it. */
const idleTimeoutMilliseconds = 2_000;
const minUnansweredProbes = 2;

/** Creates links over TCP. */
export class TcpNetwork extends Network {
    private constructor(private readonly logger: Logger, private readonly localAddress: string | undefined) {
        super();
    }

    /** `localAddress`: for outgoing connections; by default the operating system chooses one. */
    static create(logger: Logger, localAddress?: string): TcpNetwork {
        return new TcpNetwork(logger, localAddress);
    }

    override link(address: { readonly host: string; readonly port: number; }): Link {
        return TcpLink.create(address, this.logger, this.localAddress);
    }
}

class TcpLink extends Link {
    private socket: net.Socket | undefined;
    private connecting: Promise<Either<LinkFailure, net.Socket>> | undefined;
    private readonly pendingRequests = new Map<number, PendingRequest>();
    private lastId = 0;
    private closed = false;

    private constructor(
        private readonly address: { readonly host: string; readonly port: number; },
        private readonly logger: Logger,
        private readonly localAddress: string | undefined,
    ) {
        super();
    }

    static create(
        address: { readonly host: string; readonly port: number; },
        logger: Logger,
        localAddress: string | undefined,
    ): TcpLink {
        return new TcpLink(address, logger, localAddress);
    }

    override async request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        const connected = await this.connect();
        return connected.caseOf<Promise<Either<LinkFailure, unknown>> | Either<LinkFailure, unknown>>({
            Left: failure => Left(failure),
            Right: socket => this.sendRequest(socket, body, timeout),
        });
    }

    override send(body: unknown): void {
        void this.connect().then(connected => {
            connected.ifRight(socket => {
                if (socket.writableLength < maxSendBufferBytes) {
                    socket.write(encodeFrame({ body }));
                }
            });
        });
    }

    override close(): void {
        this.closed = true;
        this.failPendingRequests({ kind: "closed", message: "the link was closed" });
        this.socket?.destroy();
        this.socket = undefined;
    }

    private sendRequest(socket: net.Socket, body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        return new Promise(resolve => {
            const id = ++this.lastId;
            const settle = (answer: Either<LinkFailure, unknown>): void => {
                cancel();
                this.pendingRequests.delete(id);
                resolve(answer);
            };
            const cancel = afterPoll(timeout, () => {
                settle(Left({ kind: "timeout", message: `no answer from ${this.peerAddress()} within ${timeout} ms` }));
            });
            this.pendingRequests.set(id, { settle });
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
        this.connecting ??= this.openConnection().finally(() => {
            this.connecting = undefined;
        });
        return this.connecting;
    }

    private openConnection(): Promise<Either<LinkFailure, net.Socket>> {
        return new Promise(resolve => {
            const socket = net.connect({
                host: this.address.host,
                port: this.address.port,
                noDelay: true,
                localAddress: this.localAddress,
            });
            const cancel = afterPoll(connectTimeoutMilliseconds, () => {
                socket.destroy(
                    new Error(`no connection to ${this.peerAddress()} within ${connectTimeoutMilliseconds} ms`),
                );
            });
            let isConnected = false;
            socket.on("error", (error: NodeJS.ErrnoException) => {
                cancel();
                const kind = error.code === "ECONNREFUSED" ? "refused" : "unreachable";
                if (!isConnected) {
                    resolve(Left({ kind, message: error.message }));
                }
            });
            socket.on("connect", () => {
                isConnected = true;
                cancel();
                if (this.closed) {
                    socket.destroy();
                    resolve(Left({ kind: "closed", message: "the link was closed" }));
                    return;
                }
                this.socket = socket;
                this.receiveFrom(socket);
                resolve(Right(socket));
            });
        });
    }

    /**
     * An open connection can stop delivering data permanently without a reset while new connections work: a stateful device
     * on the path dropped its state, or the other host was replaced. Messages that aren't answered would then be lost, and a
     * member would never catch up. An idle connection is therefore probed, and replaced if the probes aren't answered. While this process
     * stands still it sends none, and an idle connection is sound however long nothing was received.
     */
    private detectDeadConnection(socket: net.Socket): void {
        let lastReceivedAt = performance.now();
        let unansweredProbes = 0;
        socket.on("data", () => {
            lastReceivedAt = performance.now();
            unansweredProbes = 0;
        });
        const checkIdle = (): void => {
            const quiet = performance.now() - lastReceivedAt;
            if (quiet >= idleTimeoutMilliseconds && unansweredProbes >= minUnansweredProbes) {
                this.logger.warn("no data received on a connection; closing it", { peer: this.peerAddress(), quiet });
                socket.destroy();
            }
            else if (quiet >= idleProbeMilliseconds) {
                unansweredProbes += 1;
                socket.write(encodeFrame({ life: "ask" }));
            }
        };
        // After a suspension of this process, data that has arrived meanwhile is processed first.
        const timer = setInterval(() => setImmediate(checkIdle), idleProbeMilliseconds);
        timer.unref();
        socket.on("close", () => clearInterval(timer));
    }

    private receiveFrom(socket: net.Socket): void {
        const reader = FrameReader.create();
        this.detectDeadConnection(socket);
        socket.on("data", chunk => {
            for (const frame of readFrames(reader, chunk, socket, this.logger)) {
                if (frame.answerTo !== undefined) {
                    this.pendingRequests.get(frame.answerTo)?.settle(Right(frame.body));
                }
            }
        });
        socket.on("close", () => {
            if (this.socket === socket) {
                this.socket = undefined;
                this.failPendingRequests({ kind: "lost", message: `the connection to ${this.peerAddress()} was lost` });
            }
        });
    }

    private failPendingRequests(failure: LinkFailure): void {
        for (const request of [...this.pendingRequests.values()]) {
            request.settle(Left(failure));
        }
    }

    private peerAddress(): string {
        return `${this.address.host}:${this.address.port}`;
    }
}
