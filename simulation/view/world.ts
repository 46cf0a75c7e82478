/** Discrete-event simulation for random runs: one global time, processes with drifting clocks, and a lossy network. */
import { type Either, Left, Right } from "purify-ts";
import TinyQueue from "tinyqueue";
import { Link, type LinkFailure, Network } from "../../packages/basilpaddle/src/node/transport/index.js";
import { Clock, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

type Event = { readonly time: number; readonly order: number; readonly action: () => void; };

export class World {
    now = 0;
    /** Number of processed events. */
    steps = 0;
    /** Fraction of the messages that are lost. */
    lossFraction = 0;
    readonly randomness: SeededRandomness;
    private readonly cuts = new Map<string, number>();
    private readonly events = new TinyQueue<Event>([], (a, b) => a.time - b.time || a.order - b.order);
    private order = 0;

    constructor(seed: number) {
        this.randomness = SeededRandomness.create(seed);
    }

    at(time: number, action: () => void): void {
        this.events.push({ time: Math.max(time, this.now), order: this.order++, action });
    }

    /** Drops messages from one process to the other for `duration` milliseconds. */
    cut(from: string, to: string, duration: number): void {
        this.cuts.set(`${from}>${to}`, this.now + duration);
    }

    /** Delivers a message from one process to another after a random delay, unless it is lost. */
    deliver(from: Process, to: Process, action: () => void): void {
        const cut = (): boolean => (this.cuts.get(`${from.name}>${to.name}`) ?? 0) > this.now;
        if (cut() || this.randomness.fraction() < this.lossFraction) {
            return;
        }
        const delay = 0.5 + 4 * this.randomness.fraction() ** 4 * (this.randomness.fraction() < 0.05 ? 100 : 1);
        this.at(this.now + delay, () => {
            if (!cut()) {
                action();
            }
        });
    }

    /** Processes events until the given time; promises settle between two events. */
    async run(until: number): Promise<void> {
        for (let next = this.events.peek(); next !== undefined && next.time <= until; next = this.events.peek()) {
            this.events.pop();
            this.steps++;
            this.now = next.time;
            next.action();
            await drainMicrotasks();
        }
        this.now = until;
    }
}

/** Settles all promises that can: the longest chain of promises between two events is far shorter than the loop. */
async function drainMicrotasks(): Promise<void> {
    for (let turn = 0; turn < 12; turn++) {
        await Promise.resolve();
    }
}

/** A process that can crash, restart and freeze, and whose clock runs slightly fast or slow. */
export class Process extends Clock {
    alive = true;
    /** Number of restarts. */
    start = 0;
    private frozenUntil = 0;
    private deferred: (() => void)[] = [];

    constructor(readonly world: World, readonly name: string, private readonly rate: number) {
        super();
    }

    override monotonic(): number {
        return 1_000_000 + this.world.now * this.rate;
    }

    override wall(): number {
        return 0;
    }

    override after(milliseconds: number, callback: () => void): () => void {
        const { start } = this;
        let cancelled = false;
        this.world.at(this.world.now + milliseconds / this.rate, () => {
            this.runUnlessRestarted(start, () => cancelled || callback());
        });
        return () => cancelled = true;
    }

    isFrozen(): boolean {
        return this.world.now < this.frozenUntil;
    }

    /** Runs the action unless the process has crashed or restarted since the given start; defers it while frozen. */
    runUnlessRestarted(start: number, action: () => void): void {
        if (!this.alive || start !== this.start) {
            return;
        }
        if (this.isFrozen()) {
            this.deferred.push(() => this.runUnlessRestarted(start, action));
            return;
        }
        action();
    }

    freeze(duration: number): void {
        this.frozenUntil = Math.max(this.frozenUntil, this.world.now + duration);
        this.world.at(this.frozenUntil, () => {
            if (!this.isFrozen()) {
                const { deferred } = this;
                this.deferred = [];
                deferred.forEach(action => action());
            }
        });
    }

    crash(): void {
        this.alive = false;
        this.frozenUntil = 0;
        this.deferred = [];
    }

    restart(): void {
        this.alive = true;
        this.start++;
    }
}

/** A simulated process that answers requests over links. */
export type Server = { readonly process: Process; answer(body: unknown, reply: (answer: unknown) => void): void; };

export class FakeNetwork extends Network {
    constructor(private readonly client: Process, private readonly servers: readonly Server[]) {
        super();
    }

    /** The port is the index in the list of servers. */
    override link(address: { readonly port: number; }): Link {
        return new FakeLink(this.client, this.servers[address.port]!);
    }
}

class FakeLink extends Link {
    private readonly pending = new Set<(answer: Either<LinkFailure, unknown>) => void>();

    constructor(private readonly client: Process, private readonly server: Server) {
        super();
    }

    override request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        return new Promise(resolve => {
            const settle = (answer: Either<LinkFailure, unknown>): void => {
                this.pending.delete(settle);
                resolve(answer);
            };
            this.pending.add(settle);
            const fail = (kind: LinkFailure["kind"]) => (): void => settle(Left({ kind, message: kind }));
            const { process } = this.server;
            this.client.after(timeout, fail("timeout"));
            const back = (action: () => void): void => {
                const { start } = this.client;
                this.client.world.deliver(process, this.client, () => this.client.runUnlessRestarted(start, action));
            };
            this.client.world.deliver(this.client, process, () => {
                if (!process.alive) {
                    back(fail("refused"));
                    return;
                }
                const reply = (answer: unknown): void => back(() => settle(Right(answer)));
                process.runUnlessRestarted(process.start, () => this.server.answer(body, reply));
            });
        });
    }

    override send(body: unknown): void {
        void this.request(body, 1_000);
    }

    override close(): void {
        this.pending.forEach(settle => settle(Left({ kind: "closed", message: "closed" })));
    }
}
