/**
 * A simplified model of the control daemons with what the view lease depends on: logs that survive crashes, elections, commits
 * by a quorum, silence after a start, and the rule by which a leader answers a change as accepted.
 */
import { InForceTracker, LivenessTable } from "../../packages/basilpaddle/src/node/coordination/supervisor/index.js";
import type { Command, Incarnation, PeerRequest, Timing } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { ViewState } from "../../packages/basilpaddle/src/node/state/index.js";
import type { Process, Server, World } from "./world.js";

type Entry = { readonly term: number; readonly command?: Command; readonly voters?: readonly string[]; };
type Append = {
    readonly term: number;
    readonly log: readonly Entry[];
    readonly commit: number;
    readonly sentAt: number;
};

/** Maximum steps in one answer; a daemon that lacks more receives a snapshot. */
const maxSteps = 10;

/** All control daemons, and the changes that operators received as accepted. */
export class Group {
    /** View indexes that were answered `accepted`. */
    readonly accepted = new Set<number>();
    readonly voters: Voter[];
    private readonly committed = new Map<number, number>();

    constructor(readonly timing: Timing, processes: readonly Process[], members: number) {
        const names = processes.slice(0, members).map(process => process.name);
        this.voters = processes.map(process => new Voter(this, process, [{ term: 0, voters: names }]));
        this.voters.forEach(voter => voter.recover());
    }

    /** Throws if entries of different terms are committed at one index, which would be a fault of the model itself. */
    checkCommit(index: number, term: number): void {
        if ((this.committed.get(index) ?? term) !== term) {
            throw new Error(`the model committed terms ${this.committed.get(index)} and ${term} at ${index}`);
        }
        this.committed.set(index, term);
    }
}

/** One control daemon. */
export class Voter implements Server {
    private term = 0;
    private votedIn = 0;
    private appendTerm = 0;
    private commit = 1;
    private leading = false;
    private leadingSince = 0;
    private startedAt = -1e9;
    private leaderHeardAt = 0;
    private votes = new Set<string>();
    private acknowledged = new Map<string, { sentAt: number; length: number; }>();
    private liveness = LivenessTable.create();
    private inForce: InForceTracker;
    private pendingChanges = new Map<number, { committedAt: number; inForceAt: number | undefined; }>();
    private state = ViewState.create();
    private applied = 1;

    constructor(private readonly group: Group, readonly process: Process, private log: readonly Entry[]) {
        this.inForce = InForceTracker.create(group.timing, process.monotonic());
    }

    /** Starts the process: synced state (term, vote, log) remains, volatile state is reset. */
    recover(): void {
        this.commit = 1;
        this.applied = 1;
        this.state = ViewState.create();
        this.leading = false;
        this.liveness = LivenessTable.create();
        this.inForce = InForceTracker.create(this.group.timing, this.process.monotonic());
        this.pendingChanges = new Map();
        this.leaderHeardAt = this.process.monotonic();
        this.tick();
    }

    crash(duration: number): void {
        if (!this.process.alive) {
            return;
        }
        this.process.crash();
        this.process.world.at(this.process.world.now + duration, () => {
            this.process.restart();
            this.startedAt = this.process.monotonic();
            this.recover();
        });
    }

    openSessions(): Incarnation[] {
        return Object.values(this.state.view().sessions).map(({ session }) => session);
    }

    isLeading(): boolean {
        return this.leading && this.process.alive;
    }

    /** Appends a command if this voter leads. @returns its index, else undefined */
    propose(command: Command): number | undefined {
        return this.leading ? this.append({ term: this.term, command }) : undefined;
    }

    /** Adds or removes one voter, at the earliest a view lease with drift after the last such change or the election. */
    changeVoters(name: string): void {
        const { at, voters } = this.latestMembership();
        const isCommittedInTerm = this.commit > at && this.log[this.commit - 1]!.term === this.term;
        const isPauseOver =
            this.process.monotonic() - Math.max(this.leadingSince, this.votersCommittedAt) > this.viewLeaseWithDrift();
        if (!this.leading || !isCommittedInTerm || !isPauseOver || name === this.process.name) {
            return;
        }
        const others = voters.filter(voter => voter !== name);
        if (others.length >= 2) {
            this.append({ term: this.term, voters: others.length < voters.length ? others : [...voters, name] });
        }
    }

    answer(body: unknown, reply: (answer: unknown) => void): void {
        const request = body as PeerRequest;
        if (request.kind === "confirmView") {
            this.liveness.recordSession(request.session, request, this.process.monotonic());
            reply(this.viewReply(request.applied, request.wantsSteps));
        }
        if (request.kind === "propose") {
            const index = this.propose(request.command);
            if (index === undefined) {
                reply({ kind: "notLeader" });
                return;
            }
            this.replyOnceCommitted(index, this.term, reply);
        }
    }

