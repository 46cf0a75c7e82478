import {
    AddressedPeers,
    AgreementReplica,
    type CommittedPosition,
    initialiseDataFolder,
    type Replica,
    type ReplicaStatus,
} from "../../coordination/index.js";
import type { DocumentAnswer } from "../../protocol/index.js";
import { DocumentState, FolderDisk, type StoredDocument } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";

/** Cluster name shared by the founding members of every group; members check it so that two deployments never mix. */
const clusterName = "directories";
/**
 * Consensus timing in milliseconds. No daemon relies on a view lease here, so voters need no pause between two membership
 * changes; an election then takes 0.5 to 1 s, well within the time that a caller waits for a change.
 */
const timing = { heartbeatInterval: 100, electionTimeout: 500, viewLease: 50, clockDrift: 0.02 };
/**
 * Longest delay from startup to the first election attempt. After a power loss of the whole deployment nothing is served
 * until there is a leader; spreading the attempts over this time makes simultaneous candidates rare.
 */
const firstElectionDelayMilliseconds = 400;
/** A voter that is silent for this long, more than a restart takes, is replaced by a learner. */
const replaceAfterMilliseconds = 2_500;
/** Log entries before compaction and entries kept after it: each document may take hundreds of kilobytes on a small disk. */
const compaction = { after: 32, keep: 4 };
/** Delay before a failed replica is reopened. */
const reopenDelayMilliseconds = 500;
/** Timeout for committing a change; its caller waits no longer than a second. */
const storeTimeoutMilliseconds = 900;
/** Timeout for a quorum to confirm leadership before a read. */
const readTimeoutMilliseconds = 800;
/** Polling interval while a read waits for earlier log entries to be committed. */
const commitPollMilliseconds = 10;

/** Settings and dependencies of `DocumentGroup`. */
export type DocumentGroupOptions = {
    /** This member's name: its peer address, "IP:PORT". */
    readonly name: string;
    /** Names of the members to contact first. */
    readonly seeds: () => readonly string[];
    /** Whether the seeds may initialise a new group. */
    readonly firstStart: boolean;
    readonly dataFolder: string;
    /** The newest entry known to be committed before the restart, for the given identity of this member. */
    readonly committed: (identity: string) => CommittedPosition | undefined;
    /** Target number of voters. */
    readonly voters: number;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
};

/**
 * This directory's member of the group that replicates the configuration. A replica stops when its disk fails, for example
 * when it is full; it is reopened until writes succeed, while the daemon continues with everything that needs no disk.
 */
export class DocumentGroup {
    private readonly store = DisposableStore.create();
    private readonly peers: AddressedPeers;
    private readonly changeListeners = new Set<(document: StoredDocument) => void>();
    private readonly leadershipListeners = new Set<(leading: boolean) => void>();
    private documentState = DocumentState.create();
    private replica: Replica | undefined;
    private newestDocument: StoredDocument = this.documentState.current();
    private closed = false;

    private constructor(private readonly options: DocumentGroupOptions) {
        this.peers = AddressedPeers.create(options.network, options.name, options.seeds);
        this.store.add(() => this.peers.close());
    }

    /** Opens this member's replica; if that fails, it is retried in the background. */
    static async create(options: DocumentGroupOptions): Promise<DocumentGroup> {
        const group = new DocumentGroup(options);
        await group.open();
        return group;
    }

    /** The group's status as this member knows it; undefined while its replica is closed. */
    replicaStatus(): ReplicaStatus | undefined {
        return this.replica?.currentStatus();
    }

    /** The newest entry that this member knows to be committed, and its identity; undefined while its replica is closed. */
    committedPosition(): { readonly identity: string; readonly mark: CommittedPosition; } | undefined {
        const status = this.replica?.currentStatus();
        return status === undefined ? undefined : {
            identity: status.identity,
            mark: { index: status.committedIndex, term: status.committedTerm },
        };
    }

    /** The newest document that this member has seen committed. */
    current(): StoredDocument {
        return this.newestDocument;
    }

    /** Delivers a consensus message from another member to the replica. */
    receive(from: string, message: unknown): void {
        this.replica?.receive(from, message);
    }

    /** Calls the listener with each newer document. */
    onChange(listener: (document: StoredDocument) => void): void {
        this.changeListeners.add(listener);
    }

    /** Calls the listener when this member gains or loses leadership. */
    onLeadership(listener: (leading: boolean) => void): void {
        this.leadershipListeners.add(listener);
    }

