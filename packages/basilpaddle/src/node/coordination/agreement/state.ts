import type { Timing } from "../../protocol/index.js";
import { Invariant } from "../../state/index.js";
import type { Randomness } from "../../utils/index.js";
import type { Effect, LogRecord } from "./effect.js";
import type { Entry, Snapshot, SnapshotDescription } from "./entry.js";
import { EntryLog } from "./entryLog.js";
import type { Message } from "./message.js";
import { initialRole, nextRole, type Role, type RoleChange } from "./role.js";

/** What a leader knows of the log of one other member. */
export type Progress = {
    /** Index of the next entry to send. */
    next: number;
    /** The member's log matches the leader's and is synced up to this index. */
    matched: number;
    /** Whether the last position at which its log matches is still being searched for, with one message at a time. */
    probing: boolean;
    /** Number of messages with entries that were sent and not yet answered. */
    inFlight: number;
    answeredRound: number;
    /** Send time of the latest message that it answered. */
    contactAt: number;
    /** The snapshot that is being sent to the member. */
    transfer: { readonly snapshot: Snapshot; offset: number; } | undefined;
};

/** State that a replica has only while it leads. */
export type Leadership = {
    readonly since: number;
    /** Index of the first entry of the term. */
    readonly firstIndex: number;
    round: number;
    heartbeatAt: number;
    readonly progress: Map<string, Progress>;
    /** Confirmations of leadership that wait until a quorum has answered their round. */
    confirmations: { readonly token: number; readonly round: number; }[];
    /** Identities that sent a join request. */
    readonly joinRequests: Set<string>;
    /** Time from which this leader knows that no change of the voters is in progress; undefined while one is. */
    votersUnchangedSince: number | undefined;
    /** End of a handover of leadership, during which no proposals are accepted; undefined outside a handover. */
    handOverUntil: number | undefined;
};

/** A snapshot that is being received. */
export type IncomingSnapshot = {
    readonly index: number;
    readonly term: number;
    readonly chunks: Uint8Array[];
    offset: number;
};

/** The timing settings that the agreement protocol uses. */
export type AgreementTiming = Pick<Timing, "heartbeatInterval" | "electionTimeout" | "viewLease" | "clockDrift">;

/** How a group whose members aren't listed in any settings file replaces lost members. */
export type OpenGroupOptions = {
    /** Number of voters that the group grows to; further members remain learners on standby. */
    readonly voters: number;
    /** Milliseconds of silence after which a standby learner replaces a voter; a silent learner is removed later. */
    readonly replaceAfter: number;
};

/** Options of `AgreementState`. */
export type AgreementOptions = {
    readonly identity: string;
    /** Names of the other control daemons that are known at startup; called each time they are needed. */
    readonly peers: () => readonly string[];
    /** How a group adds daemons that no settings file lists; undefined if the settings list the whole group. */
    readonly open?: OpenGroupOptions | undefined;
    /** Milliseconds after a start in which the replica takes no part in the protocol. @default twice the election timeout */
    readonly silence?: number | undefined;
    /**
     * Maximum milliseconds from the end of that time to the first election, if no leader contacts it. The election begins
     * with a pre-vote, so a leader that others follow isn't disturbed. @default one to two election timeouts
     */
    readonly firstElection?: number | undefined;
    readonly timing: AgreementTiming;
    readonly randomness: Randomness;
    /** Maximum bytes of a snapshot in one message. @default 262144 */
    readonly chunkBytes?: number;
    /** Maximum number of entries in one message. @default 1024 */
    readonly batchEntries?: number;
};

/** The state read back from the disk. */
export type Recovered = {
    readonly term: number;
    readonly vote: string | undefined;
    readonly log: EntryLog;
    readonly snapshot: Snapshot | undefined;
    /** An entry that was known to be committed before the restart; ignored if the log doesn't contain this entry. */
    readonly committed?: CommittedPosition | undefined;
};

/** The position of an entry that is known to be committed. */
export type CommittedPosition = { readonly index: number; readonly term: number; };

