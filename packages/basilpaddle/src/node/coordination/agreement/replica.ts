import { type Command, isViewCommand } from "../../protocol/index.js";
import { type Disk, type Identity, type LogFileOptions, type StateMachine, writeIdentity } from "../../state/index.js";
import type { Clock, Logger, Randomness } from "../../utils/index.js";
import { type Proposal, Replica, type ReplicaStanding } from "../replica.js";
import type { AgreementEvent, Effect, Proposed } from "./effect.js";
import { decodeCommand, encodeContent, type Entry, nameOf } from "./entry.js";
import { type Envelope, envelopeSchema } from "./message.js";
import type { Peers } from "./peers.js";
import { ProposalTable } from "./proposalTable.js";
import { openFolder } from "./startup.js";
import { AgreementState, type AgreementTiming, type CommittedMark, type OpenGroup } from "./state.js";
import { deadline, step } from "./step.js";
import type { Storage } from "./storage.js";

/** Largest command in bytes: it has to fit into a frame with its envelope. */
export const commandLimit = 8 * 1024 * 1024;

/** What a replica needs. */
export type AgreementReplicaOptions = {
    /** Name of this control daemon. */
    readonly name: string;
    /** The data folder; one that was neither initialised nor used before gives a replica that asks to be taken in. */
    readonly disk: Disk;
    /** How the other control daemons are reached. */
    readonly peers: Peers;
    /** How daemons that no settings file names are taken in. @default they aren't */
    readonly open?: OpenGroup;
    /** Milliseconds after a start in which the replica takes no part. @default twice the election timeout */
    readonly silence?: number;
    /** Most milliseconds after that time until it first stands for election. @default one to two election timeouts */
    readonly firstElection?: number;
    readonly stateMachine: StateMachine;
    readonly timing: AgreementTiming;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly compaction?: Partial<Compaction>;
    /** The newest entry that was known to be committed before a restart, by identity; applied at once. @default none */
    readonly committed?: (identity: string) => CommittedMark | undefined;
    readonly log?: LogFileOptions;
    /** Called once if the replica had to stop: its disk failed, or a promise of the protocol was broken. */
    readonly onFailure?: (error: unknown) => void;
};

/** When the log is cut. */
export type Compaction = {
    /** Entries applied since the last snapshot after which the next is made. @default 10000 */
    readonly after: number;
    /** Entries kept below a snapshot, so that a replica a little behind needs no snapshot. @default 1000 */
    readonly keep: number;
};

type AppliedListener = Parameters<Replica["onApplied"]>[0];
type LeadershipListener = Parameters<Replica["onLeadership"]>[0];

/** A replica by the project's own agreement protocol: drives the pure step with a clock, a disk and links. */
export class AgreementReplica extends Replica {
    private readonly proposals: ProposalTable;
    private readonly confirmations = new Map<number, (held: boolean) => void>();
    private readonly appliedListeners = new Set<AppliedListener>();
    private readonly leadershipListeners = new Set<LeadershipListener>();
    private readonly compaction: Compaction;
    private readonly events: AgreementEvent[] = [];
    private gathered: Proposed[] = [];
    private stepping = false;
    private stopped = false;
    private lastToken = 0;
    private applied: number;
    private wakeAt = Number.POSITIVE_INFINITY;
    private cancelWake: (() => void) | undefined;

    private constructor(
        private readonly options: AgreementReplicaOptions,
        private identity: Identity,
        private readonly storage: Storage,
        private readonly state: AgreementState,
    ) {
        super();
        this.compaction = { after: 10_000, keep: 1_000, ...options.compaction };
        this.proposals = ProposalTable.create(options.clock);
        this.applied = state.committed;
    }

    /** Opens the data folder, restores the state machine from it, and takes part after the time of silence. */
    static async create(options: AgreementReplicaOptions): Promise<AgreementReplica> {
        const { disk, name, randomness, logger, clock, timing } = options;
        const { identity, storage, recovered } = await openFolder(disk, name, options.log ?? {}, randomness, logger);
        const peers = (): string[] => options.peers.names().filter(peer => peer !== name);
        const { open, silence, firstElection } = options;
        const core = { identity: identity.identity, peers, timing, randomness, open, silence, firstElection };
        const committed = options.committed?.(identity.identity);
        const state = AgreementState.create(core, { ...recovered, committed }, clock.monotonic());
        if (recovered.snapshot !== undefined) {
            options.stateMachine.restore(recovered.snapshot.data);
        }
        const replica = new AgreementReplica(options, identity, storage, state);
        state.recoveredEntries().forEach(entry => replica.apply(entry));
        replica.scheduleWake();
        return replica;
    }

