import type {
    AgreementEvent,
    Effect,
    LogRecord,
} from "../../packages/basilpaddle/src/node/coordination/agreement/effect.js";
import type { Membership } from "../../packages/basilpaddle/src/node/coordination/agreement/entry.js";
import { AgreementState } from "../../packages/basilpaddle/src/node/coordination/agreement/state.js";
import { step } from "../../packages/basilpaddle/src/node/coordination/agreement/step.js";
import { recover } from "../../packages/basilpaddle/src/node/coordination/agreement/storage.js";
import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { assertInvariant, type DurableState, type InvariantChecker, nextDigest } from "./checks.js";

/** The default timing of a deployment. */
export const timing = { heartbeatInterval: 100, electionTimeout: 600, viewLease: 1_500, clockDrift: 0.02 };
/** Few entries between snapshots and small chunks, so that snapshots and their transfer in chunks are exercised often. */
const compactAfterEntries = 25;
const entriesKeptAfterCompaction = 8;
const chunkBytes = 40;
/** One entry for each message, so that entries of two terms seldom share one and one of them can be missing. */
const batchEntries = 1;

type Write = Extract<Effect, { kind: "write" | "save"; }>;
/** One start of a replica. */
export type Process = {
    readonly state: AgreementState;
    readonly startedAt: number;
    applied: number;
    digest: string;
    readonly confirmations: Map<number, { readonly term: number; readonly askedAt: number; }>;
};
/** The simulated clock, network and disk that a host uses. */
export type HostEnvironment = {
    readonly now: () => number;
    readonly send: (from: Host, to: string, message: Extract<Effect, { kind: "send"; }>["message"]) => void;
    readonly onWriteRequested: (host: Host, process: Process, write: Write) => void;
};

/** A host with its disk, and a process while it runs. */
export class Host {
    process: Process | undefined;
    identity: string;
    durable: DurableState;
    /** The disk that was replaced, which can be reattached. */
    detachedDisk: { readonly identity: string; readonly durable: DurableState; } | undefined;
    /** Writes that aren't on disk yet, in order. */
    pending: Write[] = [];
    frozenUntil = 0;
    diskIdleAt = 0;
    slowDiskUntil = 0;
    /** Offset of its monotonic clock, which starts at a random value. */
    private readonly clockOffset: number;

    private constructor(
        readonly name: string,
        private readonly names: readonly string[],
        private readonly checks: InvariantChecker,
        private readonly randomness: Randomness,
        private readonly environment: HostEnvironment,
    ) {
        this.identity = `${name}#test`;
        this.durable = emptyDisk(this.identity, { voters: names.map(other => `${other}#test`), learners: [] });
        this.clockOffset = randomness.integer(0, 1_000_000);
    }

    static create(
        name: string,
        names: readonly string[],
        checks: InvariantChecker,
        randomness: Randomness,
        surroundings: HostEnvironment,
    ): Host {
        return new Host(name, names, checks, randomness, surroundings);
    }

    start(): void {
        const records = this.durable.records.map((record, offset) => ({ offset, record }));
        const recovered = recover(records, this.durable.snapshot, this.identity);
        const { randomness, identity, names } = this;
        const peers = (): string[] => names.filter(other => other !== this.name);
        const options = { identity, peers, timing, randomness, chunkBytes, batchEntries };
        const state = AgreementState.create(options, recovered, this.clock());
        const restoredDigest = recovered.snapshot === undefined ? "" : digestOf(recovered.snapshot.data);
        this.process = {
            state,
            startedAt: this.environment.now(),
            applied: state.committed,
            digest: restoredDigest,
            confirmations: new Map(),
        };
    }

    /** Ends the process. A random prefix of the pending writes reaches the disk, and the next one possibly in part. */
    kill(): void {
        this.process = undefined;
        const completed = this.pending.splice(0, this.randomness.integer(0, this.pending.length));
        completed.forEach(write => this.store(write));
        const [partialWrite] = this.pending;
        if (partialWrite?.kind === "write") {
            this.store({
                ...partialWrite,
                records: partialWrite.records.slice(0, this.randomness.integer(0, partialWrite.records.length)),
            });
        }
        else if (partialWrite?.kind === "save" && this.randomness.integer(0, 1) === 1) {
            this.durable.snapshot = partialWrite.snapshot;
        }
        this.pending = [];
        this.diskIdleAt = 0;
    }

