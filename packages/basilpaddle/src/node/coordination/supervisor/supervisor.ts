import type { Command, Incarnation, Timing, View } from "../../protocol/index.js";
import { AppliedIndexHistory } from "./appliedIndexHistory.js";
import { leaseGrants, leaseReleases } from "./leaseCommands.js";
import { backendKey, LivenessTable, sessionKey } from "./livenessTable.js";
import { SilenceDetector } from "./silenceDetector.js";

/** Input of one step of the supervisor. */
export type SupervisorInput = {
    readonly view: View;
    /** Monotonic milliseconds at which this control daemon became leader; undefined while it doesn't lead. */
    readonly leadingSince: number | undefined;
    /** Monotonic and wall milliseconds. */
    readonly now: number;
    readonly wall: number;
    /** Log index of the last command that this control daemon applied. */
    readonly applied: number;
    /** Whether there is a run record that started at or below the log index. */
    readonly hasRunsUpTo: (index: number) => boolean;
};

/** Minimum retention time of a run record: two hours. */
export const runRecordRetentionMilliseconds = 7_200_000;
/** Interval at which expired run records are deleted. */
const expiryIntervalMilliseconds = 5_000;
/** Fraction of the session timeout within which a daemon must have sent a heartbeat to be granted a lease. */
const candidateTimeoutFraction = 0.5;
/** If the time between two steps exceeds this fraction of the shorter timeout, the measurement of silence restarts. */
const gapTimeoutFraction = 0.5;
/**
 * Fraction of the open sessions with recent heartbeats that is required to treat the silence of backend servers as their
 * end.
 */
const requiredSessionFraction = 0.5;

/**
 * The leader's periodic tasks: closes silent sessions, marks silent backend servers as gone, grants and releases leases, and
 * expires old run records. It is deterministic: the same heartbeats and inputs produce the same commands.
 */
export class Supervisor {
    private readonly sessionSilence = SilenceDetector.create();
    private readonly backendSilence = SilenceDetector.create();
    private readonly appliedHistory = AppliedIndexHistory.create(runRecordRetentionMilliseconds);
    private observedLeadingSince: number | undefined;
    private lastStepAt = Number.NEGATIVE_INFINITY;
    private lastExpiryAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly name: string,
        private readonly timing: Pick<Timing, "sessionTimeout" | "backendTimeout">,
        private readonly liveness: LivenessTable,
    ) {}

    /** `name`: of the control daemon, written into the marks of backend servers. */
    static create(
        name: string,
        timing: Pick<Timing, "sessionTimeout" | "backendTimeout">,
        liveness: LivenessTable,
    ): Supervisor {
        return new Supervisor(name, timing, liveness);
    }

    /** Returns the commands that are due now. They are idempotent: proposing one of them twice does no harm. */
    step(input: SupervisorInput): readonly Command[] {
        const { view, leadingSince, now, wall } = input;
        this.appliedHistory.record(input.applied, now);
        this.liveness.prune(now - this.timing.sessionTimeout - this.timing.backendTimeout);
        if (leadingSince === undefined) {
            this.observedLeadingSince = undefined;
            return [];
        }
        this.restartSilenceAfterGap(leadingSince, now);
        this.lastStepAt = now;
        const silent = this.silentSessions(view, now);
        return [
            ...silent.map((session): Command => ({ kind: "closeSession", session, reason: "silent", at: wall })),
            ...this.lostBackendCommands(view, now, wall),
            ...leaseReleases(view, wall),
            ...leaseGrants(view, this.candidates(view, silent, now), wall),
            ...this.runExpiryCommands(input),
        ];
    }

    /**
     * Restarts the measurement of silence after an election or a pause of this process: a new leader, or one that was frozen,
     * received no heartbeats meanwhile although they were sent. Otherwise its first step would close every session and mark
     * every backend server as gone, and the whole deployment would stop.
     */
    private restartSilenceAfterGap(leadingSince: number, now: number): void {
        const { sessionTimeout, backendTimeout } = this.timing;
        const hadGap = now - this.lastStepAt > gapTimeoutFraction * Math.min(sessionTimeout, backendTimeout);
        if (hadGap || this.observedLeadingSince !== leadingSince) {
            this.sessionSilence.reset();
            this.backendSilence.reset();
            this.observedLeadingSince = leadingSince;
        }
    }

    private silentSessions(view: View, now: number): readonly Incarnation[] {
        const sessions = Object.values(view.sessions).map(({ session }) => session);
        const lastHeartbeats = new Map(sessions.map(each => [sessionKey(each), this.liveness.session(each)?.heardAt]));
        const silent = this.sessionSilence.silentKeys(lastHeartbeats, this.timing.sessionTimeout, now);
        return sessions.filter(session => silent.has(sessionKey(session)));
    }

    private lostBackendCommands(view: View, now: number, at: number): Command[] {
        // Entry daemons forward the heartbeats of backend servers. A leader that is partitioned from most entry daemons
        // receives none, although the backend servers are still serving.
        if (!this.receivesFromMostSessions(view, now)) {
            this.backendSilence.reset();
        }
        const listed = Object.values(view.backends)
            .filter(({ state }) => state !== "gone")
            .map(({ announcement }) => announcement);
        const lastHeartbeats = new Map(
            listed.map(({ id, incarnation }) => [backendKey(id, incarnation), this.liveness.backend(id, incarnation)]),
        );
        const silent = this.backendSilence.silentKeys(lastHeartbeats, this.timing.backendTimeout, now);
        return listed
            .filter(({ id, incarnation }) => silent.has(backendKey(id, incarnation)))
            .map(({ id, incarnation }) => ({ kind: "markBackend", id, incarnation, mark: "gone", by: this.name, at }));
    }

    private receivesFromMostSessions(view: View, now: number): boolean {
        const openCount = Object.keys(view.sessions).length;
        return openCount > 0 && this.candidates(view, [], now).length >= requiredSessionFraction * openCount;
    }

    private candidates(view: View, silent: readonly Incarnation[], now: number): Incarnation[] {
        const closingSessions = new Set(silent.map(sessionKey));
        const earliestHeartbeat = now - candidateTimeoutFraction * this.timing.sessionTimeout;
        return Object.values(view.sessions)
            .map(({ session }) => session)
            .filter(session => !closingSessions.has(sessionKey(session)))
            .filter(session =>
                (this.liveness.session(session)?.heardAt ?? Number.NEGATIVE_INFINITY) >= earliestHeartbeat
            );
    }

    private runExpiryCommands({ now, wall, hasRunsUpTo }: SupervisorInput): Command[] {
        if (now - this.lastExpiryAt < expiryIntervalMilliseconds) {
            return [];
        }
        this.lastExpiryAt = now;
        const upTo = this.appliedHistory.appliedBeforeRetention(now);
        return upTo !== undefined && hasRunsUpTo(upTo) ? [{ kind: "expireRuns", upTo, at: wall }] : [];
    }
}
