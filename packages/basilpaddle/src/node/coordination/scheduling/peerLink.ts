import type {
    EngineAllocation,
    LoadReport,
    PeerAnswer,
    PeerRequest,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock } from "../../utils/index.js";

/** Time between two probes of a scheduler, sent to detect its loss while a decision is pending or progress is unsent. */
const probeIntervalMilliseconds = 100;
/** Timeout of a probe, a withdrawal or a move. */
const probeTimeoutMilliseconds = 250;
/** Time for which progress is batched before it is sent. */
const batchDelayMilliseconds = 2;
/**
 * Maximum number of progress messages, and of withdrawals, buffered for an unreachable scheduler. Older progress is dropped;
 * load reports correct the scheduler's state.
 */
const maxUnsent = 10_000;
/** Added to a request's remaining time to its deadline to get the timeout of its decision. */
const answerGraceMilliseconds = 1_000;

/** Result of a scheduling request to another daemon: its decision, or why there is none. */
export type RemoteDecision = SchedulingDecision | "unreachable" | "notScheduler";

/** Result of a move at another daemon's scheduler: the new decode engine, undefined if none has a free slot. */
export type RemoteMove = { readonly decode: string | undefined; } | "unreachable";

type PoolProgress = { readonly pool: string; readonly progress: Progress; };

/**
 * Client for the schedulers of one other daemon. Probes the daemon, so that its loss is detected even while requests are
 * queued there for a long time.
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
        const result = new Promise<RemoteDecision>(resolve => this.pending.set(attempt, resolve));
        const abandon = (): void => this.pending.get(attempt)?.("unreachable");
        signal.addEventListener("abort", abandon);
        void this.requestDecision(schedulingRequest);
        this.scheduleProbe(probeIntervalMilliseconds);
        const decision = await result;
        signal.removeEventListener("abort", abandon);
        this.pending.delete(attempt);
        if (decision === "unreachable") {
            this.withdraw(attempt);
        }
        return decision;
    }

    /** Withdraws a request, queued or assigned; retries until the scheduler answers. */
    withdraw(attempt: string): void {
        if (this.unconfirmedWithdrawals.size < maxUnsent) {
            this.unconfirmedWithdrawals.add(attempt);
        }
        void this.sendWithdrawal(attempt);
    }

    /** Requests another decode engine for an allocation whose decode engine is full. */
    async move(allocation: EngineAllocation): Promise<RemoteMove> {
        const request: PeerRequest = { kind: "move", pool: allocation.demand.pool, holding: allocation };
        const answer = await this.link.request(request, probeTimeoutMilliseconds);
        const body = answer.extract() as PeerAnswer;
        return answer.isRight() && body.kind === "moved" ? { decode: body.decode } : "unreachable";
    }

    /** Sends progress; retries until the scheduler answers. */
    progress(pool: string, progress: Progress): void {
        this.unsent.push({ pool, progress });
        if (this.unsent.length > maxUnsent) {
            this.unsent.shift();
        }
        this.scheduleProbe(batchDelayMilliseconds);
    }

    /** Forwards a load report without confirmation; if it is lost, the next one replaces it. */
    load(pool: string, report: LoadReport): void {
        this.link.send({ kind: "load", pool, reports: [report] } satisfies PeerRequest);
    }

    /** Reports a local placement to the scheduler without confirmation; if it is lost, load reports show the used slot. */
    reportLocalAllocation(allocation: EngineAllocation): void {
        this.link.send({ kind: "taken", pool: allocation.demand.pool, holding: allocation } satisfies PeerRequest);
    }

    /** Calls the callback once, after the next answered probe; the returned function unsubscribes. */
    onReachable(callback: () => void): () => void {
        this.reachableCallbacks.add(callback);
        this.scheduleProbe(probeIntervalMilliseconds);
        return () => this.reachableCallbacks.delete(callback);
    }

    /** Queries the daemon for the allocations of its attempts in a pool; undefined if it doesn't answer. */
    async queryAllocations(pool: string, fence: number, timeout: number) {
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
        const settle = this.pending.get(schedulingRequest.attempt);
        const body = answer.extract() as PeerAnswer;
        const decision = answer.isRight() && body.kind === "decision" ? body.decision : undefined;
        if (settle === undefined) {
            // The caller has abandoned the request; unless withdrawn, its engines would stay allocated until this
            // daemon's session ends.
            if (decision?.kind === "assigned") {
                this.withdraw(schedulingRequest.attempt);
            }
            return;
        }
        const isNotScheduler = answer.isRight() && body.kind === "notScheduler";
        settle(decision ?? (isNotScheduler ? "notScheduler" : "unreachable"));
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
        const batch = this.unsent;
        this.unsent = [];
        this.probing = true;
        const answered = await this.sendProgress(batch);
        this.probing = false;
        if (this.closed) {
            return;
        }
        this.reachable = answered;
        if (answered) {
            const callbacks = [...this.reachableCallbacks];
            this.reachableCallbacks.clear();
            callbacks.forEach(callback => callback());
            [...this.unconfirmedWithdrawals].forEach(attempt => void this.sendWithdrawal(attempt));
        }
        else {
            this.unsent = [...batch, ...this.unsent].slice(-maxUnsent);
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

    private async sendProgress(batch: readonly PoolProgress[]): Promise<boolean> {
        const pools = new Set(batch.map(({ pool }) => pool));
        if (pools.size === 0) {
            return this.sendBatch("", []);
        }
        const answers = [...pools].map(pool =>
            this.sendBatch(pool, batch.filter(entry => entry.pool === pool).map(entry => entry.progress))
        );
        return (await Promise.all(answers)).every(answered => answered);
    }

    private async sendBatch(pool: string, progress: Progress[]): Promise<boolean> {
        const request: PeerRequest = { kind: "progress", pool, progress };
        return (await this.link.request(request, probeTimeoutMilliseconds)).isRight();
    }

    private failPending(): void {
        for (const settle of [...this.pending.values()]) {
            settle("unreachable");
        }
    }
}