    private votersCommittedAt = -1e9;

    private replyOnceCommitted(index: number, term: number, reply: (answer: unknown) => void): void {
        if (this.commit >= index && this.log[index - 1]!.term === term) {
            reply({ kind: "result", index, result: { kind: "done", index } });
        }
        else if (this.leading && this.term === term) {
            this.process.after(20, () => this.replyOnceCommitted(index, term, reply));
        }
        else {
            reply({ kind: "undecided", reason: "leadership ended" });
        }
    }

    private viewReply(applied: number, wantsSteps: boolean): unknown {
        const { voters } = this.latestMembership();
        const view = this.state.view();
        const steps = this.log.slice(0, this.applied)
            .flatMap(({ command }, position) => command === undefined ? [] : [{ index: position + 1, command }])
            .filter(step => step.index > applied);
        const behind = wantsSteps && steps.length > 0;
        return {
            kind: "viewAnswer",
            voter: this.process.name,
            voting: voters.includes(this.process.name),
            voters,
            term: this.term,
            appendedView: this.log.findLastIndex(entry => entry.command !== undefined) + 1,
            committedView: view.index,
            ...(behind && steps.length <= maxSteps ? { steps } : {}),
            ...(behind && steps.length > maxSteps ? { snapshot: view } : {}),
        };
    }

    private append(entry: Entry): number {
        this.log = [...this.log, entry];
        this.sendAppends();
        return this.log.length;
    }

    private tick(): void {
        const { timing } = this.group;
        const now = this.process.monotonic();
        if (this.leading) {
            this.leaderTick(now);
        }
        else {
            const timeoutMilliseconds = timing.electionTimeout * (1 + this.process.world.randomness.fraction());
            if (!this.isInStartupSilence() && now - this.leaderHeardAt > timeoutMilliseconds) {
                this.startElection(now);
            }
        }
        this.process.after(timing.heartbeatInterval, () => this.tick());
    }

    private leaderTick(now: number): void {
        if (this.quorumAcknowledgedSince(now - this.group.timing.electionTimeout, 0) === false) {
            this.leading = false;
            this.leaderHeardAt = now;
            return;
        }
        this.closeSilentSessions(now);
        this.acceptChanges(now);
        this.sendAppends();
    }

    /** Whether a quorum acknowledged a log of at least the given length, in answer to a message sent at or after `sentAfter`. */
    private quorumAcknowledgedSince(sentAfter: number, length: number): boolean {
        const { voters } = this.latestMembership();
        const held = voters.filter(voter => {
            const last = this.acknowledged.get(voter);
            return voter === this.process.name
                || (last !== undefined && last.sentAt >= sentAfter && last.length >= length);
        });
        return held.length * 2 > voters.length;
    }

    private closeSilentSessions(now: number): void {
        for (const { session } of Object.values(this.state.view().sessions)) {
            const heardAt = Math.max(this.leadingSince, this.liveness.session(session)?.heardAt ?? 0);
            const appended = this.log.slice(this.applied).some(entry => entry.command?.kind === "closeSession");
            if (now - heardAt > this.group.timing.sessionTimeout && !appended) {
                this.append({ term: this.term, command: { kind: "closeSession", session, reason: "silent", at: 0 } });
            }
        }
    }

    private acceptChanges(now: number): void {
        for (const [index, change] of this.pendingChanges) {
            if (change.inForceAt === undefined && this.isInForce(index, change.committedAt, now)) {
                change.inForceAt = now;
            }
            if (change.inForceAt !== undefined && this.quorumAcknowledgedSince(change.inForceAt, 0)) {
                this.pendingChanges.delete(index);
                this.group.accepted.add(index);
            }
        }
    }

    private isInForce(index: number, committedAt: number, now: number): boolean {
        const { inForce, liveness, leadingSince } = this;
        return inForce.status({ index, committedAt }, leadingSince, this.state.view(), liveness, now).kind
            === "inForce";
    }

    private viewLeaseWithDrift(): number {
        return this.group.timing.viewLease * (1 + this.group.timing.clockDrift);
    }

    private startElection(now: number): void {
        const { voters } = this.latestMembership();
        if (!voters.includes(this.process.name)) {
            return;
        }
        this.term++;
        this.votedIn = this.term;
        this.leaderHeardAt = now;
        this.votes = new Set([this.process.name]);
        const { term, log } = this;
        for (const voter of this.others()) {
            this.sendTo(voter, () => voter.handleVoteRequest(this, term, log));
        }
    }

