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
import { type Checks, type Durable, hold, nextDigest } from "./checks.js";

/** The default times of a deployment. */
export const timing = { heartbeatInterval: 100, electionTimeout: 600, viewLease: 1_500, clockDrift: 0.02 };
/** Few entries between snapshots and small chunks, so that both are met often. */
const compactAfter = 25;
const entriesKept = 8;
const chunkBytes = 40;
/** Entries of two terms seldom come in one message, so that one of them can be missing. */
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
/** What a host asks of the world around it. */
export type Surroundings = {
    readonly now: () => number;
    readonly send: (from: Host, to: string, message: Extract<Effect, { kind: "send"; }>["message"]) => void;
    readonly written: (host: Host, process: Process, write: Write) => void;
};

/** A host with its disk, and at times a process. */
export class Host {
    process: Process | undefined;
    identity: string;
    durable: Durable;
    /** A disk that was lost. */
    away: { readonly identity: string; readonly durable: Durable; } | undefined;
    /** Writes on their way to the disk. */
    pending: Write[] = [];
    frozenUntil = 0;
    diskFreeAt = 0;
    slowDiskUntil = 0;
    /** Its own monotonic clock starts anywhere. */
    private readonly clockOffset: number;

    private constructor(
        readonly name: string,
        private readonly names: readonly string[],
        private readonly checks: Checks,
        private readonly randomness: Randomness,
        private readonly surroundings: Surroundings,
    ) {
        this.identity = `${name}#test`;
        this.durable = emptyDisk(this.identity, { voters: names.map(other => `${other}#test`), learners: [] });
        this.clockOffset = randomness.integer(0, 1_000_000);
    }

    static create(
        name: string,
        names: readonly string[],
        checks: Checks,
        randomness: Randomness,
        surroundings: Surroundings,
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
        const restored = recovered.snapshot === undefined ? "" : digestOf(recovered.snapshot.data);
        this.process = {
            state,
            startedAt: this.surroundings.now(),
            applied: state.committed,
            digest: restored,
            confirmations: new Map(),
        };
    }

    /** Ends the process. Of what was on its way to the disk, any part of the front may have got there. */
    kill(): void {
        this.process = undefined;
        const arrived = this.pending.splice(0, this.randomness.integer(0, this.pending.length));
        arrived.forEach(write => this.store(write));
        const [torn] = this.pending;
        if (torn?.kind === "write") {
            this.store({ ...torn, records: torn.records.slice(0, this.randomness.integer(0, torn.records.length)) });
        }
        else if (torn?.kind === "save" && this.randomness.integer(0, 1) === 1) {
            this.durable.snapshot = torn.snapshot;
        }
        this.pending = [];
        this.diskFreeAt = 0;
    }

    /** Ends the process, and its disk comes back empty: the next start has another identity. */
    loseDisk(): void {
        this.kill();
        this.away = { identity: this.identity, durable: this.durable };
        this.identity = `${this.name}#${this.randomness.identifier()}`;
        this.durable = emptyDisk(this.identity, { voters: [], learners: [] });
    }

    /** The disk that was lost before comes back, with the identity on it; the present one goes. */
    bringBackDisk(): void {
        this.kill();
        const { identity, durable } = this;
        this.identity = this.away!.identity;
        this.durable = this.away!.durable;
        this.away = { identity, durable };
    }

    /** The first write on its way to the disk has got there. */
    writeArrived(): Write {
        const write = this.pending.shift()!;
        this.store(write);
        return write;
    }

    handle(event: AgreementEvent): void {
        const process = this.process!;
        step(process.state, event, this.clock()).forEach(effect => this.carryOut(process, effect));
        if (process.applied - (process.state.snapshot?.description.index ?? 0) >= compactAfter) {
            const data = Buffer.from(process.digest, "hex");
            this.handle({ kind: "compact", index: process.applied, data, keep: entriesKept });
        }
    }

    /** This host's clock at a time of the world. */
    clock(): number {
        return this.surroundings.now() + this.clockOffset;
    }

    /** The time of the world at a time of this host's clock. */
    worldTime(clock: number): number {
        return clock - this.clockOffset;
    }

    private carryOut(process: Process, effect: Effect): void {
        switch (effect.kind) {
            case "write":
            case "save":
                this.pending.push(effect);
                this.surroundings.written(this, process, effect);
                return;
            case "restore":
                hold(effect.snapshot.description.index > process.applied, "a snapshot led back");
                process.applied = effect.snapshot.description.index;
                process.digest = digestOf(effect.snapshot.data);
                this.checks.digest(process.applied, process.digest);
                return;
            case "send":
                this.check(process, effect);
                this.surroundings.send(this, effect.to, effect.message);
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
                    this.checks.leads(this.identity, process.state.term, this.surroundings.now());
                }
                return;
            case "confirmed": {
                const asked = process.confirmations.get(effect.token)!;
                if (effect.held) {
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
        const age = this.surroundings.now() - process.startedAt;
        hold(age >= 2 * timing.electionTimeout, `${this.identity} takes part ${age} ms after its start`);
    }

    private store(write: Write): void {
        if (write.kind === "write") {
            this.durable.records.push(...write.records);
            return;
        }
        this.durable = { records: [...write.records], snapshot: write.snapshot };
    }
}

function emptyDisk(owner: string, membership: Membership): Durable {
    const records: LogRecord[] = [{ kind: "base", owner, base: { index: 0, term: 0, membership, view: 0 } }];
    return { records, snapshot: undefined };
}

function digestOf(snapshot: Uint8Array): string {
    return Buffer.from(snapshot).toString("hex");
}
