import * as net from "node:net";
import { confirmEnd, resetAtEndCode } from "../../packages/basilpaddle/src/node/transport/index.js";

type Address = { readonly host: string; readonly port: number; };
/** Direction of bytes through a relay: `there` is from the connecting client to the target, `back` the reverse. */
export type Direction = "there" | "back";
const bothDirections: readonly Direction[] = ["there", "back"];

/** A connection accepted by a relay, paired with the relay's own connection to the target. */
class RelayedConnection {
    private readonly stalled = new Set<Direction>();
    private delay = 0;
    /** When the last delayed bytes of each direction are due, in milliseconds; keeps bytes in order when the delay shrinks. */
    private readonly dueAt: Record<Direction, number> = { there: 0, back: 0 };

    constructor(
        private readonly from: net.Socket,
        private readonly to: net.Socket,
        private readonly onEnd: () => void,
    ) {
        this.forward("there", from, to);
        this.forward("back", to, from);
    }

    /** Host of the connecting client. */
    get source(): string {
        return this.from.remoteAddress ?? "";
    }

    /** Stops forwarding bytes and closes in this direction, so that neither side can detect the fault from its connection. */
    stall(direction: Direction): void {
        this.stalled.add(direction);
        this.sourceOf(direction).pause();
    }

    /** Delays bytes by the given milliseconds. */
    setDelay(delay: number): void {
        this.delay = delay;
    }

    heal(): void {
        this.delay = 0;
        this.stalled.clear();
        if (this.from.destroyed || this.to.destroyed) {
            this.destroy();
            return;
        }
        this.from.resume();
        this.to.resume();
    }

    /** Resets both connections: a FIN would look like an orderly close. */
    reset(): void {
        this.from.resetAndDestroy();
        this.to.resetAndDestroy();
        this.onEnd();
    }

    destroy(): void {
        this.from.destroy();
        this.to.destroy();
        this.onEnd();
    }

    private sourceOf(direction: Direction): net.Socket {
        return direction === "there" ? this.from : this.to;
    }

    private forward(direction: Direction, source: net.Socket, sink: net.Socket): void {
        if (direction === "back") {
            // Not of clients' connections, whose address `source` reads, so that the runtime keeps it also after a reset.
            confirmEnd(source);
        }
        source.on("data", chunk => {
            this.afterDelay(direction, () => {
                if (!sink.destroyed && !sink.write(chunk)) {
                    source.pause();
                }
            });
        });
        sink.on("drain", () => {
            if (!this.stalled.has(direction)) {
                source.resume();
            }
        });
        source.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNRESET" || error.code === resetAtEndCode) {
                this.reset();
            }
        });
        source.on("end", () => this.afterDelay(direction, () => sink.end()));
        source.on("close", () => {
            if (this.stalled.size === 0) {
                this.afterDelay(direction, () => this.destroy());
            }
        });
    }

    private afterDelay(direction: Direction, act: () => void): void {
        const now = performance.now();
        const due = Math.max(this.dueAt[direction], now + this.delay);
        this.dueAt[direction] = due;
        if (due <= now) {
            act();
        }
        else {
            setTimeout(act, due - now);
        }
    }
}

/**
 * A TCP relay that injects network faults: it stops forwarding in one or both directions without closing connections, for
 * all sources or for one source only; delays bytes; and resets connections.
 */
export class Relay {
    private readonly connections = new Set<RelayedConnection>();
    /** Stalled directions by source host; the empty string means all sources. */
    private readonly stalledBySource = new Map<string, Set<Direction>>();
    private delay = 0;
    private target: Address | undefined;

    private constructor(private readonly server: net.Server) {
        server.on("connection", socket => this.accept(socket));
    }

    /** Starts listening; with port 0 the system chooses one. */
    static async create(host: string, port = 0): Promise<Relay> {
        const server = net.createServer({ noDelay: true, allowHalfOpen: true });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        return new Relay(server);
    }

    /** The address on which the relay listens. */
    get address(): Address {
        const { address, port } = this.server.address() as net.AddressInfo;
        return { host: address, port };
    }

    /** Sets the address to which new connections are relayed. */
    setTarget(target: Address): void {
        this.target = target;
    }

    /** Stops forwarding on existing and new connections, in the given directions or, without any, in both. */
    stallAll(...directions: readonly Direction[]): void {
        this.stallFrom("", ...directions);
    }

    /** Stops forwarding on connections from one source host only. */
    stallFrom(source: string, ...directions: readonly Direction[]): void {
        const stalled = this.stalledBySource.get(source) ?? new Set<Direction>();
        this.stalledBySource.set(source, stalled);
        for (const direction of directions.length === 0 ? bothDirections : directions) {
            stalled.add(direction);
        }
        this.connections.forEach(connection => this.applyFaults(connection));
    }

    /** Delays bytes by the given milliseconds, on existing and new connections. */
    slow(delay: number): void {
        this.delay = delay;
        this.connections.forEach(connection => connection.setDelay(delay));
    }

    /** Resets every open connection. */
    reset(): void {
        [...this.connections].forEach(connection => connection.reset());
    }

    /** Resets every open connection from one source host. */
    resetFrom(source: string): void {
        [...this.connections].filter(connection => connection.source === source).forEach(connection =>
            connection.reset()
        );
    }

    /** Removes all stalls and delays; buffered bytes are forwarded first. */
    heal(): void {
        this.stalledBySource.clear();
        this.delay = 0;
        this.connections.forEach(connection => connection.heal());
    }

    /** Removes the stalls of one source host; stalls and delays for all sources stay. */
    removeStallsFrom(source: string): void {
        this.stalledBySource.delete(source);
        this.connections.forEach(connection => {
            if (connection.source === source) {
                connection.heal();
                this.applyFaults(connection);
            }
        });
    }

    close(): void {
        this.server.close();
        this.connections.forEach(connection => connection.destroy());
    }

    private applyFaults(connection: RelayedConnection): void {
        connection.setDelay(this.delay);
        for (const source of ["", connection.source]) {
            this.stalledBySource.get(source)?.forEach(direction => connection.stall(direction));
        }
    }

    private accept(from: net.Socket): void {
        if (this.target === undefined) {
            from.destroy();
            return;
        }
        const to = net.connect({ ...this.target, noDelay: true, allowHalfOpen: true });
        const connection: RelayedConnection = new RelayedConnection(
            from,
            to,
            () => this.connections.delete(connection),
        );
        this.connections.add(connection);
        this.applyFaults(connection);
    }
}