/**
 * The state of one replica. `step` changes it in place, since copying a log of thousands of entries for each message
 * would cost too much. Nothing else modifies it, and `step` reads no clock and does no input or output.
 */
export class AgreementState {
    role: Role = initialRole;
    term: number;
    vote: string | undefined;
    leader: string | undefined;
    log: EntryLog;
    snapshot: Snapshot | undefined;
    committed: number;
    /** Index up to which the state machine was restored from the snapshot at startup. */
    private readonly recoveredSnapshotIndex: number;
    now: number;
    /** End of the time after the start in which the replica takes no part in the protocol. */
    readonly silentUntil: number;
    electionAt = Number.POSITIVE_INFINITY;
    nextJoinAt: number;
    /** Names of leaders that were received in reply to join requests. */
    readonly knownLeaderNames = new Set<string>();
    /** When a message from the leader of this term was last received. */
    leaderContactAt = Number.NEGATIVE_INFINITY;
    votes = new Set<string>();
    leadership: Leadership | undefined;
    incomingSnapshot: IncomingSnapshot | undefined;

    /** Number of the last write requested, and of the last one known to be synced. */
    lastWrite = 0;
    syncedWrite = 0;
    /** The log is synced up to this index. */
    syncedIndex: number;
    private unsyncedWrites: { readonly write: number; upTo: number; }[] = [];

    private effects: Effect[] = [];
    private records: LogRecord[] = [];
    private snapshotToSave: Snapshot | undefined;
    private awaitingSync: { readonly write: number; readonly to: string; readonly message: Message; }[] = [];
    private messagesAfterSync: { readonly to: string; readonly message: Message; }[] = [];

    private constructor(readonly options: AgreementOptions, recovered: Recovered, now: number) {
        this.term = recovered.term;
        this.vote = recovered.vote;
        this.log = recovered.log;
        this.snapshot = recovered.snapshot;
        this.recoveredSnapshotIndex = Math.max(recovered.snapshot?.description.index ?? 0, recovered.log.base.index);
        this.committed = Math.max(this.recoveredSnapshotIndex, recoveredCommittedIndex(recovered));
        this.syncedIndex = recovered.log.lastIndex;
        this.now = now;
        this.silentUntil = now + (options.silence ?? 2 * options.timing.electionTimeout);
        this.nextJoinAt = this.silentUntil;
    }

    static create(options: AgreementOptions, recovered: Recovered, now: number): AgreementState {
        return new AgreementState(options, recovered, now);
    }

    /** Entries after the snapshot that were known to be committed at startup. */
    recoveredEntries(): Entry[] {
        return this.log.range(this.recoveredSnapshotIndex + 1, this.committed);
    }

    get self(): string {
        return this.options.identity;
    }

    get electionTimeout(): number {
        return this.options.timing.electionTimeout;
    }

    /** Whether the replica is a voter of the latest membership in its log. */
    isVoter(): boolean {
        return this.log.membership.voters.includes(this.self);
    }

    /** All voters and learners except this replica. */
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

    /** Sends a message that doesn't depend on what this replica has synced. */
    send(to: string, message: Message): void {
        this.effects.push({ kind: "send", to, message });
    }

    /** Sends a message once everything written so far is synced. */
    sendSynced(to: string, message: Message): void {
        this.messagesAfterSync.push({ to, message });
    }

    /** Stores term and vote: a voter that lost them in a crash could vote twice in one term. */
    recordBallot(): void {
        this.records.push({ kind: "ballot", term: this.term, vote: this.vote });
    }

    appendEntry(entry: Entry): void {
        this.log.append(entry);
        this.records.push({ kind: "entry", entry });
    }

    truncate(from: number): void {
        Invariant.assert(from > this.committed, "a committed entry is never removed");
        this.log.truncate(from);
        this.syncedIndex = Math.min(this.syncedIndex, from - 1);
        this.unsyncedWrites.forEach(write => {
            write.upTo = Math.min(write.upTo, from - 1);
        });
    }

