/**
 * Decides until when an entry daemon may start work based on the view that it has applied.
 *
 * Invariant: while the lease is valid, the view contains every change that was answered `accepted`. For a lease that is
 * confirmed as of time x this follows from: no change missing from the view is accepted before x + viewLease.
 *
 * Confirmation by a majority. Every counted voter answered a request sent at x and reported that its log contains no
 * view command newer than the view. A missing change needs a majority as well, so one counted voter appended it after
 * its answer: it was committed after x, and the leader waits viewLease × (1 + clockDrift) from the commit before it
 * accepts. Memberships change by one voter at a time and an answer names the newest one in the log, committed or not,
 * so a majority of the named membership and a majority of the next one share a voter.
 *
 * Extension by refusals. The lease was confirmed as of w, and a majority of the voters refused connections between the
 * request, sent at x, and now < w + viewLease: each of their processes was down at some time after x. Up to now no missing
 * change was accepted, because of the confirmation as of w. From now on each commit, vote and confirmation of leadership
 * needs one of the refusing voters, and each of them sends nothing for 2 × electionTimeout after it starts.
 * That is longer than `refusalWindow` plus electionTimeout, so a leader elected before x has stepped down before the
 * first of them takes part again, and a leader elected after x waits a whole view lease before it accepts a change. This
 * also requires membership changes to be at least a view lease apart: then at most one membership is in use that the
 * named voters don't report, and since a majority of the named voters refused, not just a blocking minority, each quorum
 * of that membership contains a refusing voter too.
 */

/** State of one control daemon as reported in its answer to a poll. */
export type VoterAnswer = {
    readonly voter: string;
    readonly voting: boolean;
    /** Voters of the newest membership in its log, committed or not. */
    readonly voters: readonly string[];
    /** Index of the newest view command in its log, committed or not. */
    readonly appendedView: number;
};

/** Reason why the lease allows no new work. */
export type LeaseBlocker =
    /** No view has been confirmed yet. */
    | { readonly kind: "neverConfirmed"; }
    /** The log of a voter contains a newer view command than this daemon has applied. */
    | { readonly kind: "behind"; readonly applied: number; readonly appended: number; }
    /** Too few voters answered or refused within the lease duration. */
    | { readonly kind: "noMajority"; readonly answered: number; readonly refused: number; };

/** State of the lease at one point in time. */
export type LeaseStatus = {
    /** Monotonic milliseconds at which the lease expires; undefined if it was never confirmed. */
    readonly confirmedUntil: number | undefined;
    /** Undefined while the lease is valid. */
    readonly blocker: LeaseBlocker | undefined;
};

type Round = {
    readonly sentAt: number;
    readonly answers: Map<string, VoterAnswer>;
    readonly refused: Set<string>;
};

/** Maximum time from a request to a refusal that still counts for its round. */
const maxRefusalWindowMilliseconds = 200;
/**
 * Maximum refusal window, in election timeouts. A restarted voter sends nothing for 2 × electionTimeout, and most of that
 * time must remain for the old leader to step down.
 */
const maxRefusalWindowFraction = 0.25;

/** State machine of the view lease. Uses no clock and no network; all times are monotonic milliseconds of this host. */
export class ViewLease {
    private readonly rounds = new Map<number, Round>();
    private confirmedAt: number | undefined;
    private confirmedVoters: readonly string[] = [];
    private appliedIndex = 0;

    private constructor(
        private readonly viewLease: number,
        private readonly refusalWindow: number,
    ) {}

    static create(timing: { readonly viewLease: number; readonly electionTimeout: number; }): ViewLease {
        const window = Math.min(maxRefusalWindowMilliseconds, timing.electionTimeout * maxRefusalWindowFraction);
        return new ViewLease(timing.viewLease, window);
    }

    /** Starts a round of requests with a new number. Its answers confirm the view as of `sentAt`, however late they arrive. */
    startRound(roundNumber: number, sentAt: number): void {
        for (const [number, previousRound] of this.rounds) {
            if (previousRound.sentAt + this.viewLease <= sentAt) {
                this.rounds.delete(number);
            }
        }
        this.rounds.set(roundNumber, { sentAt, answers: new Map(), refused: new Set() });
    }

