import { Invariant } from "../../state/index.js";
import { encodeContent, type Membership, nameOf, quorumOf } from "./entry.js";
import { appendOwn, broadcast } from "./replication.js";
import type { AgreementState, Leadership } from "./state.js";

/** Election timeouts without a word of a leader after which a member asks whether it still is one. */
const unheardTimeouts = 5;
/** Voters below which none is taken out before another has come in: two could not bear the loss of one meanwhile. */
const leastRepairable = 3;
/** Times of silence that a learner is given over a voter: it stands in nobody's way. */
const learnerSilences = 4;

/**
 * Makes the next change of the membership that is due, one at a time. A lost disk is repaired in three steps: its new
 * identity comes in as a learner; once that has caught up, the old identity goes; then the learner becomes a voter.
 * The old one goes first because it can't answer any more: the steps in between need no more live disks than before.
 */
export function manageMembership(state: AgreementState, leadership: Leadership): void {
    // Two changes under way at once, or one before an entry of this term is committed, could give two quorums
    // that don't share a voter.
    const settled = state.committed >= leadership.firstIndex && state.log.membershipIndex <= state.committed;
    if (!settled || leadership.handOverUntil !== undefined) {
        return;
    }
    leadership.votersRestSince ??= state.now;
    const next = nextMembership(state, leadership);
    if (next !== undefined) {
        if (next.voters !== state.log.membership.voters) {
            leadership.votersRestSince = undefined;
        }
        appendOwn(state, leadership, "membership", encodeContent(next));
        broadcast(state, leadership);
    }
}

/** Notes that a replica without a place in the group wants one. */
export function onJoin(state: AgreementState, from: string): void {
    const open = state.options.open !== undefined;
    if (state.leadership !== undefined && (open || state.options.peers().includes(nameOf(from)))) {
        state.leadership.joining.add(from);
    }
    else if (open && state.leader !== undefined && state.leader !== from) {
        // The few members that a new machine knows may all be followers; without this it would never find the leader.
        state.send(from, { kind: "joinAt", leader: state.leader });
    }
}

/** Notes where the leader is. */
export function onJoinAt(state: AgreementState, leader: string): void {
    const name = nameOf(leader);
    if (!state.contacts.has(name)) {
        state.contacts.add(name);
        state.joinAt = state.now;
    }
}

/**
 * Asks for a place in the group where this replica has none, or may have lost it without hearing of it: a disk that
 * was given up for lost and comes back still believes itself a voter, and nobody sends it anything.
 */
export function askToJoin(state: AgreementState): void {
    const { voters, learners } = state.log.membership;
    state.joinAt = state.now + state.timeout;
    const unheard = state.now - Math.max(state.heardAt, state.silentUntil) > unheardTimeouts * state.timeout;
    if (unheard || (!voters.includes(state.self) && !learners.includes(state.self))) {
        const names = new Set([...state.options.peers(), ...state.contacts, ...voters.map(nameOf)]);
        names.delete(nameOf(state.self));
        names.forEach(name => state.send(name, { kind: "join" }));
    }
}

function nextMembership(state: AgreementState, leadership: Leadership): Membership | undefined {
    const voters = votersMayChange(state, leadership)
        ? replaceDead(state, leadership) ?? replaceSilent(state, leadership) ?? promote(state, leadership)
        : undefined;
    return voters ?? admit(state, leadership) ?? dropSilentLearner(state, leadership);
}

/**
 * A daemon whose view lease goes on by refusals counts the voters that it was last told of, and allows for one change
 * since. Two changes within one lease could leave a quorum of voters that it has never heard of: a change of the
 * configuration would be accepted while it still starts work by the old one. So the voters rest for a whole view lease
 * between two changes, and after an election, as the leader before may just have made one.
 */
function votersMayChange(state: AgreementState, leadership: Leadership): boolean {
    const { viewLease, clockDrift } = state.options.timing;
    const since = leadership.votersRestSince;
    return since !== undefined && state.now - since >= viewLease * (1 + clockDrift);
}