    override propose(command: Command, timeout: number): Promise<Proposal> {
        if (this.stopped) {
            return Promise.resolve({ kind: "notLeader", leader: undefined });
        }
        const data = encodeContent(command);
        if (data.length > commandLimit) {
            throw new RangeError(`A command of ${data.length} bytes is over the limit of ${commandLimit}.`);
        }
        const token = this.nextToken();
        const kind = isViewCommand(command) ? "viewCommand" : "command";
        const settled = this.proposals.open(token, timeout);
        // Proposals of one turn go into one write and one message to each voter.
        if (this.gathered.length === 0) {
            queueMicrotask(() => this.proposeGathered());
        }
        this.gathered.push({ token, kind, data });
        return settled;
    }

    override receive(from: string, message: unknown): void {
        const envelope = envelopeSchema.safeParse(message);
        if (!envelope.success) {
            this.options.logger.warn("a voter sent something that isn't a message", { from });
            return;
        }
        const { to, body, cluster } = envelope.data;
        const addressed = body.kind === "join" ? to === this.identity.name : to === this.identity.identity;
        const known = this.options.peers.link(nameOf(from)) !== undefined;
        if (addressed && known && this.isOwnCluster(cluster, body.kind)) {
            this.dispatch({ kind: "message", from, message: body });
        }
    }

    override standing(): ReplicaStanding {
        this.wakeIfLate();
        const { state } = this;
        const { membership } = state.log;
        return {
            identity: state.self,
            voting: state.isVoter() && !this.stopped,
            voters: membership.voters,
            learners: membership.learners,
            term: state.term,
            leader: state.leader === undefined ? undefined : nameOf(state.leader),
            leading: state.leadership !== undefined,
            leadingSince: state.leadership?.since,
            lastIndex: state.log.lastIndex,
            committedIndex: state.committed,
            committedTerm: state.log.termAt(state.committed) ?? 0,
            appendedView: state.log.view,
        };
    }

    override confirmLeadership(timeout: number): Promise<boolean> {
        return new Promise(resolve => {
            const token = this.nextToken();
            const cancel = this.options.clock.after(timeout, () => settle(false));
            const settle = (held: boolean): void => {
                cancel();
                this.confirmations.delete(token);
                resolve(held);
            };
            this.confirmations.set(token, settle);
            this.dispatch({ kind: "confirm", token });
        });
    }

    override onApplied(listener: AppliedListener): () => void {
        this.appliedListeners.add(listener);
        return () => this.appliedListeners.delete(listener);
    }

    override onLeadership(listener: LeadershipListener): () => void {
        this.leadershipListeners.add(listener);
        return () => this.leadershipListeners.delete(listener);
    }

    override async close(): Promise<void> {
        await this.handOver();
        this.stop("the replica was closed");
        await this.storage.close();
    }

    /** Stops as a kill would: nothing is handed over. What is being written still gets written. */
    async abandon(): Promise<void> {
        this.stop("the replica was abandoned");
        await this.storage.close();
    }

    /** Syncs of the log made so far. */
    syncs(): number {
        return this.storage.syncs();
    }

    private async handOver(): Promise<void> {
        const others = this.state.log.membership.voters.length - 1;
        if (this.state.leadership === undefined || this.stopped || others === 0) {
            return;
        }
        await new Promise<void>(resolve => {
            const remove = this.onLeadership(() => end());
            const cancel = this.options.clock.after(2 * this.options.timing.electionTimeout, () => end());
            const end = (): void => {
                cancel();
                remove();
                resolve();
            };
            this.dispatch({ kind: "handOver" });
        });
    }

    private noteRole(role: AgreementState["role"], leader: string | undefined): void {
        const { state, options } = this;
        if (state.role !== role || state.leader !== leader) {
            options.logger.info("the role in the group changed", {
                from: role,
                role: state.role,
                term: state.term,
                leader: state.leader,
                lastIndex: state.log.lastIndex,
                committed: state.committed,
            });
        }
    }

    private proposeGathered(): void {
        const proposals = this.gathered;
        this.gathered = [];
        this.dispatch({ kind: "propose", proposals });
    }