    private handleVoteRequest(candidate: Voter, term: number, log: readonly Entry[]): void {
        const now = this.process.monotonic();
        const leaderIsAlive = this.leading || now - this.leaderHeardAt < this.group.timing.electionTimeout;
        const last = this.log.at(-1)!;
        const behind = log.at(-1)!.term < last.term || (log.at(-1)!.term === last.term && log.length < this.log.length);
        if (this.isInStartupSilence() || leaderIsAlive || term <= this.votedIn || term < this.term || behind) {
            return;
        }
        this.term = term;
        this.votedIn = term;
        this.sendTo(candidate, () => candidate.handleVote(this.process.name, term));
    }

    private handleVote(voter: string, term: number): void {
        if (this.leading || term !== this.term || this.isInStartupSilence()) {
            return;
        }
        this.votes.add(voter);
        const { voters } = this.latestMembership();
        if (voters.filter(name => this.votes.has(name)).length * 2 > voters.length) {
            this.leading = true;
            this.leadingSince = this.process.monotonic();
            this.pendingChanges.forEach(change => change.inForceAt = undefined);
            const voteAcknowledgement = { sentAt: this.leadingSince, length: 0 };
            this.acknowledged = new Map([...this.votes].map(name => [name, voteAcknowledgement]));
            this.append({ term });
        }
    }

    private sendAppends(): void {
        const append: Append = {
            term: this.term,
            log: this.log,
            commit: this.commit,
            sentAt: this.process.monotonic(),
        };
        for (const voter of this.others()) {
            this.sendTo(voter, () => voter.handleAppend(this, append));
        }
    }

    private handleAppend(leader: Voter, append: Append): void {
        if (this.isInStartupSilence() || append.term < this.term) {
            return;
        }
        this.term = append.term;
        this.leading = false;
        this.leaderHeardAt = this.process.monotonic();
        if (append.term > this.appendTerm || append.log.length > this.log.length) {
            this.log = append.log;
            this.appendTerm = append.term;
        }
        this.apply(Math.min(append.commit, this.log.length));
        this.sendTo(leader, () => leader.handleAcknowledgement(this.process.name, append));
    }

    private handleAcknowledgement(voter: string, append: Append): void {
        if (!this.leading || append.term !== this.term) {
            return;
        }
        const before = this.acknowledged.get(voter) ?? { sentAt: 0, length: 0 };
        this.acknowledged.set(voter, {
            sentAt: Math.max(before.sentAt, append.sentAt),
            length: Math.max(before.length, append.log.length),
        });
        for (let index = this.log.length; index > this.commit; index--) {
            if (this.log[index - 1]!.term === this.term && this.quorumAcknowledgedSince(0, index)) {
                this.commitUpTo(index);
            }
        }
    }

    private commitUpTo(commit: number): void {
        const now = this.process.monotonic();
        for (let index = this.commit + 1; index <= commit; index++) {
            const entry = this.log[index - 1]!;
            this.group.checkCommit(index, entry.term);
            if (entry.voters !== undefined) {
                this.votersCommittedAt = now;
            }
        }
        this.apply(commit);
    }

    private apply(commit: number): void {
        this.commit = Math.max(this.commit, commit);
        for (; this.applied < this.commit; this.applied++) {
            const { command } = this.log[this.applied]!;
            if (command !== undefined) {
                const now = this.process.monotonic();
                const before = this.openIncarnations();
                this.state.apply(this.applied + 1, command);
                const after = this.openIncarnations();
                if (command.kind === "openSession") {
                    this.liveness.recordSession(command.session, { applied: 0, revision: 0 }, now);
                }
                if (before.some(session => !after.includes(session))) {
                    this.inForce.recordSessionClosed(now);
                }
                // Followers also record when they learned of a commit, as the next leader may have to accept the change.
                this.pendingChanges.set(this.applied + 1, { committedAt: now, inForceAt: undefined });
            }
        }
    }

    private openIncarnations(): string[] {
        return this.openSessions().map(session => JSON.stringify(session));
    }

    /** A restarted voter doesn't vote, append or campaign for two election timeouts, so that a refused connection is evidence. */
    private isInStartupSilence(): boolean {
        return this.process.monotonic() - this.startedAt < 2 * this.group.timing.electionTimeout;
    }

    private latestMembership(): { readonly at: number; readonly voters: readonly string[]; } {
        const at = this.log.findLastIndex(entry => entry.voters !== undefined);
        return { at, voters: this.log[at]!.voters! };
    }

    private others(): Voter[] {
        return this.group.voters.filter(voter => voter !== this);
    }

    private sendTo(other: Voter, action: () => void): void {
        const { process } = other;
        const world: World = this.process.world;
        world.deliver(this.process, process, () => process.runUnlessRestarted(process.start, action));
    }
}
