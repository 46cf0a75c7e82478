import { encode } from "cbor-x";
import type { Either } from "purify-ts";
import { Link, type LinkFailure } from "../../packages/basilpaddle/src/node/transport/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { MemoryNetwork } from "../departures/memoryNetwork.js";
import { ManualClock } from "../manualClock.js";
import type { VersionDay } from "./day.js";

/** An emulated process: a gateway or a directory. Its state is lost when it is killed. */
export type EmulatedProcess = { readonly address: string; isRunning: boolean; lives: number; };

/** Counts of what one way to know versions costs. */
export type Costs = { messages: number; bytes: number; };

/** The processes of a day, and the network between them. */
export class World {
    readonly clock = new ManualClock();
    readonly random: SeededRandomness;
    readonly gateways: readonly EmulatedProcess[];
    readonly directories: readonly EmulatedProcess[];
    /** The directory that leads; undefined during an election. */
    leader: EmulatedProcess | undefined;
    readonly costs: Costs = { messages: 0, bytes: 0 };
    private readonly network: MemoryNetwork;
    /** Software versions of the engines that each process knows as present. */
    private readonly served = new Map<EmulatedProcess, Set<string>>();
    /** Processes on the other side of a split, and since when there is one. */
    private otherSide: ReadonlySet<string> = new Set();
    private splitSince = 0;

    private constructor(day: VersionDay, seed: number) {
        this.random = SeededRandomness.create(seed);
        this.network = MemoryNetwork.create(this.clock, this.random);
        const processes = (count: number, subnet: number): EmulatedProcess[] => {
            return Array.from({ length: count }, (_, number) => {
                return { address: `10.0.${subnet}.${number}:7000`, isRunning: true, lives: 1 };
            });
        };
        this.directories = processes(day.directories, 0);
        this.gateways = processes(day.gateways, 1);
        this.leader = this.directories[0];
        this.processes.forEach(process => this.served.set(process, new Set(day.versions)));
        this.network.separate((from, to) => this.otherSide.has(from) !== this.otherSide.has(to));
    }

    static create(day: VersionDay, seed: number): World {
        return new World(day, seed);
    }

    /** Starts to handle messages at a process, while it runs. */
    listen(process: EmulatedProcess, handler: (body: unknown) => unknown): void {
        this.network.listen(process.address, body => {
            return process.isRunning ? Promise.resolve(handler(body)) : new Promise(() => undefined);
        });
    }

    /** The link from one process to another; its messages are counted. */
    link(from: EmulatedProcess, to: EmulatedProcess): Link {
        const link = this.network.viewOf(from.address, () => !from.isRunning).link(hostAndPort(to.address));
        return new CountedLink(link, this.costs);
    }

    /** Gateways and directories. */
    get processes(): readonly EmulatedProcess[] {
        return [...this.gateways, ...this.directories];
    }

    /** Splits these processes from the others, and ends any split before. */
    split(processes: readonly EmulatedProcess[]): void {
        this.otherSide = new Set(processes.map(({ address }) => address));
        this.splitSince = this.now();
    }

    /** Ends a split. */
    heal(): void {
        this.otherSide = new Set();
    }

    /** Milliseconds for which two processes have been split from each other; undefined if they aren't. */
    splitFor(one: EmulatedProcess, other: EmulatedProcess): number | undefined {
        return this.otherSide.has(one.address) === this.otherSide.has(other.address)
            ? undefined
            : this.now() - this.splitSince;
    }

    /** Software versions of the engines that a process knows as present. */
    versionsAt(process: EmulatedProcess): readonly string[] {
        return [...this.served.get(process) ?? []];
    }

    /** Lets processes know an engine of a version. */
    join(version: string, processes: readonly EmulatedProcess[]): void {
        processes.forEach(process => this.served.get(process)!.add(version));
    }

    /** Lets processes know that the last engine of a version has left. */
    leave(version: string, processes: readonly EmulatedProcess[]): void {
        processes.forEach(process => this.served.get(process)!.delete(version));
    }

    /** A random one of these; undefined if there is none. */
    pick<T>(all: readonly T[]): T | undefined {
        return all.length === 0 ? undefined : all[this.random.integer(0, all.length - 1)];
    }

    now(): number {
        return this.clock.monotonic();
    }
}

class CountedLink extends Link {
    constructor(private readonly link: Link, private readonly costs: Costs) {
        super();
    }

    override request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        this.costs.messages += 1;
        this.costs.bytes += encode(body).length;
        return this.link.request(body, timeout);
    }

    override send(body: unknown): void {
        this.costs.messages += 1;
        this.costs.bytes += encode(body).length;
        this.link.send(body);
    }

    override close(): void {
        this.link.close();
    }
}

function hostAndPort(address: string): { host: string; port: number; } {
    const [host = "", port] = address.split(":");
    return { host, port: Number(port) };
}
