import type { Timing } from "../../protocol/index.js";
import { Invariant } from "../../state/index.js";
import type { Randomness } from "../../utils/index.js";
import type { Effect, LogRecord } from "./effect.js";
import type { Entry, Snapshot, SnapshotDescription } from "./entry.js";
import { EntryLog } from "./entryLog.js";
import type { Message } from "./message.js";
import { firstRole, nextRole, type Role, type RoleChange } from "./role.js";

/** What a leader knows of one other member. */
export type Progress = {
    /** Index of the next entry to send. */
    next: number;
    /** The member's log agrees, and is synced, up to here. */
    matched: number;
    /** Where its log agrees is being looked for: one question at a time. */
    probing: boolean;
    /** Messages with entries sent and not yet answered. */
    inFlight: number;
    answeredRound: number;
    /** When the newest question that it answered was sent. */
    contactAt: number;
    /** The snapshot on its way to the member. */
    transfer: { readonly snapshot: Snapshot; offset: number; } | undefined;
};

/** What a replica holds only while it leads. */
export type Leadership = {
    readonly since: number;
    /** Index of the entry that opened the term. */
    readonly firstIndex: number;
    round: number;
    heartbeatAt: number;
    readonly progress: Map<string, Progress>;
    /** Questions for the leadership that wait for their round. */
    confirmations: { readonly token: number; readonly round: number; }[];
    /** Identities that asked to be taken in. */
    readonly joining: Set<string>;
    /** Since when this leader knows that nothing is under way in the set of voters; undefined while something is. */
    votersRestSince: number | undefined;
    /** Until when leadership is being handed over; nothing new is taken meanwhile. */
    handOverUntil: number | undefined;
};

/** A snapshot that is coming in. */
export type Incoming = {
    readonly index: number;
    readonly term: number;
    readonly chunks: Uint8Array[];
    offset: number;
};

/** The timing that the agreement goes by. */
export type AgreementTiming = Pick<Timing, "heartbeatInterval" | "electionTimeout" | "viewLease" | "clockDrift">;

/** How a group whose members aren't listed anywhere mends itself. */
export type OpenGroup = {
    /** Voters that the group grows to; members beyond stand by as learners. */
    readonly voters: number;
    /** Milliseconds of silence after which a member that stands by takes a voter's place, or a silent learner is dropped. */
    readonly replaceAfter: number;
};

/** What a replica is made from. */
export type AgreementOptions = {
    readonly identity: string;
    /** Names of the other control daemons that are known from the start; asked anew each time. */
    readonly peers: () => readonly string[];
    /** How a group takes in daemons that no settings file names; left out where the settings list the whole group. */
    readonly open?: OpenGroup | undefined;
    /** Milliseconds after a start in which the replica takes no part. @default twice the election timeout */
    readonly silence?: number | undefined;
    /**
     * Most milliseconds after that time until it first stands for election, where it hears of no leader. A trial vote
     * comes first, so a leader that others follow isn't disturbed. @default one to two election timeouts
     */
    readonly firstElection?: number | undefined;
    readonly timing: AgreementTiming;
    readonly randomness: Randomness;
    /** Bytes of a snapshot in one message. @default 262144 */
    readonly chunkBytes?: number;
    /** Most entries in one message. @default 1024 */
    readonly batchEntries?: number;
};

/** What came back from the disk. */
export type Recovered = {
    readonly term: number;
    readonly vote: string | undefined;
    readonly log: EntryLog;
    readonly snapshot: Snapshot | undefined;
    /** An entry that was known to be committed before the restart; anything else than the log's own entry is passed over. */
    readonly committed?: CommittedMark | undefined;
};

/** An entry that is known to be committed. */
export type CommittedMark = { readonly index: number; readonly term: number; };

/**
 * The state of one replica. A step changes it in place, since copying a log of thousands of entries with each message
 * would cost too much; nothing but `step` touches it, and a step reads no clock and does no input or output.
 */
export class AgreementState {
    role: Role = firstRole;
    term: number;
    vote: string | undefined;
    leader: string | undefined;
    log: EntryLog;
    snapshot: Snapshot | undefined;
    committed: number;
    /** What the snapshot holds of the log at the start. */
    private readonly restored: number;
    now: number;
    /** End of the time after the start in which the replica takes no part. */
    readonly silentUntil: number;
    electionAt = Number.POSITIVE_INFINITY;
    joinAt: number;
    /** Names of members that this replica was told of while it looked for a place in the group. */
    readonly contacts = new Set<string>();
    /** When a leader of this term was last heard of. */
    heardAt = Number.NEGATIVE_INFINITY;
    votes = new Set<string>();
    leadership: Leadership | undefined;
    incoming: Incoming | undefined;

    /** Last write that was asked for, and last one that is known to be synced. */
    lastWrite = 0;
    syncedWrite = 0;
    /** The log is synced up to here. */
    syncedIndex: number;
    private unsynced: { readonly write: number; upTo: number; }[] = [];

    private effects: Effect[] = [];
    private records: LogRecord[] = [];
    private saving: Snapshot | undefined;
    private held: { readonly write: number; readonly to: string; readonly message: Message; }[] = [];
    private answers: { readonly to: string; readonly message: Message; }[] = [];

    private constructor(readonly options: AgreementOptions, recovered: Recovered, now: number) {
        this.term = recovered.term;
        this.vote = recovered.vote;
        this.log = recovered.log;
        this.snapshot = recovered.snapshot;
        this.restored = Math.max(recovered.snapshot?.description.index ?? 0, recovered.log.base.index);
        this.committed = Math.max(this.restored, committedIndex(recovered));
        this.syncedIndex = recovered.log.lastIndex;
        this.now = now;
        this.silentUntil = now + (options.silence ?? 2 * options.timing.electionTimeout);
        this.joinAt = this.silentUntil;
    }

