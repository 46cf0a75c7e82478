import { Invariant } from "../../state/index.js";
import { encodeContent, type Membership, nameOf, quorumSize } from "./entry.js";
import { appendAsLeader, broadcast } from "./replication.js";
import type { AgreementState, Leadership } from "./state.js";

/** Election timeouts without a message from a leader after which a member sends join requests again. */
const rejoinAfterTimeouts = 5;
/** With fewer voters than this, none is removed before another one is added: two voters can't tolerate the loss of one. */
const minVotersForRemoval = 3;
/** A silent learner is removed after this multiple of the time for a silent voter, since no quorum depends on it. */
const learnerSilenceFactor = 4;

/**
 * Makes the next membership change that is due, one at a time. Recovery from a lost disk takes three changes: the new
 * identity is added as a learner; once that has caught up, the old identity is removed; then the learner is promoted.
 * The old identity is removed before the promotion because it can't respond any more: this way, no intermediate
 * membership needs more live voters for a quorum than the original one.
 */
export function manageMembership(state: AgreementState, leadership: Leadership): void {
    // Two concurrent changes, or one before an entry of this term is committed, could result in two quorums without a
    // common voter.
    const noChangeInProgress = state.committed >= leadership.firstIndex && state.log.membershipIndex <= state.committed;
    if (!noChangeInProgress || leadership.handOverUntil !== undefined) {
        return;
    }
    leadership.votersUnchangedSince ??= state.now;
    const next = dueMembershipChange(state, leadership);
    if (next !== undefined) {
        if (next.voters !== state.log.membership.voters) {
            leadership.votersUnchangedSince = undefined;
        }
        appendAsLeader(state, leadership, "membership", encodeContent(next));
        broadcast(state, leadership);
    }
}

/** Handles a join request. In an open group, a follower replies with the leader that it knows. */
export function onJoin(state: AgreementState, from: string): void {
    const open = state.options.open !== undefined;
    if (state.leadership !== undefined && (open || state.options.peers().includes(nameOf(from)))) {
        state.leadership.joinRequests.add(from);
    }
    else if (open && state.leader !== undefined && state.leader !== from) {
        // All members that a new machine knows may be followers; without this reply it would never find the leader.
        state.send(from, { kind: "joinAt", leader: state.leader });
    }
}

/** Remembers the leader's name, and makes the next join request due immediately. */
export function onJoinAt(state: AgreementState, leader: string): void {
    const name = nameOf(leader);
    if (!state.knownLeaderNames.has(name)) {
        state.knownLeaderNames.add(name);
        state.nextJoinAt = state.now;
    }
}

/**
 * Sends join requests if this replica isn't a member, or may have been removed without being notified: if a disk that
 * was considered lost comes back, its log still has this replica as a voter, but no member sends it any messages.
 */
export function requestToJoin(state: AgreementState): void {
    const { voters, learners } = state.log.membership;
    state.nextJoinAt = state.now + state.electionTimeout;
    const leaderSilent =
        state.now - Math.max(state.leaderContactAt, state.silentUntil) > rejoinAfterTimeouts * state.electionTimeout;
    if (leaderSilent || (!voters.includes(state.self) && !learners.includes(state.self))) {
        const names = new Set([...state.options.peers(), ...state.knownLeaderNames, ...voters.map(nameOf)]);
        names.delete(nameOf(state.self));
        names.forEach(name => state.send(name, { kind: "join" }));
    }
}

function dueMembershipChange(state: AgreementState, leadership: Leadership): Membership | undefined {
    const voters = canChangeVoters(state, leadership)
        ? removeReplacedVoter(state, leadership) ?? removeSilentVoter(state, leadership)
            ?? promoteLearner(state, leadership)
        : undefined;
    return voters ?? addLearner(state, leadership) ?? removeSilentLearner(state, leadership);
}

/**
 * Whether the set of voters may change now. A daemon that extends its view lease because voters refused its connections
 * counts the voters that it last knew of, and allows for one change since then. After two changes within one lease, a
 * quorum could consist of voters that it doesn't know, and accept a configuration change while the daemon still starts
 * work under the old configuration. So the voters don't change for a whole view lease after each change, and after an
 * election, since the previous leader may have just made a change.
 */
function canChangeVoters(state: AgreementState, leadership: Leadership): boolean {
    const { viewLease, clockDrift } = state.options.timing;
    const since = leadership.votersUnchangedSince;
    return since !== undefined && state.now - since >= viewLease * (1 + clockDrift);
}

