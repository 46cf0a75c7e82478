import * as net from "node:net";

type Address = { readonly host: string; readonly port: number; };
/** The way of bytes through a relay: from whoever connected, or to it. */
export type Direction = "there" | "back";
const bothWays: readonly Direction[] = ["there", "back"];

/** One connection that came to a relay, and the one that it made for it. */
class Passage {
    private readonly silent = new Set<Direction>();
    private delay = 0;
    /** When the last delayed bytes of a direction are due: bytes never overtake each other. */
    private readonly dueAt: Record<Direction, number> = { there: 0, back: 0 };

    constructor(
        private readonly from: net.Socket,
        private readonly to: net.Socket,
        private readonly onEnd: () => void,
    ) {
        this.carry("there", from, to);
        this.carry("back", to, from);
    }

    /** Host that the connection came from. */
    get source(): string {
        return this.from.remoteAddress ?? "";
    }

    /** Bytes stay where they are, and so does the word that a side has closed: nobody hears that anything is wrong. */
    silence(direction: Direction): void {
        this.silent.add(direction);
        this.sender(direction).pause();
    }

    /** Lets bytes wait for so many milliseconds. */
    slow(delay: number): void {
        this.delay = delay;
    }

    heal(): void {
        this.delay = 0;
        this.silent.clear();
        if (this.from.destroyed || this.to.destroyed) {
            this.destroy();
            return;
        }
        this.from.resume();
        this.to.resume();
    }

    /** Ends both sides with a reset: a plain end would pass for an end in good order. */
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

    private sender(direction: Direction): net.Socket {
        return direction === "there" ? this.from : this.to;
    }

    private carry(direction: Direction, source: net.Socket, sink: net.Socket): void {
        source.on("data", chunk => {
            this.later(direction, () => {
                if (!sink.destroyed && !sink.write(chunk)) {
                    source.pause();
                }
            });
        });
        sink.on("drain", () => {
            if (!this.silent.has(direction)) {
                source.resume();
            }
        });
        source.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNRESET") {
                this.reset();
            }
        });
        source.on("end", () => this.later(direction, () => sink.end()));
        source.on("close", () => {
            if (this.silent.size === 0) {
                this.later(direction, () => this.destroy());
            }
        });
    }

    private later(direction: Direction, act: () => void): void {
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
 * A TCP relay that does what a bad network does: goes silent in one direction or both without closing a connection, for
 * everybody or for one source only, delays, and resets.
 */
export class Relay {
    private readonly passages = new Set<Passage>();
    /** Directions that are silent, by source; the empty source stands for everybody. */
    private readonly silent = new Map<string, Set<Direction>>();
    private delay = 0;
    private target: Address | undefined;

    private constructor(private readonly server: net.Server) {
        server.on("connection", socket => this.pass(socket));
    }

    /** Listens; with port 0 the system chooses one. */
    static async create(host: string, port = 0): Promise<Relay> {
        const server = net.createServer({ noDelay: true, allowHalfOpen: true });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        return new Relay(server);
    }

    /** Where it listens. */
    get address(): Address {
        const { address, port } = this.server.address() as net.AddressInfo;
        return { host: address, port };
    }

    /** Names the address that it relays to. */
    to(target: Address): void {
        this.target = target;
    }

    /** Lets nothing through any more, over old connections and new ones; over all directions when none is named. */
    silence(...directions: readonly Direction[]): void {
        this.silenceFrom("", ...directions);
    }

    /** The same for connections that come from one host. */
    silenceFrom(source: string, ...directions: readonly Direction[]): void {
        const silent = this.silent.get(source) ?? new Set<Direction>();
        this.silent.set(source, silent);
        for (const direction of directions.length === 0 ? bothWays : directions) {
            silent.add(direction);
        }
        this.passages.forEach(passage => this.impair(passage));
    }

    /** Lets bytes wait for so many milliseconds, on old connections and new ones. */
    slow(delay: number): void {
        this.delay = delay;
        this.passages.forEach(passage => passage.slow(delay));
    }

    /** Resets every open connection. */
    reset(): void {
        [...this.passages].forEach(passage => passage.reset());
    }

    /** Lets everything through again, what waited first. */
    heal(): void {
        this.silent.clear();
        this.delay = 0;
        this.passages.forEach(passage => passage.heal());
    }

    /** The same for connections that come from one host. */
    healFrom(source: string): void {
        this.silent.delete(source);
        this.passages.forEach(passage => {
            if (passage.source === source) {
                passage.heal();
                this.impair(passage);
            }
        });
    }

    close(): void {
        this.server.close();
        this.passages.forEach(passage => passage.destroy());
    }

    private impair(passage: Passage): void {
        passage.slow(this.delay);
        for (const source of ["", passage.source]) {
            this.silent.get(source)?.forEach(direction => passage.silence(direction));
        }
    }

    private pass(from: net.Socket): void {
        if (this.target === undefined) {
            from.destroy();
            return;
        }
        const to = net.connect({ ...this.target, noDelay: true, allowHalfOpen: true });
        const passage: Passage = new Passage(from, to, () => this.passages.delete(passage));
        this.passages.add(passage);
        this.impair(passage);
    }
}
