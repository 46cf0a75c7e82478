import {
    AddressedPeers,
    AgreementReplica,
    type CommittedMark,
    initialise,
    type Replica,
    type ReplicaStanding,
} from "../../coordination/index.js";
import type { DocumentAnswer } from "../../protocol/index.js";
import { DocumentState, FolderDisk, type StoredDocument } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";

/** Name that the first members of every group share; members check it, so that two deployments never mix. */
const clusterName = "directories";
/**
 * Timing of the agreement in milliseconds. No daemon relies on a view lease here, so voters need no rest between two
 * changes of the membership; an election then takes 0.5 to 1 s, well within the time that a caller waits for a change.
 */
const timing = { heartbeatInterval: 100, electionTimeout: 500, viewLease: 50, clockDrift: 0.02 };
/**
 * Most milliseconds from the start to the first try at an election. After a loss of power everywhere nothing is served
 * until there is a leader; spread over this time, voters seldom stand together.
 */
const firstElection = 400;
/** Silence of a voter after which a member that stands by takes its place: longer than a restart. */
const replaceAfter = 2_500;
/** Documents in the log before it is cut, and documents kept then: each may be hundreds of kilobytes on a small disk. */
const compaction = { after: 32, keep: 4 };
/** Milliseconds before a replica that failed is opened again. */
const reopenDelay = 500;
/** Milliseconds for a change to be committed; its caller waits no longer than a second. */
const storePatience = 900;
/** Milliseconds for a quorum to confirm a reading. */
const readPatience = 800;
/** Milliseconds between two looks whether what was in the log has been committed. */
const commitPoll = 10;

/** What the group needs. */
export type DocumentGroupOptions = {
    /** This member's name: its peer address, "IP:PORT". */
    readonly name: string;
    /** Names of members to begin with. */
    readonly seeds: () => readonly string[];
    /** Whether the seeds may form a new group. */
    readonly firstStart: boolean;
    readonly dataFolder: string;
    /** What was known to be committed before a restart, under an identity of this member. */
    readonly committed: (identity: string) => CommittedMark | undefined;
    /** Voters that the group grows to. */
    readonly voters: number;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
};

/**
 * This directory's part in the group that keeps the configuration. A replica whose disk fails, a full one say, ends; it
 * is opened again until the disk takes writes, while the daemon goes on with everything that needs no disk.
 */
export class DocumentGroup {
    private readonly store = DisposableStore.create();
    private readonly peers: AddressedPeers;
    private readonly changeListeners = new Set<(document: StoredDocument) => void>();
    private readonly leadershipListeners = new Set<(leading: boolean) => void>();
    private state = DocumentState.create();
    private replica: Replica | undefined;
    private newest: StoredDocument = this.state.current();
    private closed = false;

    private constructor(private readonly options: DocumentGroupOptions) {
        this.peers = AddressedPeers.create(options.network, options.name, options.seeds);
        this.store.add(() => this.peers.close());
    }

    /** Opens this member's replica; one that can't be opened now is tried again. */
    static async create(options: DocumentGroupOptions): Promise<DocumentGroup> {
        const group = new DocumentGroup(options);
        await group.open();
        return group;
    }

    /** What this member knows of the group; undefined while its replica is closed. */
    standing(): ReplicaStanding | undefined {
        return this.replica?.standing();
    }

    /** The newest entry that this member knows to be committed, and its identity; undefined while its replica is closed. */
    committedMark(): { readonly identity: string; readonly mark: CommittedMark; } | undefined {
        const standing = this.replica?.standing();
        return standing === undefined ? undefined : {
            identity: standing.identity,
            mark: { index: standing.committedIndex, term: standing.committedTerm },
        };
    }

    /** The newest document that this member has seen committed. */
    current(): StoredDocument {
        return this.newest;
    }

    /** Passes a message of another member on. */
    receive(from: string, message: unknown): void {
        this.replica?.receive(from, message);
    }

    /** Calls the listener with each newer document. */
    onChange(listener: (document: StoredDocument) => void): void {
        this.changeListeners.add(listener);
    }

    /** Calls the listener when leadership begins or ends here. */
    onLeadership(listener: (leading: boolean) => void): void {
        this.leadershipListeners.add(listener);
    }

    /** Stores a document, if this member leads. Its answer says that a quorum holds it or a newer one. */
    async storeDocument(version: number, content: string): Promise<DocumentAnswer> {
        const { replica } = this;
        if (replica === undefined) {
            return unavailable("the replica is closed");
        }
        if (version <= this.state.current().version) {
            return { kind: "stored" };
        }
        const at = Math.max(0, Math.round(this.options.clock.wall()));
        const proposal = await replica.propose({ kind: "storeDocument", version, content, at }, storePatience);
        return proposal.kind === "result" ? { kind: "stored" } : unavailable(`the proposal ended as ${proposal.kind}`);
    }

    /** Reads the newest document of all: confirmed by a quorum in a round trip that began after the question. */
    async readDocument(): Promise<DocumentAnswer> {
        const { replica, state } = this;
        const standing = replica?.standing();
        if (replica === undefined || standing === undefined || !standing.leading) {
            return unavailable("this member doesn't lead");
        }
        // A new leader holds every committed entry, but may not know yet that it is committed.
        const target = standing.lastIndex;
        if (!await replica.confirmLeadership(readPatience) || !await this.committedUpTo(replica, target)) {
            return unavailable("no quorum confirmed the leadership in time");
        }
        return { kind: "read", ...state.current() };
    }

    /** Hands leadership over and stops. */
    async close(): Promise<void> {
        this.closed = true;
        await this.replica?.close();
        this.replica = undefined;
        await this.store.dispose();
    }

    private async committedUpTo(replica: Replica, index: number): Promise<boolean> {
        const { clock } = this.options;
        const until = clock.monotonic() + readPatience;
        while (replica.standing().committedIndex < index) {
            if (clock.monotonic() > until || !replica.standing().leading) {
                return false;
            }
            await new Promise<void>(resolve => clock.after(commitPoll, resolve));
        }
        return true;
    }

    private async open(): Promise<void> {
        const { logger, clock } = this.options;
        try {
            await this.openReplica();
        }
        catch (error) {
            logger.error("the replica can't be opened; trying again", { error, after: reopenDelay });
            clock.after(reopenDelay, () => void this.reopen());
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
            await initialise(disk, clusterName, name, founders);
            logger.info("an empty folder was prepared for a founding member", { founders });
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
            open: { voters, replaceAfter },
            silence: 0,
            firstElection,
            committed,
            onFailure: error => this.failed(error),
        });
        this.state = state;
        state.onChange(document => this.note(document));
        this.note(state.current());
        replica.onLeadership(leading => this.leadershipListeners.forEach(listener => listener(leading)));
        this.replica = replica;
        logger.info("the replica is open", { identity: replica.standing().identity, version: state.current().version });
    }

    private failed(error: unknown): void {
        const { logger, clock } = this.options;
        logger.error("the replica stopped; it is opened again", { error, after: reopenDelay });
        const { replica } = this;
        this.replica = undefined;
        void replica?.close().catch((failure: unknown) => {
            logger.warn("closing a failed replica failed too", { error: failure });
        });
        clock.after(reopenDelay, () => void this.reopen());
    }

    /** Listeners never hear of an older document, whatever a replica that was opened again begins with. */
    private note(document: StoredDocument): void {
        if (document.version > this.newest.version) {
            this.newest = document;
            this.changeListeners.forEach(listener => listener(document));
        }
    }
}

function unavailable(reason: string): DocumentAnswer {
    return { kind: "unavailable", reason };
}
