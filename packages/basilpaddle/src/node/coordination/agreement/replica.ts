import { type Command, isViewCommand } from "../../protocol/index.js";
import { type Disk, type Identity, type LogFileOptions, type StateMachine, writeIdentity } from "../../state/index.js";
import type { Clock, Logger, Randomness } from "../../utils/index.js";
import { type ProposalOutcome, Replica, type ReplicaStatus } from "../replica.js";
import type { AgreementEvent, Effect, ProposedCommand } from "./effect.js";
import { decodeCommand, encodeContent, type Entry, nameOf } from "./entry.js";
import { type Envelope, envelopeSchema } from "./message.js";
import type { Peers } from "./peers.js";
import { ProposalTable } from "./proposalTable.js";
import { openFolder } from "./startup.js";
import { AgreementState, type AgreementTiming, type CommittedPosition, type OpenGroupOptions } from "./state.js";
import { nextTickAt, step } from "./step.js";
import type { Storage } from "./storage.js";

/** Largest command in bytes; it has to fit into a frame together with its envelope. */
export const commandLimitBytes = 8 * 1024 * 1024;

/** Options of `AgreementReplica`. */
export type AgreementReplicaOptions = {
    /** Name of this control daemon. */
    readonly name: string;
    /** The data folder. If it was neither initialised nor used before, the replica requests to join the group. */
    readonly disk: Disk;
    /** The links to the other control daemons. */
    readonly peers: Peers;
    /** How to add daemons that no settings file lists. @default they aren't added */
    readonly open?: OpenGroupOptions;
    /** Milliseconds after a start in which the replica takes no part in the protocol. @default twice the election timeout */
    readonly silence?: number;
    /** Maximum milliseconds from the end of that time to the first election. @default one to two election timeouts */
    readonly firstElection?: number;
    readonly stateMachine: StateMachine;
    readonly timing: AgreementTiming;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly compaction?: Partial<CompactionOptions>;
    /** The last entry that the identity knew to be committed before a restart; applied at startup. @default none */
    readonly committed?: (identity: string) => CommittedPosition | undefined;
    readonly log?: LogFileOptions;
    /** Called once if the replica had to stop: its disk failed, or an invariant of the protocol was violated. */
    readonly onFailure?: (error: unknown) => void;
};

/** When the log is compacted. */
export type CompactionOptions = {
    /** Number of entries applied since the last snapshot after which the next one is taken. @default 10000 */
    readonly after: number;
    /** Number of entries kept before a snapshot, so that a slightly lagging replica needs no snapshot. @default 1000 */
    readonly keep: number;
};

type AppliedListener = Parameters<Replica["onApplied"]>[0];
type LeadershipListener = Parameters<Replica["onLeadership"]>[0];

/** A replica of this package's agreement protocol: calls `step`, and executes its effects with a clock, a disk and links. */
export class AgreementReplica extends Replica {
    private readonly proposals: ProposalTable;
    private readonly confirmations = new Map<number, (isLeader: boolean) => void>();
    private readonly appliedListeners = new Set<AppliedListener>();
    private readonly leadershipListeners = new Set<LeadershipListener>();
    private readonly compaction: CompactionOptions;
    private readonly events: AgreementEvent[] = [];
    private batchedProposals: ProposedCommand[] = [];
    private stepping = false;
    private stopped = false;
    private lastToken = 0;
    private applied: number;
    private tickAt = Number.POSITIVE_INFINITY;
    private cancelTick: (() => void) | undefined;

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

    /** Opens the data folder and restores the state machine from it. The replica takes part after its initial silence. */
    static async create(options: AgreementReplicaOptions): Promise<AgreementReplica> {
        const { disk, name, randomness, logger, clock, timing } = options;
        const { identity, storage, recovered } = await openFolder(disk, name, options.log ?? {}, randomness, logger);
        const peers = (): string[] => options.peers.names().filter(peer => peer !== name);
        const { open, silence, firstElection } = options;
        const stateOptions = { identity: identity.identity, peers, timing, randomness, open, silence, firstElection };
        const committed = options.committed?.(identity.identity);
        const state = AgreementState.create(stateOptions, { ...recovered, committed }, clock.monotonic());
        if (recovered.snapshot !== undefined) {
            options.stateMachine.restore(recovered.snapshot.data);
        }
        const replica = new AgreementReplica(options, identity, storage, state);
        state.recoveredEntries().forEach(entry => replica.apply(entry));
        replica.scheduleTick();
        return replica;
    }

    override propose(command: Command, timeout: number): Promise<ProposalOutcome> {
        if (this.stopped) {
            return Promise.resolve({ kind: "notLeader", leader: undefined });
        }
        const data = encodeContent(command);
        if (data.length > commandLimitBytes) {
            throw new RangeError(`A command of ${data.length} bytes exceeds the limit of ${commandLimitBytes} bytes.`);
        }
        const token = this.nextToken();
        const kind = isViewCommand(command) ? "viewCommand" : "command";
        const settled = this.proposals.open(token, timeout);
        // Proposals made in the same turn of the event loop share one write and one message to each voter.
        if (this.batchedProposals.length === 0) {
            queueMicrotask(() => this.proposeBatch());
        }
        this.batchedProposals.push({ token, kind, data });
        return settled;
    }