    /** Stores a document, if this member leads. `stored` means that a quorum holds this document or a newer one. */
    async storeDocument(version: number, content: string): Promise<DocumentAnswer> {
        const { replica } = this;
        if (replica === undefined) {
            return unavailable("the replica is closed");
        }
        if (version <= this.documentState.current().version) {
            return { kind: "stored" };
        }
        const at = Math.max(0, Math.round(this.options.clock.wall()));
        const proposal = await replica.propose(
            { kind: "storeDocument", version, content, at },
            storeTimeoutMilliseconds,
        );
        return proposal.kind === "result" ? { kind: "stored" } : unavailable(`the proposal ended as ${proposal.kind}`);
    }

    /** Linearizable read of the newest document: a quorum confirms the leadership in a round trip that starts after the call. */
    async readDocument(): Promise<DocumentAnswer> {
        const { replica, documentState } = this;
        const status = replica?.currentStatus();
        if (replica === undefined || status === undefined || !status.leading) {
            return unavailable("this member is not the leader");
        }
        // A new leader has every committed entry in its log, but may not know yet which of them are committed.
        const target = status.lastIndex;
        if (
            !await replica.confirmLeadership(readTimeoutMilliseconds) || !await this.waitUntilCommitted(replica, target)
        ) {
            return unavailable("no quorum confirmed leadership in time");
        }
        return { kind: "read", ...documentState.current() };
    }

    /** Transfers leadership if this member leads, and stops. */
    async close(): Promise<void> {
        this.closed = true;
        await this.replica?.close();
        this.replica = undefined;
        await this.store.dispose();
    }

    private async waitUntilCommitted(replica: Replica, index: number): Promise<boolean> {
        const { clock } = this.options;
        const deadline = clock.monotonic() + readTimeoutMilliseconds;
        while (replica.currentStatus().committedIndex < index) {
            if (clock.monotonic() > deadline || !replica.currentStatus().leading) {
                return false;
            }
            await new Promise<void>(resolve => clock.after(commitPollMilliseconds, resolve));
        }
        return true;
    }

    private async open(): Promise<void> {
        const { logger, clock } = this.options;
        try {
            await this.openReplica();
        }
        catch (error) {
            logger.error("failed to open the replica; retrying after a delay", {
                error,
                after: reopenDelayMilliseconds,
            });
            clock.after(reopenDelayMilliseconds, () => void this.reopen());
        }
    }

    private async reopen(): Promise<void> {
        if (!this.closed && this.replica === undefined) {
            await this.open();
        }
    }

    private async openReplica(): Promise<void> {
        const { name, seeds, firstStart, dataFolder, committed, voters, clock, randomness, logger } = this.options;
        const disk = await FolderDisk.create(dataFolder);
        const founders = [...seeds()];
        if (firstStart && founders.includes(name) && (await disk.list()).length === 0) {
            await initialiseDataFolder(disk, clusterName, name, founders);
            logger.info("initialised an empty data folder for a founding member", { founders });
        }
        const state = DocumentState.create();
        const replica = await AgreementReplica.create({
            name,
            disk,
            peers: this.peers,
            stateMachine: state,
            timing,
            clock,
            randomness,
            logger,
            compaction,
            log: { tornTail: true },
            open: { voters, replaceAfter: replaceAfterMilliseconds },
            silence: 0,
            firstElection: firstElectionDelayMilliseconds,
            committed,
            onFailure: error => this.handleFailure(error),
        });
        this.documentState = state;
        state.onChange(document => this.publishIfNewer(document));
        this.publishIfNewer(state.current());
        replica.onLeadership(leading => this.leadershipListeners.forEach(listener => listener(leading)));
        this.replica = replica;
        logger.info("replica opened", { identity: replica.currentStatus().identity, version: state.current().version });
    }

    private handleFailure(error: unknown): void {
        const { logger, clock } = this.options;
        logger.error("the replica failed; reopening it after a delay", { error, after: reopenDelayMilliseconds });
        const { replica } = this;
        this.replica = undefined;
        void replica?.close().catch((failure: unknown) => {
            logger.warn("failed to close a failed replica", { error: failure });
        });
        clock.after(reopenDelayMilliseconds, () => void this.reopen());
    }

    /** Never notifies listeners of an older document: a reopened replica may start from an older state. */
    private publishIfNewer(document: StoredDocument): void {
        if (document.version > this.newestDocument.version) {
            this.newestDocument = document;
            this.changeListeners.forEach(listener => listener(document));
        }
    }
}

function unavailable(reason: string): DocumentAnswer {
    return { kind: "unavailable", reason };
}
