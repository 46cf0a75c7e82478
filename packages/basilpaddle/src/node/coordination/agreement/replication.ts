import { Invariant } from "../../state/index.js";
import { type Entry, quorumSize } from "./entry.js";
import type { MessageOf } from "./message.js";
import { sendChunk } from "./snapshotTransfer.js";
import type { AgreementState, Leadership, Progress } from "./state.js";

/** Maximum bytes of entries in one message; a larger entry is sent alone. */
const maxBatchBytes = 512 * 1024;
const defaultBatchEntries = 1_024;
/** Maximum number of messages with entries that are sent to one member before it answers. */
const maxInFlightMessages = 32;

/** Appends a new entry to the leader's log, and returns its index. */
export function appendAsLeader(
    state: AgreementState,
    leadership: Leadership,
    kind: Entry["kind"],
    data: Uint8Array,
): number {
    const index = state.log.lastIndex + 1;
    state.appendEntry({ index, term: state.term, kind, data });
    trackMembers(state, leadership);
    return index;
}

/** Keeps one `Progress` for each other member of the latest membership. */
function trackMembers(state: AgreementState, leadership: Leadership): void {
    const others = state.others();
    for (const identity of [...leadership.progress.keys()]) {
        if (!others.includes(identity)) {
            leadership.progress.delete(identity);
        }
    }
    for (const identity of others) {
        if (!leadership.progress.has(identity)) {
            leadership.progress.set(identity, {
                next: state.log.lastIndex,
                matched: 0,
                probing: true,
                inFlight: 0,
                answeredRound: 0,
                contactAt: state.now,
                transfer: undefined,
            });
        }
    }
}

/** Starts a round: sends every member a message to answer, whether or not there are entries to send. */
export function broadcast(state: AgreementState, leadership: Leadership): void {
    leadership.round += 1;
    leadership.heartbeatAt = state.now + state.options.timing.heartbeatInterval;
    for (const [identity, progress] of leadership.progress) {
        sendTo(state, leadership, identity, progress, true);
    }
}

/** Sends new entries to every member that is neither being probed nor receiving a snapshot. */
export function replicate(state: AgreementState, leadership: Leadership): void {
    for (const [identity, progress] of leadership.progress) {
        if (!progress.probing && progress.transfer === undefined) {
            sendTo(state, leadership, identity, progress, false);
        }
    }
}

/**
 * Time until which a quorum of voters, this one included, is known to have followed the leader: the send time of the latest
 * messages that they answered.
 */
export function quorumContactAt(state: AgreementState, leadership: Leadership): number {
    return quorumValue(state, identity => {
        return identity === state.self ? state.now : leadership.progress.get(identity)?.contactAt ?? 0;
    });
}

/** Starts a round, and confirms leadership once a quorum has answered it or a later one. */
export function confirmLeadership(state: AgreementState, token: number): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
        state.effect({ kind: "confirmed", token, stillLeading: false });
        return;
    }
    broadcast(state, leadership);
    leadership.confirmations.push({ token, round: leadership.round });
    settleConfirmations(state, leadership);
}

/** Handles entries, or an empty heartbeat, from the leader. */
export function onAppend(state: AgreementState, from: string, message: MessageOf<"append">): void {
    const echoed = { round: message.round, sentAt: message.sentAt, term: state.term };
    const { previous, entries } = message;
    const last = previous.index + entries.length;
    if (last < state.log.base.index) {
        state.sendSynced(from, { kind: "appended", matched: last, ...echoed });
        return;
    }
    if (previous.index >= state.log.base.index && state.log.termAt(previous.index) !== previous.term) {
        Invariant.assert(previous.index > state.committed, "the leader's log contains every committed entry");
        state.sendSynced(from, { kind: "conflict", hint: conflictHint(state, message), ...echoed });
        return;
    }
    entries.forEach(entry => appendReceived(state, entry));
    state.commit(Math.min(message.committed, last));
    state.sendSynced(from, { kind: "appended", matched: last, ...echoed });
}

/** Records that a member's log matches up to an index, and sends it the entries that follow. */
export function onAppended(
    state: AgreementState,
    leadership: Leadership,
    from: string,
    answer: { readonly matched: number; readonly round: number; readonly sentAt: number; },
): void {
    const progress = leadership.progress.get(from);
    if (progress === undefined) {
        return;
    }
    Invariant.assert(answer.matched <= state.log.lastIndex, "a member acknowledges only entries that the leader sent");
    progress.inFlight = Math.max(0, progress.inFlight - 1);
    progress.matched = Math.max(progress.matched, answer.matched);
    progress.next = Math.max(progress.next, progress.matched + 1);
    if (progress.probing) {
        progress.probing = false;
        progress.next = progress.matched + 1;
    }
    if (progress.transfer !== undefined && progress.matched >= progress.transfer.snapshot.description.index) {
        progress.transfer = undefined;
    }
    recordContact(state, leadership, progress, answer);
    advanceCommit(state, leadership);
    if (state.leadership === leadership && progress.transfer === undefined) {
        sendTo(state, leadership, from, progress, false);
    }
}