    /** Ends the process and replaces the disk by an empty one, so that the next start has a new identity. */
    loseDisk(): void {
        this.kill();
        this.detachedDisk = { identity: this.identity, durable: this.durable };
        this.identity = `${this.name}#${this.randomness.identifier()}`;
        this.durable = emptyDisk(this.identity, { voters: [], learners: [] });
    }

    /** Ends the process and swaps the disk for the one that was replaced before, which has its own identity. */
    reattachDisk(): void {
        this.kill();
        const { identity, durable } = this;
        this.identity = this.detachedDisk!.identity;
        this.durable = this.detachedDisk!.durable;
        this.detachedDisk = { identity, durable };
    }

    /** Stores the oldest pending write and returns it. */
    completeWrite(): Write {
        const write = this.pending.shift()!;
        this.store(write);
        return write;
    }

    handle(event: AgreementEvent): void {
        const process = this.process!;
        step(process.state, event, this.clock()).forEach(effect => this.executeEffect(process, effect));
        if (process.applied - (process.state.snapshot?.description.index ?? 0) >= compactAfterEntries) {
            const data = Buffer.from(process.digest, "hex");
            this.handle({ kind: "compact", index: process.applied, data, keep: entriesKeptAfterCompaction });
        }
    }

    /** The current time of this host's clock. */
    clock(): number {
        return this.environment.now() + this.clockOffset;
    }

    /** Converts a time of this host's clock to simulated time. */
    simulatedTime(clock: number): number {
        return clock - this.clockOffset;
    }

    private executeEffect(process: Process, effect: Effect): void {
        switch (effect.kind) {
            case "write":
            case "save":
                this.pending.push(effect);
                this.environment.onWriteRequested(this, process, effect);
                return;
            case "restore":
                assertInvariant(
                    effect.snapshot.description.index > process.applied,
                    "a snapshot isn't newer than the applied state",
                );
                process.applied = effect.snapshot.description.index;
                process.digest = digestOf(effect.snapshot.data);
                this.checks.digest(process.applied, process.digest);
                return;
            case "send":
                this.check(process, effect);
                this.environment.send(this, effect.to, effect.message);
                return;
            case "apply":
                for (const entry of effect.entries) {
                    this.checks.applied(entry, process.applied);
                    process.applied = entry.index;
                    process.digest = nextDigest(process.digest, entry);
                    this.checks.digest(process.applied, process.digest);
                }
                return;
            case "leadership":
                if (effect.leading) {
                    this.checks.becameLeader(this.identity, process.state.term, this.environment.now());
                }
                return;
            case "confirmed": {
                const asked = process.confirmations.get(effect.token)!;
                if (effect.stillLeading) {
                    this.checks.confirmed(asked.term, asked.askedAt);
                }
                return;
            }
            case "proposed":
            case "refused":
                return;
        }
    }

    private check(process: Process, effect: Extract<Effect, { kind: "send"; }>): void {
        this.checks.sent(this.identity, effect.to, effect.message, this.durable);
        const age = this.environment.now() - process.startedAt;
        assertInvariant(age >= 2 * timing.electionTimeout, `${this.identity} sends messages ${age} ms after its start`);
    }

    private store(write: Write): void {
        if (write.kind === "write") {
            this.durable.records.push(...write.records);
            return;
        }
        this.durable = { records: [...write.records], snapshot: write.snapshot };
    }
}

function emptyDisk(owner: string, membership: Membership): DurableState {
    const records: LogRecord[] = [{ kind: "base", owner, base: { index: 0, term: 0, membership, view: 0 } }];
    return { records, snapshot: undefined };
}

function digestOf(snapshot: Uint8Array): string {
    return Buffer.from(snapshot).toString("hex");
}
