import { Invariant } from "../../state/index.js";
import { encodeContent, quorumSize } from "./entry.js";
import type { MessageOf } from "./message.js";
import { appendAsLeader, broadcast, quorumContactAt } from "./replication.js";
import type { AgreementState } from "./state.js";

/** Makes the replica a follower in the given term. A leader loses its leadership. */
export function becomeFollower(state: AgreementState, term: number, leader: string | undefined): void {
    Invariant.assert(term >= state.term, "the term never decreases");
    if (term > state.term) {
        state.term = term;
        state.vote = undefined;
        state.leaderContactAt = Number.NEGATIVE_INFINITY;
        state.recordBallot();
    }
    state.leader = leader;
    if (state.role !== "follower") {
        state.changeRole("follow");
    }
    resetElectionTimer(state);
    endLeadership(state);
}

/** Restarts the election timer with a random timeout, so that voters rarely start elections at the same time. */
export function resetElectionTimer(state: AgreementState): void {
    state.electionAt = state.now + state.electionTimeout * (1 + state.options.randomness.fraction());
}

/**
 * Starts a pre-vote, which asks the other voters whether they would grant a vote. Without it, a voter that was cut
 * off would return with a high term and depose a leader that all others can reach.
 */
export function startPreVote(state: AgreementState): void {
    resetElectionTimer(state);
    if (!state.isVoter()) {
        return;
    }
    state.changeRole("canvass");
    state.leader = undefined;
    state.votes = new Set([state.self]);
    if (state.votes.size >= quorumSize(state.log.membership)) {
        startElection(state, false);
        return;
    }
    requestVotes(state, true, false);
}

/** Starts an election in the next term. `handover` is set if the leader requested it. */
export function startElection(state: AgreementState, handover: boolean): void {
    state.changeRole("stand");
    state.term += 1;
    state.vote = state.self;
    state.leader = undefined;
    state.leaderContactAt = Number.NEGATIVE_INFINITY;
    state.recordBallot();
    resetElectionTimer(state);
    state.votes = new Set([state.self]);
    if (state.votes.size >= quorumSize(state.log.membership)) {
        becomeLeader(state);
        return;
    }
    requestVotes(state, false, handover);
}

/** Handles a vote or pre-vote request. */
export function onRequestVote(state: AgreementState, from: string, request: MessageOf<"requestVote">): void {
    const mustKeepLeader = hasLiveLeader(state) && !request.handover;
    if (request.trial) {
        const granted = request.term > state.term && !mustKeepLeader && isUpToDate(state, request);
        const term = granted ? request.term : state.term;
        state.sendSynced(from, { kind: "voteAnswer", term, trial: true, granted });
        return;
    }
    if (mustKeepLeader) {
        return;
    }
    if (request.term > state.term) {
        becomeFollower(state, request.term, undefined);
    }
    const canVote = request.term === state.term && (state.vote === undefined || state.vote === from);
    const granted = canVote && isUpToDate(state, request);
    if (granted && state.vote === undefined) {
        state.vote = from;
        state.recordBallot();
        resetElectionTimer(state);
    }
    state.sendSynced(from, { kind: "voteAnswer", term: state.term, trial: false, granted });
}

/** Counts a granted vote or pre-vote, and proceeds once a quorum has granted it. */
export function onVoteAnswer(state: AgreementState, from: string, answer: MessageOf<"voteAnswer">): void {
    if (!answer.granted) {
        if (answer.term > state.term) {
            becomeFollower(state, answer.term, undefined);
        }
        return;
    }
    const isExpected = answer.trial
        ? state.role === "canvassing" && answer.term === state.term + 1
        : state.role === "candidate" && answer.term === state.term;
    if (!isExpected || !state.log.membership.voters.includes(from)) {
        return;
    }
    state.votes.add(from);
    if (state.votes.size < quorumSize(state.log.membership)) {
        return;
    }
    if (answer.trial) {
        startElection(state, false);
    }
    else {
        becomeLeader(state);
    }
}

/** Starts an election immediately if the current leader requests it in order to hand over. */
export function onStandNow(state: AgreementState, from: string, request: MessageOf<"standNow">): void {
    if (request.term === state.term && state.leader === from && state.role === "follower" && state.isVoter()) {
        startElection(state, true);
    }
}

/**
 * Steps down if no quorum has responded to messages sent within the last election timeout. A leader that is cut off,
 * or whose process resumes after a freeze, would otherwise keep acting as leader alongside its successor.
 */
export function stepDownWithoutQuorum(state: AgreementState): void {
    if (
        state.leadership !== undefined && state.now - quorumContactAt(state, state.leadership) > state.electionTimeout
    ) {
        becomeFollower(state, state.term, undefined);
    }
}

function becomeLeader(state: AgreementState): void {
    state.changeRole("win");
    state.leader = state.self;
    state.electionAt = Number.POSITIVE_INFINITY;
    state.leadership = {
        since: state.now,
        firstIndex: state.log.lastIndex + 1,
        round: 0,
        heartbeatAt: state.now,
        progress: new Map(),
        confirmations: [],
        joinRequests: new Set(),
        votersUnchangedSince: undefined,
        handOverUntil: undefined,
    };
    state.effect({ kind: "leadership", leading: true });
    // Entries of earlier terms are committed only through a later entry of this term: until then, a later leader can
    // overwrite them even if a quorum holds them.
    appendAsLeader(state, state.leadership, "noop", encodeContent({ voters: [], learners: [] }));
    broadcast(state, state.leadership);
}

function endLeadership(state: AgreementState): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
        return;
    }
    state.leadership = undefined;
    leadership.confirmations.forEach(({ token }) => state.effect({ kind: "confirmed", token, stillLeading: false }));
    state.effect({ kind: "leadership", leading: false });
}

function requestVotes(state: AgreementState, trial: boolean, handover: boolean): void {
    const term = trial ? state.term + 1 : state.term;
    const last = { index: state.log.lastIndex, term: state.log.lastTerm };
    for (const voter of state.log.membership.voters) {
        if (voter !== state.self) {
            state.sendSynced(voter, { kind: "requestVote", term, last, trial, handover });
        }
    }
}

function hasLiveLeader(state: AgreementState): boolean {
    return state.leadership !== undefined || state.now - state.leaderContactAt < state.electionTimeout;
}

function isUpToDate(state: AgreementState, request: MessageOf<"requestVote">): boolean {
    const { lastTerm, lastIndex } = state.log;
    return request.last.term > lastTerm || (request.last.term === lastTerm && request.last.index >= lastIndex);
}