    static create(options: AgreementOptions, recovered: Recovered, now: number): AgreementState {
        return new AgreementState(options, recovered, now);
    }

    /** Entries beyond the snapshot that were known to be committed at the start. */
    recoveredEntries(): Entry[] {
        return this.log.range(this.restored + 1, this.committed);
    }

    get self(): string {
        return this.options.identity;
    }

    get timeout(): number {
        return this.options.timing.electionTimeout;
    }

    /** Whether the replica is a voter of the newest membership in its log. */
    isVoter(): boolean {
        return this.log.membership.voters.includes(this.self);
    }

    /** All voters and learners but this one. */
    others(): string[] {
        const { voters, learners } = this.log.membership;
        return [...voters, ...learners].filter(identity => identity !== this.self);
    }

    changeRole(change: RoleChange): void {
        this.role = nextRole(this.role, change);
    }

    effect(effect: Effect): void {
        this.effects.push(effect);
    }

    /** Sends something that promises nothing about what this replica holds. */
    send(to: string, message: Message): void {
        this.effects.push({ kind: "send", to, message });
    }

    /** Sends something that must not leave before everything written so far is synced. */
    sendSynced(to: string, message: Message): void {
        this.answers.push({ to, message });
    }

    /** Writes down term and vote: a voter that forgot them in a crash could vote twice in one term. */
    recordBallot(): void {
        this.records.push({ kind: "ballot", term: this.term, vote: this.vote });
    }

    appendEntry(entry: Entry): void {
        this.log.append(entry);
        this.records.push({ kind: "entry", entry });
    }

    truncate(from: number): void {
        Invariant.hold(from > this.committed, "a committed entry is never dropped");
        this.log.truncate(from);
        this.syncedIndex = Math.min(this.syncedIndex, from - 1);
        this.unsynced.forEach(write => {
            write.upTo = Math.min(write.upTo, from - 1);
        });
    }

    /** Takes a snapshot's place in the log over; entries after it stay where the log agrees with it. */
    replaceLog(base: SnapshotDescription): void {
        Invariant.hold(base.index > this.committed, "a snapshot never leads back");
        this.committed = base.index;
        if (this.log.termAt(base.index) === base.term) {
            this.log.compact(base.index);
            return;
        }
        this.log = EntryLog.create(base);
        // Acknowledgements that still wait speak of the old log; the snapshot's own one says more than they do.
        this.held = this.held.filter(held => held.message.kind !== "appended");
        this.syncedIndex = 0;
        this.unsynced.forEach(write => {
            write.upTo = 0;
        });
    }

    commit(index: number): void {
        if (index <= this.committed) {
            return;
        }
        Invariant.hold(index <= this.log.lastIndex, "only what is in the log is committed");
        const entries = this.log.range(this.committed + 1, index);
        this.committed = index;
        this.effects.push({ kind: "apply", entries });
    }

    /** Puts the snapshot and the whole log down anew at the end of this step. */
    save(snapshot: Snapshot): void {
        this.snapshot = snapshot;
        this.saving = snapshot;
    }

    synced(write: number): void {
        this.syncedWrite = Math.max(this.syncedWrite, write);
        while (this.unsynced.length > 0 && this.unsynced[0]!.write <= write) {
            this.syncedIndex = Math.max(this.syncedIndex, this.unsynced.shift()!.upTo);
        }
        const ready = this.held.filter(held => held.write <= this.syncedWrite);
        this.held = this.held.filter(held => held.write > this.syncedWrite);
        ready.forEach(held => this.release(held.to, held.message));
    }

    /** Ends a step: what it did to the log becomes writes, and answers wait for them. */
    finish(): Effect[] {
        this.flushWrites();
        for (const { to, message } of this.answers) {
            if (this.lastWrite <= this.syncedWrite) {
                this.release(to, message);
            }
            else {
                this.held.push({ write: this.lastWrite, to, message });
            }
        }
        this.answers = [];
        const effects = this.effects;
        this.effects = [];
        return effects;
    }

    private flushWrites(): void {
        if (this.saving !== undefined) {
            this.noteWrite();
            this.effects.push({
                kind: "save",
                write: this.lastWrite,
                snapshot: this.saving,
                records: this.allRecords(),
            });
            this.saving = undefined;
            this.records = [];
        }
        if (this.records.length > 0) {
            this.noteWrite();
            this.effects.push({ kind: "write", write: this.lastWrite, records: this.records });
            this.records = [];
        }
    }

    private noteWrite(): void {
        this.lastWrite += 1;
        this.unsynced.push({ write: this.lastWrite, upTo: this.log.lastIndex });
    }

    private allRecords(): LogRecord[] {
        const { base, lastIndex } = this.log;
        return [
            { kind: "base", owner: this.self, base },
            { kind: "ballot", term: this.term, vote: this.vote },
            ...this.log.range(base.index + 1, lastIndex).map(entry => ({ kind: "entry" as const, entry })),
        ];
    }

    private release(to: string, message: Message): void {
        Invariant.hold(
            message.kind !== "appended" || message.term < this.term || message.matched <= this.syncedIndex,
            "only what is synced is acknowledged",
        );
        this.effects.push({ kind: "send", to, message });
    }
}

/** Index up to which the log is known to be committed by a mark; 0 without one, or where the log holds another entry there. */
function committedIndex({ log, committed }: Recovered): number {
    const holds = committed !== undefined && committed.index <= log.lastIndex
        && log.termAt(committed.index) === committed.term;
    return holds ? committed.index : 0;
}