    private dispatch(event: AgreementEvent): void {
        if (this.stopped) {
            this.refuse(event);
            return;
        }
        this.events.push(event);
        // A listener that proposes something comes in here while a step's effects are being carried out.
        if (this.stepping) {
            return;
        }
        this.stepping = true;
        try {
            for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
                const { role, leader } = this.state;
                step(this.state, next, this.options.clock.monotonic()).forEach(effect => this.carryOut(effect));
                this.noteRole(role, leader);
                this.compactIfDue();
            }
        }
        catch (error) {
            this.fail(error);
        }
        finally {
            this.stepping = false;
        }
        this.scheduleWake();
    }

    private carryOut(effect: Effect): void {
        switch (effect.kind) {
            case "write":
            case "save":
                this.storage.write(effect).then(
                    () => this.dispatch({ kind: "synced", write: effect.write }),
                    (error: unknown) => this.fail(error),
                );
                return;
            case "restore":
                this.options.stateMachine.restore(effect.snapshot.data);
                this.applied = effect.snapshot.description.index;
                return;
            case "send":
                this.send(effect.to, effect.message);
                return;
            case "apply":
                effect.entries.forEach(entry => this.apply(entry));
                return;
            case "leadership":
                this.changeLeadership(effect.leading);
                return;
            case "proposed":
                this.proposals.place(effect.token, effect.position);
                return;
            case "refused":
                this.proposals.refuse(effect.token, effect.leader === undefined ? undefined : nameOf(effect.leader));
                return;
            case "confirmed":
                this.confirmations.get(effect.token)?.(effect.held);
                return;
        }
    }

    private send(to: string, body: Envelope["body"]): void {
        const message: Envelope = { cluster: this.identity.cluster, to, body };
        this.options.peers.link(nameOf(to))?.send({ kind: "agreement", from: this.identity.identity, message });
    }

    private apply(entry: Entry): void {
        this.applied = entry.index;
        if (entry.kind !== "command" && entry.kind !== "viewCommand") {
            this.proposals.passed(entry);
            return;
        }
        const command = decodeCommand(entry);
        const result = this.options.stateMachine.apply(entry.index, command);
        this.appliedListeners.forEach(listener => listener(entry.index, command, result));
        this.proposals.applied(entry, result);
    }

    private compactIfDue(): void {
        const snapshotIndex = this.state.snapshot?.description.index ?? 0;
        if (this.applied - snapshotIndex >= this.compaction.after) {
            const data = this.options.stateMachine.snapshot();
            this.events.push({ kind: "compact", index: this.applied, data, keep: this.compaction.keep });
        }
    }

    private changeLeadership(leading: boolean): void {
        this.options.logger.info(leading ? "leading" : "no longer leading", { term: this.state.term });
        if (!leading) {
            this.proposals.abandonAll("leadership ended before a quorum was known to hold it");
        }
        this.leadershipListeners.forEach(listener => listener(leading));
    }

    /** A replica that wasn't yet taken in learns the name of its group from the leader that takes it in. */
    private isOwnCluster(cluster: string | undefined, kind: Envelope["body"]["kind"]): boolean {
        if (this.identity.cluster !== undefined) {
            return cluster === this.identity.cluster || (cluster === undefined && kind === "join");
        }
        if (cluster !== undefined && kind !== "join") {
            this.identity = { ...this.identity, cluster };
            writeIdentity(this.options.disk, this.identity).catch((error: unknown) => this.fail(error));
        }
        return cluster !== undefined;
    }

    private wakeIfLate(): void {
        if (this.options.clock.monotonic() >= deadline(this.state)) {
            this.dispatch({ kind: "tick" });
        }
    }

    private scheduleWake(): void {
        const due = deadline(this.state);
        // Most steps put the deadline off; the timer that is already set then looks again.
        if (this.stopped || (this.cancelWake !== undefined && this.wakeAt <= due) || !Number.isFinite(due)) {
            return;
        }
        this.cancelWake?.();
        this.wakeAt = due;
        this.cancelWake = this.options.clock.after(Math.max(1, due - this.options.clock.monotonic()), () => {
            this.cancelWake = undefined;
            this.dispatch({ kind: "tick" });
        });
    }

    private refuse(event: AgreementEvent): void {
        if (event.kind === "propose") {
            event.proposals.forEach(({ token }) => this.proposals.refuse(token, undefined));
        }
        else if (event.kind === "confirm") {
            this.confirmations.get(event.token)?.(false);
        }
    }

    private fail(error: unknown): void {
        if (this.stopped) {
            return;
        }
        this.options.logger.fatal("the replica stops: it can't keep its promises any more", { error });
        this.stop("the replica failed");
        this.options.onFailure?.(error);
    }

    private stop(reason: string): void {
        if (this.stopped) {
            return;
        }
        const wasLeading = this.state.leadership !== undefined;
        this.stopped = true;
        this.cancelWake?.();
        this.events.splice(0).forEach(event => this.refuse(event));
        this.proposals.abandonAll(reason);
        [...this.confirmations.values()].forEach(settle => settle(false));
        this.state.leadership = undefined;
        if (wasLeading) {
            this.leadershipListeners.forEach(listener => listener(false));
        }
    }

    private nextToken(): number {
        this.lastToken += 1;
        return this.lastToken;
    }
}
