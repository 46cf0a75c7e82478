import type {
    EngineHolding,
    LoadReport,
    PeerAnswer,
    PeerRequest,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock } from "../../utils/index.js";

/** Time between two probes of a scheduler, sent to detect its loss while an answer or unsent progress is outstanding. */
const probeIntervalMilliseconds = 100;
/** Timeout of a probe, a withdrawal or a move. */
const probeTimeoutMilliseconds = 250;
/** Time for which progress is batched before it is sent. */
const batchDelayMilliseconds = 2;
/**
 * Upper bound of the progress, and of the withdrawals, buffered for an unreachable scheduler. Older progress is dropped;
 * load reports correct the scheduler's state.
 */
const unsentLimit = 10_000;
/** Time beyond a request's deadline for which its decision is awaited. */
const answerGraceMilliseconds = 1_000;

/** Result of a scheduling request to another daemon. */
export type RemoteDecision = SchedulingDecision | "unreachable" | "notScheduler";

/** Result of a move at another daemon's scheduler: the new decode engine, undefined if none has a free slot. */
export type RemoteMove = { readonly decode: string | undefined; } | "unreachable";

type PoolProgress = { readonly pool: string; readonly progress: Progress; };

/**
 * Client for the schedulers of one other daemon. Probes it, so that its loss is detected even while requests are queued
 * there for long.
 */
export class PeerLink {
    private readonly pending = new Map<string, (decision: RemoteDecision) => void>();
    private unsent: PoolProgress[] = [];
    /** Attempts whose withdrawal wasn't confirmed yet. */
    private readonly unconfirmedWithdrawals = new Set<string>();
    private readonly reachableCallbacks = new Set<() => void>();
    private reachable = true;
    private probing = false;
    private closed = false;
    private cancelTimer: (() => void) | undefined;

    private constructor(private readonly link: Link, private readonly clock: Clock) {}

    static create(link: Link, clock: Clock): PeerLink {
        return new PeerLink(link, clock);
    }

    /** Whether the last message was answered. */
    isReachable(): boolean {
        return this.reachable;
    }

    /** Requests engines. An assignment that arrives after the request was abandoned is withdrawn. */
    async reserve(schedulingRequest: SchedulingRequest, signal: AbortSignal): Promise<RemoteDecision> {
        if (!this.reachable) {
            this.scheduleProbe(0);
            return "unreachable";
        }
        const { attempt } = schedulingRequest;
        const given = new Promise<RemoteDecision>(resolve => this.pending.set(attempt, resolve));
        const giveUp = (): void => this.pending.get(attempt)?.("unreachable");
        signal.addEventListener("abort", giveUp);
        void this.requestDecision(schedulingRequest);
        this.scheduleProbe(probeIntervalMilliseconds);
        const decision = await given;
        signal.removeEventListener("abort", giveUp);
        this.pending.delete(attempt);
        if (decision === "unreachable") {
            this.withdraw(attempt);
        }
        return decision;
    }

    /** Withdraws a request, queued or assigned; retries until the scheduler answers. */
    withdraw(attempt: string): void {
        if (this.unconfirmedWithdrawals.size < unsentLimit) {
            this.unconfirmedWithdrawals.add(attempt);
        }
        void this.sendWithdrawal(attempt);
    }

    /** Requests another decode engine for a holding whose engine is full. */
    async move(holding: EngineHolding): Promise<RemoteMove> {
        const request: PeerRequest = { kind: "move", pool: holding.demand.pool, holding };
        const answer = await this.link.request(request, probeTimeoutMilliseconds);
        const body = answer.extract() as PeerAnswer;
        return answer.isRight() && body.kind === "moved" ? { decode: body.decode } : "unreachable";
    }

    /** Sends progress; retries until the scheduler answers. */
    progress(pool: string, progress: Progress): void {
        this.unsent.push({ pool, progress });
        if (this.unsent.length > unsentLimit) {
            this.unsent.shift();
        }
        this.scheduleProbe(batchDelayMilliseconds);
    }

    /** Forwards a load report without confirmation; a lost one is superseded by the next. */
    load(pool: string, report: LoadReport): void {
        this.link.send({ kind: "load", pool, reports: [report] } satisfies PeerRequest);
    }

