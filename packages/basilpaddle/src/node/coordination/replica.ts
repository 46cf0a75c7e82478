import type { Command, CommandResult } from "../protocol/index.js";

/** What became of a proposal, as far as this replica can tell. */
export type Proposal =
    | { readonly kind: "result"; readonly index: number; readonly result: CommandResult; }
    | { readonly kind: "notLeader"; readonly leader: string | undefined; }
    /** The command may or may not come to be held by a quorum. */
    | { readonly kind: "undecided"; readonly reason: string; };

/** What a replica knows of itself and its group. */
export type ReplicaStanding = {
    /** Identity of this replica: its name and a part that a lost disk doesn't bring back. */
    readonly identity: string;
    /** Whether its vote counts: it is in the newest membership as a voter and trusts its own disk. */
    readonly voting: boolean;
    /** Identities of the voters of the newest membership in its log, committed or not. */
    readonly voters: readonly string[];
    readonly learners: readonly string[];
    readonly term: number;
    /** Name of the leader, where one is known. */
    readonly leader: string | undefined;
    readonly leading: boolean;
    /** Monotonic milliseconds at which this replica became leader; only while leading. */
    readonly leadingSince: number | undefined;
    readonly lastIndex: number;
    readonly committedIndex: number;
    /** Term of the entry at `committedIndex`. */
    readonly committedTerm: number;
    /** Index of the newest view command in its log, committed or not; from the snapshot where the log holds none. */
    readonly appendedView: number;
};

/** One copy of the replicated log, with the state machine that it feeds. */
export abstract class Replica {
    /** Proposes a command; settles once it was applied here, or at the latest after the given milliseconds. */
    abstract propose(command: Command, timeout: number): Promise<Proposal>;

    /** Takes in a message of another replica. */
    abstract receive(from: string, message: unknown): void;

    /** What the replica knows now. */
    abstract standing(): ReplicaStanding;

    /** Whether this replica led throughout a round trip to a quorum that began after the call. */
    abstract confirmLeadership(timeout: number): Promise<boolean>;

    /** Calls the listener after each applied command, in order; the returned function takes it off. */
    abstract onApplied(listener: (index: number, command: Command, result: CommandResult) => void): () => void;

    /** Calls the listener when this replica's leadership begins or ends. */
    abstract onLeadership(listener: (leading: boolean) => void): () => void;

    /** Hands leadership over where it can, syncs, and stops. */
    abstract close(): Promise<void>;
}