/** Goes back to the last position at which a member's log may match, and probes there. */
export function onConflict(
    state: AgreementState,
    leadership: Leadership,
    from: string,
    answer: MessageOf<"conflict">,
): void {
    const progress = leadership.progress.get(from);
    if (progress === undefined) {
        return;
    }
    recordContact(state, leadership, progress, answer);
    // A delayed answer must not move back before an index that is known to match.
    if (answer.hint.index < progress.matched || answer.hint.index >= progress.next) {
        return;
    }
    let matchingIndex = Math.min(answer.hint.index, state.log.lastIndex);
    while (matchingIndex > state.log.base.index && state.log.termAt(matchingIndex)! > answer.hint.term) {
        matchingIndex -= 1;
    }
    if (matchingIndex === state.log.base.index && state.log.base.term > answer.hint.term) {
        // No entry left in the log matches: the next entry to send is covered by the snapshot.
        matchingIndex -= 1;
    }
    progress.next = Math.max(matchingIndex, progress.matched) + 1;
    progress.probing = true;
    progress.inFlight = 0;
    sendTo(state, leadership, from, progress, true);
}

/** Commits up to the last entry that a quorum has synced, if that entry is of this term. */
export function advanceCommit(state: AgreementState, leadership: Leadership): void {
    const syncedByQuorum = quorumValue(state, identity => {
        return identity === state.self ? state.syncedIndex : leadership.progress.get(identity)?.matched ?? 0;
    });
    if (syncedByQuorum > state.committed && state.log.termAt(syncedByQuorum) === state.term) {
        state.commit(syncedByQuorum);
    }
}

/** Records an answer: the send time of the message that it answers, and its round. */
export function recordContact(
    state: AgreementState,
    leadership: Leadership,
    progress: Progress,
    answer: { readonly round: number; readonly sentAt: number; },
): void {
    progress.contactAt = Math.max(progress.contactAt, answer.sentAt);
    progress.answeredRound = Math.max(progress.answeredRound, answer.round);
    settleConfirmations(state, leadership);
}

/** The highest value that a quorum of the voters has reached. */
function quorumValue(state: AgreementState, valueOf: (identity: string) => number): number {
    const membership = state.log.membership;
    const values = membership.voters.map(valueOf).sort((one, other) => other - one);
    return values[quorumSize(membership) - 1] ?? 0;
}

function settleConfirmations(state: AgreementState, leadership: Leadership): void {
    const answeredByQuorum = quorumValue(state, identity => {
        return identity === state.self ? leadership.round : leadership.progress.get(identity)?.answeredRound ?? 0;
    });
    const confirmedRequests = leadership.confirmations.filter(({ round }) => round <= answeredByQuorum);
    leadership.confirmations = leadership.confirmations.filter(({ round }) => round > answeredByQuorum);
    confirmedRequests.forEach(({ token }) => state.effect({ kind: "confirmed", token, stillLeading: true }));
}

function sendTo(
    state: AgreementState,
    leadership: Leadership,
    identity: string,
    progress: Progress,
    sendEmpty: boolean,
): void {
    if (progress.transfer !== undefined || progress.next <= state.log.base.index) {
        sendChunk(state, leadership, identity, progress);
        return;
    }
    const limit = state.options.batchEntries ?? defaultBatchEntries;
    let sent = !sendEmpty;
    while (progress.next <= state.log.lastIndex && progress.inFlight < maxInFlightMessages) {
        const entries = state.log.batch(progress.next, maxBatchBytes, limit);
        sendAppend(state, leadership, identity, progress.next - 1, entries);
        sent = true;
        if (progress.probing) {
            return;
        }
        progress.next += entries.length;
        progress.inFlight += 1;
    }
    if (!sent) {
        sendAppend(state, leadership, identity, progress.next - 1, []);
    }
}

function sendAppend(
    state: AgreementState,
    leadership: Leadership,
    identity: string,
    previousIndex: number,
    entries: Entry[],
): void {
    state.send(identity, {
        kind: "append",
        term: state.term,
        previous: { index: previousIndex, term: state.log.termAt(previousIndex)! },
        entries,
        committed: state.committed,
        round: leadership.round,
        sentAt: state.now,
    });
}

function appendReceived(state: AgreementState, entry: Entry): void {
    if (entry.index <= state.log.base.index) {
        return;
    }
    const term = state.log.termAt(entry.index);
    if (term === entry.term) {
        return;
    }
    if (term !== undefined) {
        state.truncate(entry.index);
    }
    state.appendEntry(entry);
}

/** The last position at which this log may match one that contains the previous entry of the message. */
function conflictHint(state: AgreementState, message: MessageOf<"append">): { index: number; term: number; } {
    let index = Math.min(message.previous.index, state.log.lastIndex);
    while (index > state.log.base.index && state.log.termAt(index)! > message.previous.term) {
        index -= 1;
    }
    return { index, term: state.log.termAt(index)! };
}
