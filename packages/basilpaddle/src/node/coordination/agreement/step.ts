import { Invariant } from "../../state/index.js";
import type { AgreementEvent, Effect, Proposed } from "./effect.js";
import { canvass, follow, giveUpWithoutQuorum, onRequestVote, onStandNow, onVoteAnswer } from "./election.js";
import { askToJoin, isLive, manageMembership, onJoin, onJoinAt } from "./membership.js";
import type { Message, MessageOf } from "./message.js";
import {
    advanceCommit,
    appendOwn,
    broadcast,
    confirm,
    onAppend,
    onAppended,
    onConflict,
    quorumContact,
    replicate,
} from "./replication.js";
import { onChunk, onChunkTaken } from "./snapshotTransfer.js";
import type { AgreementState, Leadership } from "./state.js";

type FromLeader = MessageOf<"append"> | MessageOf<"snapshotChunk">;
type ToLeader = MessageOf<"appended"> | MessageOf<"conflict"> | MessageOf<"chunkTaken">;

/**
 * One step of a replica: what happened, and when on a monotonic clock; gives what is to be done. The clock is looked
 * at first, so that a replica that wakes from a freeze gives its leadership up before it acts as a leader.
 */
export function step(state: AgreementState, event: AgreementEvent, now: number): Effect[] {
    state.now = Math.max(state.now, now);
    const committed = state.committed;
    onTime(state);
    handle(state, event);
    if (state.leadership !== undefined) {
        advanceCommit(state, state.leadership);
        manageMembership(state, state.leadership);
        handOverWhenReady(state, state.leadership);
    }
    Invariant.hold(state.committed >= committed, "what is committed stays so");
    return state.finish();
}

/** When the replica next has something to do by itself. */
export function deadline(state: AgreementState): number {
    if (state.role === "silent") {
        return state.silentUntil;
    }
    if (state.leadership === undefined) {
        return Math.min(state.electionAt, state.joinAt);
    }
    return Math.min(state.leadership.heartbeatAt, quorumContact(state, state.leadership) + state.timeout + 1);
}

function onTime(state: AgreementState): void {
    if (state.role === "silent") {
        endSilence(state);
        return;
    }
    giveUpWithoutQuorum(state);
    if (state.leadership !== undefined) {
        if (state.now >= state.leadership.heartbeatAt) {
            broadcast(state, state.leadership);
        }
        return;
    }
    if (state.now >= state.electionAt) {
        canvass(state);
    }
    if (state.leadership === undefined && state.now >= state.joinAt) {
        askToJoin(state);
    }
}

/**
 * A replica that has just started takes no part for twice the election timeout. An entry daemon that found a quorum's
 * processes dead serves on under its last view, sure that none of them accepts a change within that time.
 */
function endSilence(state: AgreementState): void {
    if (state.now >= state.silentUntil) {
        state.changeRole("speak");
        const { firstElection, randomness } = state.options;
        state.electionAt = state.now + (firstElection === undefined
            ? state.timeout * (1 + randomness.fraction())
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
            confirm(state, event.token);
            return;
        case "compact":
            onCompact(state, event.index, event.data, event.keep);
            return;
        case "handOver":
            if (state.leadership !== undefined) {
                state.leadership.handOverUntil = state.now + state.timeout;
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
            onLeader(state, from, message);
            return;
        case "appended":
        case "conflict":
        case "chunkTaken":
            onAnswer(state, from, message);
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

function onLeader(state: AgreementState, from: string, message: FromLeader): void {
    if (message.term < state.term) {
        const { round, sentAt } = message;
        const hint = { index: 0, term: 0 };
        state.sendSynced(from, { kind: "conflict", term: state.term, hint, round, sentAt });
        return;
    }
    Invariant.hold(
        message.term > state.term || (state.leadership === undefined && (state.leader ?? from) === from),
        "a term has one leader",
    );
    follow(state, message.term, from);
    state.heardAt = state.now;
    if (message.kind === "append") {
        onAppend(state, from, message);
    }
    else {
        onChunk(state, from, message);
    }
}

function onAnswer(state: AgreementState, from: string, answer: ToLeader): void {
    if (answer.term > state.term) {
        follow(state, answer.term, undefined);
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

function onPropose(state: AgreementState, proposals: readonly Proposed[]): void {
    const leadership = state.leadership;
    if (leadership === undefined || leadership.handOverUntil !== undefined) {
        const leader = leadership === undefined ? state.leader : undefined;
        proposals.forEach(({ token }) => state.effect({ kind: "refused", token, leader }));
        return;
    }
    Invariant.hold(
        state.now - quorumContact(state, leadership) <= state.timeout,
        "a leader takes proposals only while a quorum answers it",
    );
    for (const { token, kind, data } of proposals) {
        const index = appendOwn(state, leadership, kind, data);
        state.effect({ kind: "proposed", token, position: { index, term: state.term } });
    }
    replicate(state, leadership);
}

function onCompact(state: AgreementState, index: number, data: Uint8Array, keep: number): void {
    if (index <= (state.snapshot?.description.index ?? 0) || index > state.committed) {
        return;
    }
    state.save({ description: state.log.describe(index), data });
    state.log.compact(Math.max(state.log.base.index, index - keep));
}

/** Asks the voter that has everything to stand, or takes leadership up again when none got there in time. */
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