    /** Records the answer of a control daemon to a request of the round. */
    recordAnswer(roundNumber: number, answer: VoterAnswer): void {
        const round = this.rounds.get(roundNumber);
        if (round === undefined) {
            return;
        }
        round.answers.set(answer.voter, answer);
        this.confirmByMajority(round);
    }

    /** Records that the voter's host refused a connection for a request of the round; ignored after the refusal window. */
    recordRefusal(roundNumber: number, voter: string, at: number): void {
        const round = this.rounds.get(roundNumber);
        if (round === undefined || at > round.sentAt + this.refusalWindow) {
            return;
        }
        round.refused.add(voter);
        this.extendByRefusals(round, at);
    }

    /**
     * Records that the view has been applied up to the index. Earlier answers that reported an index up to this one now
     * count.
     */
    recordApplied(index: number): void {
        if (index <= this.appliedIndex) {
            return;
        }
        this.appliedIndex = index;
        for (const round of [...this.rounds.values()]) {
            this.confirmByMajority(round);
        }
    }

    /** Whether the lease is valid at the given time. */
    isValid(now: number): boolean {
        return this.confirmedAt !== undefined && now < this.confirmedAt + this.viewLease;
    }

    /** State of the lease at the given time, with the reason if it is not valid. */
    status(now: number): LeaseStatus {
        return {
            confirmedUntil: this.confirmedAt === undefined ? undefined : this.confirmedAt + this.viewLease,
            blocker: this.isValid(now) ? undefined : this.findBlocker(),
        };
    }

    private confirmByMajority(round: Round): void {
        for (const answer of round.answers.values()) {
            if (this.majorityConfirms(answer.voters, round)) {
                this.confirm(round.sentAt, answer.voters);
                return;
            }
        }
    }

    private majorityConfirms(voters: readonly string[], round: Round): boolean {
        let counted = 0;
        for (const answer of round.answers.values()) {
            if (voters.includes(answer.voter) && this.isCounted(answer, voters)) {
                counted++;
            }
        }
        return isMajority(counted, voters);
    }

    private isCounted(answer: VoterAnswer, voters: readonly string[]): boolean {
        return answer.voting && answer.appendedView <= this.appliedIndex && sameVoters(answer.voters, voters);
    }

    private extendByRefusals(round: Round, at: number): void {
        // Refusals must not extend an expired lease: a change may have been accepted since it expired.
        if (!this.isValid(at)) {
            return;
        }
        const voters = this.confirmedVoters;
        const refused = voters.filter(voter => round.refused.has(voter)).length;
        if (!isMajority(refused, voters)) {
            return;
        }
        for (const answer of round.answers.values()) {
            const isRelevant = answer.voting || voters.includes(answer.voter);
            if (isRelevant && !this.isCounted(answer, voters)) {
                return;
            }
        }
        this.confirm(round.sentAt, voters);
    }

    private confirm(sentAt: number, voters: readonly string[]): void {
        if (this.confirmedAt !== undefined && sentAt <= this.confirmedAt) {
            return;
        }
        this.confirmedAt = sentAt;
        this.confirmedVoters = voters;
        for (const [number, round] of this.rounds) {
            if (round.sentAt < sentAt) {
                this.rounds.delete(number);
            }
        }
    }

    private findBlocker(): LeaseBlocker {
        const rounds = [...this.rounds.values()];
        const appended = Math.max(0, ...rounds.flatMap(round => [...round.answers.values()].map(a => a.appendedView)));
        if (appended > this.appliedIndex) {
            return { kind: "behind", applied: this.appliedIndex, appended };
        }
        if (this.confirmedAt === undefined) {
            return { kind: "neverConfirmed" };
        }
        const latestRound = rounds.at(-1);
        return {
            kind: "noMajority",
            answered: latestRound?.answers.size ?? 0,
            refused: latestRound?.refused.size ?? 0,
        };
    }
}

function isMajority(count: number, voters: readonly string[]): boolean {
    return voters.length > 0 && count * 2 > voters.length;
}

function sameVoters(first: readonly string[], second: readonly string[]): boolean {
    return first.length === second.length && first.every(voter => second.includes(voter));
}