    /** Makes a snapshot the base of the log; entries after it are kept if the log contains its last entry. */
    replaceLog(base: SnapshotDescription): void {
        Invariant.assert(base.index > this.committed, "a snapshot never moves the committed index back");
        this.committed = base.index;
        if (this.log.termAt(base.index) === base.term) {
            this.log.compact(base.index);
            return;
        }
        this.log = EntryLog.create(base);
        // Acknowledgements that wait for a sync refer to the old log; that of the snapshot supersedes them.
        this.awaitingSync = this.awaitingSync.filter(pending => pending.message.kind !== "appended");
        this.syncedIndex = 0;
        this.unsyncedWrites.forEach(write => {
            write.upTo = 0;
        });
    }

    commit(index: number): void {
        if (index <= this.committed) {
            return;
        }
        Invariant.assert(index <= this.log.lastIndex, "only entries in the log are committed");
        const entries = this.log.range(this.committed + 1, index);
        this.committed = index;
        this.effects.push({ kind: "apply", entries });
    }

    /** Rewrites the snapshot and the whole log at the end of this step. */
    save(snapshot: Snapshot): void {
        this.snapshot = snapshot;
        this.snapshotToSave = snapshot;
    }

    synced(write: number): void {
        this.syncedWrite = Math.max(this.syncedWrite, write);
        while (this.unsyncedWrites.length > 0 && this.unsyncedWrites[0]!.write <= write) {
            this.syncedIndex = Math.max(this.syncedIndex, this.unsyncedWrites.shift()!.upTo);
        }
        const ready = this.awaitingSync.filter(pending => pending.write <= this.syncedWrite);
        this.awaitingSync = this.awaitingSync.filter(pending => pending.write > this.syncedWrite);
        ready.forEach(pending => this.emitMessage(pending.to, pending.message));
    }

    /** Ends a step: returns its effects, including the writes of its log changes, and delays messages until these are synced. */
    finish(): Effect[] {
        this.flushWrites();
        for (const { to, message } of this.messagesAfterSync) {
            if (this.lastWrite <= this.syncedWrite) {
                this.emitMessage(to, message);
            }
            else {
                this.awaitingSync.push({ write: this.lastWrite, to, message });
            }
        }
        this.messagesAfterSync = [];
        const effects = this.effects;
        this.effects = [];
        return effects;
    }

    private flushWrites(): void {
        if (this.snapshotToSave !== undefined) {
            this.startWrite();
            this.effects.push({
                kind: "save",
                write: this.lastWrite,
                snapshot: this.snapshotToSave,
                records: this.allRecords(),
            });
            this.snapshotToSave = undefined;
            this.records = [];
        }
        if (this.records.length > 0) {
            this.startWrite();
            this.effects.push({ kind: "write", write: this.lastWrite, records: this.records });
            this.records = [];
        }
    }

    private startWrite(): void {
        this.lastWrite += 1;
        this.unsyncedWrites.push({ write: this.lastWrite, upTo: this.log.lastIndex });
    }

    private allRecords(): LogRecord[] {
        const { base, lastIndex } = this.log;
        return [
            { kind: "base", owner: this.self, base },
            { kind: "ballot", term: this.term, vote: this.vote },
            ...this.log.range(base.index + 1, lastIndex).map(entry => ({ kind: "entry" as const, entry })),
        ];
    }

    private emitMessage(to: string, message: Message): void {
        Invariant.assert(
            message.kind !== "appended" || message.term < this.term || message.matched <= this.syncedIndex,
            "only synced entries are acknowledged",
        );
        this.effects.push({ kind: "send", to, message });
    }
}

/** Index up to which the log was known to be committed; 0 if unknown, or if the log has another entry there. */
function recoveredCommittedIndex({ log, committed }: Recovered): number {
    const matches = committed !== undefined && committed.index <= log.lastIndex
        && log.termAt(committed.index) === committed.term;
    return matches ? committed.index : 0;
}
