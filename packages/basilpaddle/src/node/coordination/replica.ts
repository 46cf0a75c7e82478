import type { Command, CommandResult } from "../protocol/index.js";

/** The outcome of a proposal, as far as this replica knows it. */
export type ProposalOutcome =
    | { readonly kind: "result"; readonly index: number; readonly result: CommandResult; }
    | { readonly kind: "notLeader"; readonly leader: string | undefined; }
    /** The command may or may not be committed. */
    | { readonly kind: "undecided"; readonly reason: string; };

/** The status of a replica, and of its group as the replica knows it. */
export type ReplicaStatus = {
    /** Identity of this replica: its name and a suffix that changes if its disk is lost. */
    readonly identity: string;
    /** Whether its vote counts: the latest membership in its log lists it as a voter, and it hasn't stopped. */
    readonly voting: boolean;
    /** Identities of the voters of the latest membership in its log, committed or not. */
    readonly voters: readonly string[];
    readonly learners: readonly string[];
    readonly term: number;
    /** Name of the leader; undefined if none is known. */
    readonly leader: string | undefined;
    readonly leading: boolean;
    /** Monotonic milliseconds at which this replica became leader; undefined unless it leads. */
    readonly leadingSince: number | undefined;
    readonly lastIndex: number;
    readonly committedIndex: number;
    /** Term of the entry at `committedIndex`. */
    readonly committedTerm: number;
    /** Index of the latest view command in its log, committed or not; from the snapshot if the log has none. */
    readonly appendedView: number;
};

/** One copy of the replicated log, with the state machine that its entries are applied to. */
export abstract class Replica {
    /** Proposes a command. Resolves once the command was applied locally, or after `timeout` milliseconds at the latest. */
    abstract propose(command: Command, timeout: number): Promise<ProposalOutcome>;

    /** Handles a message from another replica. */
    abstract receive(from: string, message: unknown): void;

    /** The current status. */
    abstract currentStatus(): ReplicaStatus;

    /**
     * Whether this replica was the leader during a whole round trip to a quorum that began after the call. Resolves to false
     * after `timeout` milliseconds.
     */
    abstract confirmLeadership(timeout: number): Promise<boolean>;

    /** Calls the listener after each applied command, in order; the returned function removes it. */
    abstract onApplied(listener: (index: number, command: Command, result: CommandResult) => void): () => void;

    /** Calls the listener when this replica's leadership begins or ends; the returned function removes it. */
    abstract onLeadership(listener: (leading: boolean) => void): () => void;

    /** Transfers leadership if possible, syncs, and stops. */
    abstract close(): Promise<void>;
}