    override receive(from: string, message: unknown): void {
        const envelope = envelopeSchema.safeParse(message);
        if (!envelope.success) {
            this.options.logger.warn("ignoring an invalid message from another replica", { from });
            return;
        }
        const { to, body, cluster } = envelope.data;
        const isReceiver = body.kind === "join" ? to === this.identity.name : to === this.identity.identity;
        const isKnownSender = this.options.peers.link(nameOf(from)) !== undefined;
        if (isReceiver && isKnownSender && this.isOwnCluster(cluster, body.kind)) {
            this.dispatch({ kind: "message", from, message: body });
        }
    }

    override currentStatus(): ReplicaStatus {
        this.tickIfOverdue();
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
            appendedView: state.log.lastViewIndex,
        };
    }

    override confirmLeadership(timeout: number): Promise<boolean> {
        return new Promise(resolve => {
            const token = this.nextToken();
            const cancel = this.options.clock.after(timeout, () => settle(false));
            const settle = (isLeader: boolean): void => {
                cancel();
                this.confirmations.delete(token);
                resolve(isLeader);
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

    /** Stops like a killed process, without handing over leadership. Writes in progress are still completed. */
    async stopWithoutHandover(): Promise<void> {
        this.stop("the replica was stopped without a handover");
        await this.storage.close();
    }

    /** Number of log syncs so far. */
    syncs(): number {
        return this.storage.syncs();
    }

    private async handOver(): Promise<void> {
        const otherVoters = this.state.log.membership.voters.length - 1;
        if (this.state.leadership === undefined || this.stopped || otherVoters === 0) {
            return;
        }
        await new Promise<void>(resolve => {
            const remove = this.onLeadership(() => finish());
            const cancel = this.options.clock.after(2 * this.options.timing.electionTimeout, () => finish());
            const finish = (): void => {
                cancel();
                remove();
                resolve();
            };
            this.dispatch({ kind: "handOver" });
        });
    }

    private logRoleChange(role: AgreementState["role"], leader: string | undefined): void {
        const { state, options } = this;
        if (state.role !== role || state.leader !== leader) {
            options.logger.info("replica role changed", {
                from: role,
                role: state.role,
                term: state.term,
                leader: state.leader,
                lastIndex: state.log.lastIndex,
                committed: state.committed,
            });
        }
    }

    private proposeBatch(): void {
        const proposals = this.batchedProposals;
        this.batchedProposals = [];
        this.dispatch({ kind: "propose", proposals });
    }

    private dispatch(event: AgreementEvent): void {
        if (this.stopped) {
            this.rejectEvent(event);
            return;
        }
        this.events.push(event);
        // A listener that proposes a command calls this while the effects of a step are being executed.
        if (this.stepping) {
            return;
        }
        this.stepping = true;
        try {
            for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
                const { role, leader } = this.state;
                step(this.state, next, this.options.clock.monotonic()).forEach(effect => this.execute(effect));
                this.logRoleChange(role, leader);
                this.compactIfDue();
            }
        }
        catch (error) {
            this.fail(error);
        }
        finally {
            this.stepping = false;
        }
        this.scheduleTick();
    }

    private execute(effect: Effect): void {
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
                this.notifyLeadership(effect.leading);
                return;
            case "proposed":
                this.proposals.recordPosition(effect.token, effect.position);
                return;
            case "refused":
                this.proposals.refuse(effect.token, effect.leader === undefined ? undefined : nameOf(effect.leader));
                return;
            case "confirmed":
                this.confirmations.get(effect.token)?.(effect.stillLeading);
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
            this.proposals.settleOverwritten(entry);
            return;
        }
        const command = decodeCommand(entry);
        const result = this.options.stateMachine.apply(entry.index, command);
        this.appliedListeners.forEach(listener => listener(entry.index, command, result));
        this.proposals.settleApplied(entry, result);
    }

    private compactIfDue(): void {
        const snapshotIndex = this.state.snapshot?.description.index ?? 0;
        if (this.applied - snapshotIndex >= this.compaction.after) {
            const data = this.options.stateMachine.snapshot();
            this.events.push({ kind: "compact", index: this.applied, data, keep: this.compaction.keep });
        }
    }

    private notifyLeadership(leading: boolean): void {
        this.options.logger.info(leading ? "became the leader" : "no longer the leader", { term: this.state.term });
        if (!leading) {
            this.proposals.abandonAll("leadership ended before the command was known to be committed");
        }
        this.leadershipListeners.forEach(listener => listener(leading));
    }

    /** Whether a message belongs to this replica's group. A replica without a group adopts that of the first message. */
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

    private tickIfOverdue(): void {
        if (this.options.clock.monotonic() >= nextTickAt(this.state)) {
            this.dispatch({ kind: "tick" });
        }
    }

    private scheduleTick(): void {
        const nextTick = nextTickAt(this.state);
        // Most steps postpone the next tick; the timer that is already set then fires early, and sets another one.
        if (this.stopped || (this.cancelTick !== undefined && this.tickAt <= nextTick) || !Number.isFinite(nextTick)) {
            return;
        }
        this.cancelTick?.();
        this.tickAt = nextTick;
        this.cancelTick = this.options.clock.after(Math.max(1, nextTick - this.options.clock.monotonic()), () => {
            this.cancelTick = undefined;
            this.dispatch({ kind: "tick" });
        });
    }

    private rejectEvent(event: AgreementEvent): void {
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
        this.options.logger.fatal("the replica stops after an unrecoverable error", { error });
        this.stop("the replica failed");
        this.options.onFailure?.(error);
    }

    private stop(reason: string): void {
        if (this.stopped) {
            return;
        }
        const wasLeading = this.state.leadership !== undefined;
        this.stopped = true;
        this.cancelTick?.();
        this.events.splice(0).forEach(event => this.rejectEvent(event));
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
