import * as net from "node:net";
import type { InstanceTable } from "../../coordination/index.js";
import { type TunnelReply, tunnelRequestSchema } from "../../protocol/index.js";
import { ConnectionFailure, encodeFrame, joinSockets, readFrame } from "../../transport/index.js";
import { afterPoll, type Logger, type Metrics, runInBackground } from "../../utils/index.js";
import type { ConnectionOpener } from "../backends/index.js";
import { Tunnel } from "./tunnel.js";

type FailureReason = Extract<TunnelReply, { kind: "failed"; }>["reason"];

/** Limit of open tunnels: two connections each, of the few thousand that a gateway may have. */
const maxTunnels = 500;
/** Limit of gateways that get a notice: one connection each. */
const maxNotices = 500;
/** Limit of connections: those of tunnels and notices, and some that are refused. */
const maxConnections = maxTunnels + maxNotices + 24;
/** Bytes of the largest request for a tunnel. */
const maxRequestBytes = 4_096;
/** Time for a new connection to send its request. */
const requestTimeoutMilliseconds = 1_000;

/** Dependencies of a relay server. */
export type RelayServerOptions = {
    readonly address: { readonly host: string; readonly port: number; };
    readonly instances: InstanceTable;
    /** Opens connections to backend servers directly, so that no tunnel leads through two relays. */
    readonly opener: ConnectionOpener;
    /** Whether this gateway reaches backend servers itself. */
    readonly reachesServers: () => boolean;
    /** The same, examined again because this server doesn't accept a connection. */
    readonly confirmReach: (failedServer: string) => Promise<boolean>;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Accepts tunnels from gateways whose own links to all backend servers fail; only to servers that are announced. */
export class RelayServer {
    private readonly sockets = new Set<net.Socket>();
    private readonly tunnels = new Set<Tunnel>();
    /** Connections of gateways that are told when this one begins to shut down. */
    private readonly noticed = new Set<net.Socket>();
    /** Number of open tunnels, and of those that are being opened. */
    private tunnelCount = 0;
    private closing = false;

    private constructor(private readonly server: net.Server, private readonly options: RelayServerOptions) {
        server.on("connection", socket => runInBackground(this.accept(socket), options.logger, "a tunnel failed"));
    }

    static async create(options: RelayServerOptions): Promise<RelayServer> {
        const server = net.createServer({ noDelay: true });
        const relayServer = new RelayServer(server, options);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.address, resolve);
        });
        return relayServer;
    }

    /** The port that the server listens on. */
    port(): number {
        return (this.server.address() as net.AddressInfo).port;
    }

    /** Opens no more tunnels, and tells the gateways that have some, so that they send no new calls over them. */
    closeForNewTunnels(): void {
        this.closing = true;
        this.noticed.forEach(socket => socket.end(closingFrame()));
    }

    /** Closes tunnels over which no call is in progress; returns the number of the others. */
    closeIdleTunnels(now: number): number {
        this.tunnels.forEach(tunnel => tunnel.closeIfIdle(now));
        return this.tunnels.size;
    }

    /** Stops listening and closes all tunnels. */
    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    private async accept(socket: net.Socket): Promise<void> {
        if (this.sockets.size >= maxConnections) {
            socket.destroy();
            return;
        }
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        socket.on("error", error => {
            this.options.logger.debug("a tunnel's connection failed", { cause: error.message });
        });
        const cancelTimeout = afterPoll(requestTimeoutMilliseconds, () => socket.destroy());
        const request = tunnelRequestSchema.safeParse(await readFrame(socket, maxRequestBytes));
        cancelTimeout();
        if (!request.success) {
            socket.destroy();
            return;
        }
        if ("kind" in request.data) {
            this.acceptNotice(socket);
            return;
        }
        const opened = await this.openTunnel(request.data.server, socket);
        this.options.metrics.count("basilpaddle_tunnels_total", { outcome: opened });
        if (opened !== "open") {
            this.options.logger.info("a tunnel is refused", { server: request.data.server, reason: opened });
            socket.end(encodeFrame({ kind: "failed", reason: opened } satisfies TunnelReply));
        }
    }

    private acceptNotice(socket: net.Socket): void {
        if (this.closing) {
            socket.end(closingFrame());
        }
        else if (this.noticed.size >= maxNotices) {
            socket.end(encodeFrame({ kind: "failed", reason: "full" } satisfies TunnelReply));
        }
        else {
            this.noticed.add(socket);
            socket.once("close", () => this.noticed.delete(socket));
            socket.resume();
            socket.write(encodeFrame({ kind: "open" } satisfies TunnelReply));
        }
    }

    private join(socket: net.Socket, upstream: net.Socket): void {
        if (socket.destroyed) {
            upstream.destroy();
            return;
        }
        const tunnel = Tunnel.create(socket, upstream);
        this.tunnels.add(tunnel);
        socket.once("close", () => this.tunnels.delete(tunnel));
        joinSockets(socket, upstream);
    }

    /** Why no tunnel can be opened to any server now; undefined if one can. */
    private obstacle(): FailureReason | undefined {
        if (this.closing) {
            return "closing";
        }
        if (!this.options.reachesServers()) {
            return "partitioned";
        }
        return this.tunnelCount >= maxTunnels ? "full" : undefined;
    }

    private async openTunnel(server: string, socket: net.Socket): Promise<"open" | FailureReason> {
        const { instances, opener, confirmReach } = this.options;
        const announced = instances.get(server);
        if (announced === undefined) {
            return "unknownServer";
        }
        const obstacle = this.obstacle();
        if (obstacle !== undefined) {
            return obstacle;
        }
        // Counted from here on, so that connections that are still being opened don't exceed the limit.
        this.tunnelCount += 1;
        socket.once("close", () => {
            this.tunnelCount -= 1;
        });
        try {
            const upstream = await opener.open(announced);
            socket.write(encodeFrame({ kind: "open" } satisfies TunnelReply));
            this.join(socket, upstream);
            return "open";
        }
        catch (error) {
            if (!await confirmReach(server)) {
                return "partitioned";
            }
            return error instanceof ConnectionFailure && error.code === "ECONNREFUSED" ? "refused" : "unreachable";
        }
    }
}

function closingFrame(): Buffer {
    return encodeFrame({ kind: "failed", reason: "closing" } satisfies TunnelReply);
}
