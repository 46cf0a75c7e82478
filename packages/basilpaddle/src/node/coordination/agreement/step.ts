import { Invariant } from "../../state/index.js";
import type { AgreementEvent, Effect, ProposedCommand } from "./effect.js";
import {
    becomeFollower,
    onRequestVote,
    onStandNow,
    onVoteAnswer,
    startPreVote,
    stepDownWithoutQuorum,
} from "./election.js";
import { isLive, manageMembership, onJoin, onJoinAt, requestToJoin } from "./membership.js";
import type { Message, MessageOf } from "./message.js";
import {
    advanceCommit,
    appendAsLeader,
    broadcast,
    confirmLeadership,
    onAppend,
    onAppended,
    onConflict,
    quorumContactAt,
    replicate,
} from "./replication.js";
import { onChunk, onChunkTaken } from "./snapshotTransfer.js";
import type { AgreementState, Leadership } from "./state.js";

type LeaderMessage = MessageOf<"append"> | MessageOf<"snapshotChunk">;
type FollowerReply = MessageOf<"appended"> | MessageOf<"conflict"> | MessageOf<"chunkTaken">;

/**
 * Handles one event of a replica at the given time of a monotonic clock, and returns the effects to execute. Timers are
 * checked first, so that a replica that resumes after a freeze gives up its leadership before it acts as a leader.
 */
export function step(state: AgreementState, event: AgreementEvent, now: number): Effect[] {
    state.now = Math.max(state.now, now);
    const committed = state.committed;
    onTimers(state);
    handle(state, event);
    if (state.leadership !== undefined) {
        advanceCommit(state, state.leadership);
        manageMembership(state, state.leadership);
        handOverWhenReady(state, state.leadership);
    }
    Invariant.assert(state.committed >= committed, "the committed index never decreases");
    return state.finish();
}

/** When the replica's next timer is due, on the clock given to `step`. */
export function nextTickAt(state: AgreementState): number {
    if (state.role === "silent") {
        return state.silentUntil;
    }
    if (state.leadership === undefined) {
        return Math.min(state.electionAt, state.nextJoinAt);
    }
    return Math.min(state.leadership.heartbeatAt, quorumContactAt(state, state.leadership) + state.electionTimeout + 1);
}

function onTimers(state: AgreementState): void {
    if (state.role === "silent") {
        endStartupSilence(state);
        return;
    }
    stepDownWithoutQuorum(state);
    if (state.leadership !== undefined) {
        if (state.now >= state.leadership.heartbeatAt) {
            broadcast(state, state.leadership);
        }
        return;
    }
    if (state.now >= state.electionAt) {
        startPreVote(state);
    }
    if (state.leadership === undefined && state.now >= state.nextJoinAt) {
        requestToJoin(state);
    }
}

/**
 * Ends the initial silence. By default a replica takes no part in the protocol for twice the election timeout after its
 * start: an entry daemon that found the processes of a quorum dead continues to serve under its last view, and relies on
 * none of them accepting a change within that time.
 */
function endStartupSilence(state: AgreementState): void {
    if (state.now >= state.silentUntil) {
        state.changeRole("speak");
        const { firstElection, randomness } = state.options;
        state.electionAt = state.now + (firstElection === undefined
            ? state.electionTimeout * (1 + randomness.fraction())
            : firstElection * randomness.fraction());
    }
}

function handle(state: AgreementState, event: AgreementEvent): void {
    switch (event.kind) {
        case "tick":
            return;
        case "message":
            if (state.role !== "silent") {
                onMessage(state, event.from, event.message);
            }
            return;
        case "propose":
            onPropose(state, event.proposals);
            return;
        case "synced":
            state.synced(event.write);
            return;
        case "confirm":
            confirmLeadership(state, event.token);
            return;
        case "compact":
            onCompact(state, event.index, event.data, event.keep);
            return;
        case "handOver":
            if (state.leadership !== undefined) {
                state.leadership.handOverUntil = state.now + state.electionTimeout;
            }
            return;
    }
}

function onMessage(state: AgreementState, from: string, message: Message): void {
    switch (message.kind) {
        case "requestVote":
            onRequestVote(state, from, message);
            return;
        case "voteAnswer":
            onVoteAnswer(state, from, message);
            return;
        case "append":
        case "snapshotChunk":
            onLeaderMessage(state, from, message);
            return;
        case "appended":
        case "conflict":
        case "chunkTaken":
            onFollowerReply(state, from, message);
            return;
        case "standNow":
            onStandNow(state, from, message);
            return;
        case "join":
            onJoin(state, from);
            return;
        case "joinAt":
            onJoinAt(state, message.leader);
            return;
    }
}

function onLeaderMessage(state: AgreementState, from: string, message: LeaderMessage): void {
    if (message.term < state.term) {
        const { round, sentAt } = message;
        const hint = { index: 0, term: 0 };
        state.sendSynced(from, { kind: "conflict", term: state.term, hint, round, sentAt });
        return;
    }
    Invariant.assert(
        message.term > state.term || (state.leadership === undefined && (state.leader ?? from) === from),
        "a term has one leader",
    );
    becomeFollower(state, message.term, from);
    state.leaderContactAt = state.now;
    if (message.kind === "append") {
        onAppend(state, from, message);
    }
    else {
        onChunk(state, from, message);
    }
}

function onFollowerReply(state: AgreementState, from: string, answer: FollowerReply): void {
    if (answer.term > state.term) {
        becomeFollower(state, answer.term, undefined);
        return;
    }
    const leadership = state.leadership;
    if (leadership === undefined || answer.term < state.term) {
        return;
    }
    if (answer.kind === "appended") {
        onAppended(state, leadership, from, answer);
    }
    else if (answer.kind === "conflict") {
        onConflict(state, leadership, from, answer);
    }
    else {
        onChunkTaken(state, leadership, from, answer);
    }
}

function onPropose(state: AgreementState, proposals: readonly ProposedCommand[]): void {
    const leadership = state.leadership;
    if (leadership === undefined || leadership.handOverUntil !== undefined) {
        const leader = leadership === undefined ? state.leader : undefined;
        proposals.forEach(({ token }) => state.effect({ kind: "refused", token, leader }));
        return;
    }
    Invariant.assert(
        state.now - quorumContactAt(state, leadership) <= state.electionTimeout,
        "a leader accepts proposals only while a quorum answers it",
    );
    for (const { token, kind, data } of proposals) {
        const index = appendAsLeader(state, leadership, kind, data);
        state.effect({ kind: "proposed", token, position: { index, term: state.term } });
    }
    replicate(state, leadership);
}

function onCompact(state: AgreementState, index: number, data: Uint8Array, keep: number): void {
    if (index <= (state.snapshot?.description.index ?? 0) || index > state.committed) {
        return;
    }
    state.save({ description: state.log.describeSnapshot(index), data });
    state.log.compact(Math.max(state.log.base.index, index - keep));
}

/** Requests a live voter with the complete log to start an election; resumes as leader if none has it in time. */
function handOverWhenReady(state: AgreementState, leadership: Leadership): void {
    if (leadership.handOverUntil === undefined) {
        return;
    }
    if (state.now > leadership.handOverUntil) {
        leadership.handOverUntil = undefined;
        return;
    }
    const successor = state.log.membership.voters.find(voter => {
        return leadership.progress.get(voter)?.matched === state.log.lastIndex && isLive(state, leadership, voter);
    });
    if (successor !== undefined && state.committed === state.log.lastIndex) {
        state.send(successor, { kind: "standNow", term: state.term });
    }
}