    /** Reports a local placement to the scheduler without confirmation; if it is lost, load reports show the used slot. */
    reportLocalHolding(holding: EngineHolding): void {
        this.link.send({ kind: "taken", pool: holding.demand.pool, holding } satisfies PeerRequest);
    }

    /** Calls back once after the next answered probe; the returned function unsubscribes. */
    onReachable(callback: () => void): () => void {
        this.reachableCallbacks.add(callback);
        this.scheduleProbe(probeIntervalMilliseconds);
        return () => this.reachableCallbacks.delete(callback);
    }

    /** The holdings of the daemon's attempts in a pool; undefined without an answer. */
    async holdings(pool: string, fence: number, timeout: number) {
        const answer = await this.link.request({ kind: "holdings", pool, fence } satisfies PeerRequest, timeout);
        const body = answer.extract() as PeerAnswer;
        return answer.isRight() && body.kind === "held" ? body.holdings : undefined;
    }

    close(): void {
        this.closed = true;
        this.cancelTimer?.();
        this.failPending();
        this.link.close();
    }

    private async requestDecision(schedulingRequest: SchedulingRequest): Promise<void> {
        const request: PeerRequest = { kind: "reserve", demand: schedulingRequest };
        const answer = await this.link.request(request, schedulingRequest.deadlineWithin + answerGraceMilliseconds);
        const waiting = this.pending.get(schedulingRequest.attempt);
        const body = answer.extract() as PeerAnswer;
        const decision = answer.isRight() && body.kind === "decision" ? body.decision : undefined;
        if (waiting === undefined) {
            // The caller gave up; unless withdrawn, the assignment would hold its engines until this daemon's session ends.
            if (decision?.kind === "assigned") {
                this.withdraw(schedulingRequest.attempt);
            }
            return;
        }
        const isElsewhere = answer.isRight() && body.kind === "notScheduler";
        waiting(decision ?? (isElsewhere ? "notScheduler" : "unreachable"));
    }

    private scheduleProbe(milliseconds: number): void {
        if (this.closed || this.probing || this.cancelTimer !== undefined) {
            return;
        }
        this.cancelTimer = this.clock.after(milliseconds, () => {
            this.cancelTimer = undefined;
            void this.probe();
        });
    }

    private async probe(): Promise<void> {
        const sending = this.unsent;
        this.unsent = [];
        this.probing = true;
        const answered = await this.sendProgress(sending);
        this.probing = false;
        if (this.closed) {
            return;
        }
        this.reachable = answered;
        if (answered) {
            const waiting = [...this.reachableCallbacks];
            this.reachableCallbacks.clear();
            waiting.forEach(callback => callback());
            [...this.unconfirmedWithdrawals].forEach(attempt => void this.sendWithdrawal(attempt));
        }
        else {
            this.unsent = [...sending, ...this.unsent].slice(-unsentLimit);
            this.failPending();
        }
        if (this.unsent.length > 0 && answered) {
            this.scheduleProbe(batchDelayMilliseconds);
        }
        else if (this.unsent.length > 0 || this.pending.size > 0 || !answered) {
            this.scheduleProbe(probeIntervalMilliseconds);
        }
    }

    private async sendWithdrawal(attempt: string): Promise<void> {
        const answer = await this.link.request(
            { kind: "withdraw", attempt } satisfies PeerRequest,
            probeTimeoutMilliseconds,
        );
        if (answer.isRight()) {
            this.unconfirmedWithdrawals.delete(attempt);
        }
        else {
            this.scheduleProbe(probeIntervalMilliseconds);
        }
    }

    private async sendProgress(sending: readonly PoolProgress[]): Promise<boolean> {
        const pools = new Set(sending.map(({ pool }) => pool));
        if (pools.size === 0) {
            return this.sendBatch("", []);
        }
        const answers = [...pools].map(pool =>
            this.sendBatch(pool, sending.filter(one => one.pool === pool).map(one => one.progress))
        );
        return (await Promise.all(answers)).every(answered => answered);
    }

    private async sendBatch(pool: string, progress: Progress[]): Promise<boolean> {
        const request: PeerRequest = { kind: "progress", pool, progress };
        return (await this.link.request(request, probeTimeoutMilliseconds)).isRight();
    }

    private failPending(): void {
        for (const giveUp of [...this.pending.values()]) {
            giveUp("unreachable");
        }
    }
}
