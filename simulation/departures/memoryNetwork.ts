import { type Either, Left, Right } from "purify-ts";
import { Link, type LinkFailure, Network } from "../../packages/basilpaddle/src/node/transport/index.js";
import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { ManualClock } from "../manualClock.js";

/** Bounds of the time that a message takes in one direction. */
const minDelayMilliseconds = 0.5;
const maxDelayMilliseconds = 3;

type Handler = (body: unknown) => Promise<unknown>;

/** An emulated network of processes, known by their addresses, to which a path may be added. Processes that are stopped refuse connections. */
export class MemoryNetwork {
    private readonly handlers = new Map<string, Handler>();
    private readonly isolated = new Set<string>();
    private isSeparated: (from: string, to: string) => boolean = () => false;

    private constructor(private readonly clock: ManualClock, private readonly randomness: Randomness) {}

    static create(clock: ManualClock, randomness: Randomness): MemoryNetwork {
        return new MemoryNetwork(clock, randomness);
    }

    /** Starts a process that handles messages; returns a function that stops it. */
    listen(address: string, handler: Handler): () => void {
        this.handlers.set(address, handler);
        return () => {
            if (this.handlers.get(address) === handler) {
                this.handlers.delete(address);
            }
        };
    }

    /** Cuts a process off from all others, or connects it again. Messages to and from it are lost meanwhile. */
    setIsolated(address: string, isolated: boolean): void {
        if (isolated) {
            this.isolated.add(address);
        }
        else {
            this.isolated.delete(address);
        }
    }

    /** Sets which processes are cut off from each other. Messages between them are lost. */
    separate(isSeparated: (from: string, to: string) => boolean): void {
        this.isSeparated = isSeparated;
    }

    /** The network as one process uses it, until that process is stopped. */
    viewOf(address: string, isStopped: () => boolean): Network {
        return new MemoryNetworkView(this, address, isStopped);
    }

    /** Sends a request and waits for its answer; `timeout` is in milliseconds. */
    async request(from: string, to: string, body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        const timedOut: Either<LinkFailure, unknown> = Left({ kind: "timeout", message: "no answer" });
        return new Promise(resolve => {
            const cancel = this.clock.after(timeout, () => resolve(timedOut));
            const settle = (result: Either<LinkFailure, unknown>): void => {
                cancel();
                resolve(result);
            };
            void this.deliver(from, to, body, settle);
        });
    }

    private async deliver(
        from: string,
        to: string,
        body: unknown,
        settle: (result: Either<LinkFailure, unknown>) => void,
    ): Promise<void> {
        await this.travel();
        if (this.isIsolated(from, to)) {
            return;
        }
        const handler = this.handlers.get(to);
        if (handler === undefined) {
            settle(Left({ kind: "refused", message: "no process listens" }));
            return;
        }
        const answer = await handler(structuredClone(body));
        await this.travel();
        if (this.handlers.get(to) !== handler) {
            settle(Left({ kind: "lost", message: "the process stopped" }));
        }
        else if (!this.isIsolated(from, to)) {
            settle(Right(structuredClone(answer)));
        }
    }

    private isIsolated(from: string, to: string): boolean {
        const target = to.split("/", 1)[0]!;
        return this.isolated.has(from) || this.isolated.has(target) || this.isSeparated(from, target);
    }

    private travel(): Promise<void> {
        const delay = minDelayMilliseconds + this.randomness.fraction() * (maxDelayMilliseconds - minDelayMilliseconds);
        return new Promise(resolve => this.clock.after(delay, resolve));
    }
}

class MemoryNetworkView extends Network {
    constructor(
        private readonly network: MemoryNetwork,
        private readonly address: string,
        private readonly isStopped: () => boolean,
    ) {
        super();
    }

    override link({ host, port }: { readonly host: string; readonly port: number; }): Link {
        return new MemoryLink(this.network, this.address, `${host}:${port}`, this.isStopped);
    }
}

class MemoryLink extends Link {
    private closed = false;

    constructor(
        private readonly network: MemoryNetwork,
        private readonly from: string,
        private readonly to: string,
        private readonly isStopped: () => boolean,
    ) {
        super();
    }

    override async request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        if (this.closed || this.isStopped()) {
            return Left({ kind: "closed", message: "the link is closed" });
        }
        return this.network.request(this.from, this.to, body, timeout);
    }

    override send(body: unknown): void {
        void this.request(body, Number.MAX_SAFE_INTEGER);
    }

    override close(): void {
        this.closed = true;
    }
}
