import { Either, Left } from "purify-ts";
import type { Command, CommandResult } from "../../../protocol/index.js";
import { type Disk, MemoryDisk, StateMachine } from "../../../state/index.js";
import { Link, type LinkFailure } from "../../../transport/index.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../../utils/index.js";
import { AgreementReplica, type AgreementReplicaOptions, FixedPeers, initialiseDataFolder } from "../index.js";

/** Short timeouts, so that an election in a test takes a fraction of a second. */
export const shortTiming = { heartbeatInterval: 10, electionTimeout: 60, viewLease: 120, clockDrift: 0.02 };

/** A state machine that records the key of each applied command, or its kind if it has no key. */
export class KeyList extends StateMachine {
    keys: string[] = [];

    static create(): KeyList {
        return new KeyList();
    }

    override apply(index: number, command: Command): CommandResult {
        this.keys.push("key" in command ? command.key : command.kind);
        return { kind: "done", index };
    }

    override snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify(this.keys));
    }

    override restore(snapshot: Uint8Array): void {
        this.keys = JSON.parse(Buffer.from(snapshot).toString("utf8")) as string[];
    }
}

/** A command that isn't a view command, identified by its key. */
export function commandOf(key: string): Command {
    return { kind: "releaseRun", key, token: "token", at: 1 };
}

class GroupLink extends Link {
    private constructor(private readonly deliver: (body: unknown) => void) {
        super();
    }

    static create(deliver: (body: unknown) => void): GroupLink {
        return new GroupLink(deliver);
    }

    override async request(): Promise<Either<LinkFailure, unknown>> {
        return Left({ kind: "unreachable", message: "this link carries only messages" });
    }

    override send(body: unknown): void {
        setImmediate(() => this.deliver(body));
    }

    override close(): void {}
}

/** Replicas in one process, on in-memory disks by default, connected by links that can be cut. */
export class Group {
    readonly replicas = new Map<string, AgreementReplica>();
    readonly machines = new Map<string, KeyList>();
    readonly disks = new Map<string, Disk>();
    /** Directions of links that are cut, as `from>to`. */
    readonly cutLinks = new Set<string>();
    /** Keys that were proposed more than once because an election happened in between. */
    readonly resent = new Set<string>();

    private constructor(
        readonly names: readonly string[],
        private readonly overrides: (name: string) => Partial<AgreementReplicaOptions>,
    ) {}

    /** Initialises and starts all replicas. */
    static async create(
        names: readonly string[],
        overrides: Partial<AgreementReplicaOptions> | ((name: string) => Partial<AgreementReplicaOptions>) = {},
        makeDisk: (name: string) => Promise<Disk> = async () => MemoryDisk.create(),
    ): Promise<Group> {
        const group = new Group(names, typeof overrides === "function" ? overrides : () => overrides);
        for (const name of names) {
            const disk = await makeDisk(name);
            await initialiseDataFolder(disk, "test", name, names);
            group.disks.set(name, disk);
            await group.start(name);
        }
        return group;
    }

    /** Starts a replica on its current disk, or on another one. */
    async start(name: string, disk = this.disks.get(name)!): Promise<AgreementReplica> {
        this.disks.set(name, disk);
        const stateMachine = KeyList.create();
        const replica = await AgreementReplica.create({
            name,
            disk,
            peers: FixedPeers.create(
                new Map(this.names.filter(peer => peer !== name).map(peer => [peer, this.link(name, peer)])),
            ),
            stateMachine,
            timing: shortTiming,
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(this.names.indexOf(name) + 1),
            logger: createSilentLogger(),
            ...this.overrides(name),
        });
        this.replicas.set(name, replica);
        this.machines.set(name, stateMachine);
        return replica;
    }

    /** Stops a replica like a killed process. */
    async kill(name: string): Promise<void> {
        const replica = this.replicas.get(name)!;
        this.replicas.delete(name);
        await replica.stopWithoutHandover();
    }

    /** Disconnects or reconnects a replica and all others, in both directions. */
    isolate(name: string, cut: boolean): void {
        for (const peer of this.names.filter(other => other !== name)) {
            for (const direction of [`${name}>${peer}`, `${peer}>${name}`]) {
                if (cut) {
                    this.cutLinks.add(direction);
                }
                else {
                    this.cutLinks.delete(direction);
                }
            }
        }
    }

    /** The name of a leader that a quorum has confirmed, other than the given one. */
    async leader(except?: string): Promise<string> {
        return await pollUntilDefined("a leader", async () => {
            for (const [name, replica] of this.replicas) {
                if (name !== except && replica.currentStatus().leading && await replica.confirmLeadership(500)) {
                    return name;
                }
            }
            return undefined;
        });
    }

    /** Proposes a command to the leader until it is applied. With an undecided outcome it is resent, and may be applied twice. */
    async propose(key: string): Promise<void> {
        let tries = 0;
        await pollUntilDefined(`a result for ${key}`, async () => {
            tries += 1;
            if (tries > 1) {
                this.resent.add(key);
            }
            const proposal = await this.replicas.get(await this.leader())?.propose(commandOf(key), 1_000);
            return proposal?.kind === "result" ? true : undefined;
        });
    }

    /** The keys that a replica applied, without the repetitions that resending caused; any other repetition is kept. */
    keysAt(name: string): readonly string[] {
        const { keys } = this.machines.get(name)!;
        return keys.filter((key, position) => key !== keys[position - 1] || !this.resent.has(key));
    }

    async close(): Promise<void> {
        await Promise.all([...this.replicas.values()].map(replica => replica.stopWithoutHandover()));
    }

    private link(from: string, to: string): Link {
        return GroupLink.create(body => {
            if (!this.cutLinks.has(`${from}>${to}`)) {
                const { from: identity, message } = body as { from: string; message: unknown; };
                this.replicas.get(to)?.receive(identity, message);
            }
        });
    }
}

/** Polls until a value is defined and returns it. @throws Error after 20 seconds, with the description of the value */
export async function pollUntilDefined<Value>(
    description: string,
    poll: () => Promise<Value | undefined>,
): Promise<Value> {
    const end = performance.now() + 20_000;
    while (performance.now() < end) {
        const value = await poll();
        if (value !== undefined) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    throw new Error(`Timed out after 20 seconds waiting for: ${description}`);
}