/** Adds a replica that sent a join request, as a learner. */
function addLearner(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    for (const identity of leadership.joinRequests) {
        leadership.joinRequests.delete(identity);
        const name = nameOf(identity);
        const isMember = voters.includes(identity) || learners.includes(identity);
        // A second process that runs under a live voter's name by a mistake in the settings must not replace that voter.
        const hasLiveVoter = voters.some(voter => nameOf(voter) === name && isLive(state, leadership, voter));
        if (!isMember && !hasLiveVoter) {
            return { voters, learners: [...learners.filter(learner => nameOf(learner) !== name), identity] };
        }
    }
    return undefined;
}

/** Removes a dead voter once a learner with the same name has caught up. */
function removeReplacedVoter(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    for (const learner of learners.filter(identity => hasCaughtUp(state, leadership, identity))) {
        const replacedVoter = voters.find(voter => nameOf(voter) === nameOf(learner));
        if (replacedVoter !== undefined && !isLive(state, leadership, replacedVoter)) {
            return withLiveQuorum(state, leadership, {
                voters: voters.filter(voter => voter !== replacedVoter),
                learners,
            });
        }
    }
    return undefined;
}

/**
 * Removes a voter that has been silent for a long time if a learner that has caught up is on standby: a machine that
 * is lost permanently never comes back under its name. Without this, a second loss would stop the group although a
 * complete copy is available.
 */
function removeSilentVoter(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { open } = state.options;
    const { voters, learners } = state.log.membership;
    const hasStandby = learners.some(learner => hasCaughtUp(state, leadership, learner));
    if (open === undefined || !hasStandby || voters.length < Math.min(open.voters, minVotersForRemoval)) {
        return undefined;
    }
    const silentVoter = voters.find(voter => isSilent(state, leadership, voter, open.replaceAfter));
    return silentVoter === undefined
        ? undefined
        : withLiveQuorum(state, leadership, { voters: voters.filter(voter => voter !== silentVoter), learners });
}

/** Removes a learner that has been silent for long; otherwise they would accumulate in a group whose machines are often replaced. */
function removeSilentLearner(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { open } = state.options;
    const { voters, learners } = state.log.membership;
    const silentLearner = open
        && learners.find(learner => isSilent(state, leadership, learner, learnerSilenceFactor * open.replaceAfter));
    return silentLearner === undefined
        ? undefined
        : { voters, learners: learners.filter(learner => learner !== silentLearner) };
}

function isSilent(state: AgreementState, leadership: Leadership, identity: string, limit: number): boolean {
    const progress = leadership.progress.get(identity);
    return identity !== state.self && progress !== undefined && state.now - progress.contactAt > limit;
}

/** Promotes a learner that has caught up. Before that, its vote could complete a quorum that lacks committed entries. */
function promoteLearner(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    if (voters.length >= (state.options.open?.voters ?? Number.POSITIVE_INFINITY)) {
        return undefined;
    }
    const caughtUp = learners.find(learner => {
        return hasCaughtUp(state, leadership, learner) && !voters.some(voter => nameOf(voter) === nameOf(learner));
    });
    if (caughtUp === undefined) {
        return undefined;
    }
    const remainingLearners = learners.filter(learner => learner !== caughtUp);
    return withLiveQuorum(state, leadership, { voters: [...voters, caughtUp], learners: remainingLearners });
}

/** Checks that a change can be committed by live voters; otherwise it would wait for one that may never come back. */
function withLiveQuorum(state: AgreementState, leadership: Leadership, next: Membership): Membership {
    const live = next.voters.filter(voter => isLive(state, leadership, voter));
    Invariant.assert(live.length >= quorumSize(next), "live voters form a quorum of each new membership");
    return next;
}

function hasCaughtUp(state: AgreementState, leadership: Leadership, identity: string): boolean {
    const progress = leadership.progress.get(identity);
    return progress !== undefined && progress.matched >= state.committed && isLive(state, leadership, identity);
}

/** Whether a member responded to a message that was sent to it within the last election timeout. */
export function isLive(state: AgreementState, leadership: Leadership, identity: string): boolean {
    if (identity === state.self) {
        return true;
    }
    const progress = leadership.progress.get(identity);
    return progress !== undefined && state.now - progress.contactAt <= state.electionTimeout;
}