/** Takes in a replica that asked, as a learner. */
function admit(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    for (const identity of leadership.joining) {
        leadership.joining.delete(identity);
        const name = nameOf(identity);
        const known = voters.includes(identity) || learners.includes(identity);
        // A second process under a live voter's name, by a mistake in settings, must not push the first one out.
        const ownerLives = voters.some(voter => nameOf(voter) === name && isLive(state, leadership, voter));
        if (!known && !ownerLives) {
            return { voters, learners: [...learners.filter(learner => nameOf(learner) !== name), identity] };
        }
    }
    return undefined;
}

/** Takes the old identity out once the new one of the same name has caught up. */
function replaceDead(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    for (const learner of learners.filter(identity => hasCaughtUp(state, leadership, identity))) {
        const old = voters.find(voter => nameOf(voter) === nameOf(learner));
        if (old !== undefined && !isLive(state, leadership, old)) {
            return carried(state, leadership, { voters: voters.filter(voter => voter !== old), learners });
        }
    }
    return undefined;
}

/**
 * Takes a voter out that has been silent for long while a caught up member stands by: a machine that is gone for good
 * never comes back under its name. Without this a second loss would stop the group, though a whole copy is at hand.
 */
function replaceSilent(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { open } = state.options;
    const { voters, learners } = state.log.membership;
    const standby = learners.some(learner => hasCaughtUp(state, leadership, learner));
    if (open === undefined || !standby || voters.length < Math.min(open.voters, leastRepairable)) {
        return undefined;
    }
    const lost = voters.find(voter => isSilent(state, leadership, voter, open.replaceAfter));
    return lost === undefined
        ? undefined
        : carried(state, leadership, { voters: voters.filter(voter => voter !== lost), learners });
}

/** Forgets a learner that is gone; a group whose machines are replaced again and again would gather them otherwise. */
function dropSilentLearner(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { open } = state.options;
    const { voters, learners } = state.log.membership;
    const gone = open
        && learners.find(learner => isSilent(state, leadership, learner, learnerSilences * open.replaceAfter));
    return gone === undefined ? undefined : { voters, learners: learners.filter(learner => learner !== gone) };
}

function isSilent(state: AgreementState, leadership: Leadership, identity: string, limit: number): boolean {
    const progress = leadership.progress.get(identity);
    return identity !== state.self && progress !== undefined && state.now - progress.contactAt > limit;
}

/** Makes a learner a voter. Before it has caught up its vote could help a quorum that lacks committed entries. */
function promote(state: AgreementState, leadership: Leadership): Membership | undefined {
    const { voters, learners } = state.log.membership;
    if (voters.length >= (state.options.open?.voters ?? Number.POSITIVE_INFINITY)) {
        return undefined;
    }
    const ready = learners.find(learner => {
        return hasCaughtUp(state, leadership, learner) && !voters.some(voter => nameOf(voter) === nameOf(learner));
    });
    if (ready === undefined) {
        return undefined;
    }
    const rest = learners.filter(learner => learner !== ready);
    return carried(state, leadership, { voters: [...voters, ready], learners: rest });
}

/** A change that live voters can't carry would wait for one that may never come back. */
function carried(state: AgreementState, leadership: Leadership, next: Membership): Membership {
    const live = next.voters.filter(voter => isLive(state, leadership, voter));
    Invariant.hold(live.length >= quorumOf(next), "live voters make a quorum of each new membership");
    return next;
}

function hasCaughtUp(state: AgreementState, leadership: Leadership, identity: string): boolean {
    const progress = leadership.progress.get(identity);
    return progress !== undefined && progress.matched >= state.committed && isLive(state, leadership, identity);
}

/** Whether a member answered something that was asked within the last election timeout. */
export function isLive(state: AgreementState, leadership: Leadership, identity: string): boolean {
    if (identity === state.self) {
        return true;
    }
    const progress = leadership.progress.get(identity);
    return progress !== undefined && state.now - progress.contactAt <= state.timeout;
}
