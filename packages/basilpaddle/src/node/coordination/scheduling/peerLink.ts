import type { Decision, Demand, Holding, LoadReport, PeerAnswer, PeerRequest, Progress } from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock } from "../../utils/index.js";

/** Milliseconds between two messages to a scheduler while it owes something, so that its loss is noticed. */
const probeInterval = 100;
/** Milliseconds for the answer to one of them. */
const probeTimeout = 250;
/** Milliseconds for which progress is gathered before it is sent. */
const gatherTime = 2;
/** Progress that may wait for a scheduler out of reach; older is dropped, and load reports make up for it. */
const progressLimit = 10_000;
/** Milliseconds beyond the deadline of a demand for which its answer is awaited. */
const answerGrace = 1_000;

/** What a scheduler on another daemon made of a demand. */
export type RemoteDecision = Decision | "unreachable" | "notScheduler";

/** Another decode engine, if one has a free slot. */
export type RemoteMove = { readonly decode: string | undefined; } | "unreachable";

type PoolProgress = { readonly pool: string; readonly progress: Progress; };

/** The way to one other daemon's schedulers. Tells soon when they are out of reach, though a demand may wait there for long. */
export class PeerLink {
    private readonly pending = new Map<string, (decision: RemoteDecision) => void>();
    private unsent: PoolProgress[] = [];
    /** Demands handed back whose return wasn't confirmed yet. */
    private readonly owed = new Set<string>();
    private readonly waitingForAnswer = new Set<() => void>();
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

    /** Asks for engines. What is assigned after the answer was given up is handed back. */
    async reserve(demand: Demand, signal: AbortSignal): Promise<RemoteDecision> {
        if (!this.reachable) {
            this.schedule(0);
            return "unreachable";
        }
        const { attempt } = demand;
        const given = new Promise<RemoteDecision>(resolve => this.pending.set(attempt, resolve));
        const giveUp = (): void => this.pending.get(attempt)?.("unreachable");
        signal.addEventListener("abort", giveUp);
        void this.ask(demand);
        this.schedule(probeInterval);
        const decision = await given;
        signal.removeEventListener("abort", giveUp);
        this.pending.delete(attempt);
        if (decision === "unreachable") {
            this.withdraw(attempt);
        }
        return decision;
    }

    /** Hands a demand back, wherever it has got to; tries again until it was answered. */
    withdraw(attempt: string): void {
        if (this.owed.size < progressLimit) {
            this.owed.add(attempt);
        }
        void this.sendWithdrawal(attempt);
    }

    /** Asks for another decode engine for a holding whose engine is full. */
    async move(holding: Holding): Promise<RemoteMove> {
        const request: PeerRequest = { kind: "move", pool: holding.demand.pool, holding };
        const answer = await this.link.request(request, probeTimeout);
        const body = answer.extract() as PeerAnswer;
        return answer.isRight() && body.kind === "moved" ? { decode: body.decode } : "unreachable";
    }

    /** Passes progress on; tries again until it was answered. */
    progress(pool: string, progress: Progress): void {
        this.unsent.push({ pool, progress });
        if (this.unsent.length > progressLimit) {
            this.unsent.shift();
        }
        this.schedule(gatherTime);
    }

    /** Passes a load report on; it may get lost, the next one makes up for it. */
    load(pool: string, report: LoadReport): void {
        this.link.send({ kind: "load", pool, reports: [report] } satisfies PeerRequest);
    }

    /** Tells a scheduler what was taken without it; it may get lost, load reports make up for it. */
    taken(holding: Holding): void {
        this.link.send({ kind: "taken", pool: holding.demand.pool, holding } satisfies PeerRequest);
    }

    /** Calls back once, when the daemon has answered again; the returned function takes that back. */
    onReachable(callback: () => void): () => void {
        this.waitingForAnswer.add(callback);
        this.schedule(probeInterval);
        return () => this.waitingForAnswer.delete(callback);
    }

    /** What the daemon holds in a pool; undefined without an answer. */
    async holdings(pool: string, fence: number, timeout: number) {
        const answer = await this.link.request({ kind: "holdings", pool, fence } satisfies PeerRequest, timeout);
        const body = answer.extract() as PeerAnswer;
        return answer.isRight() && body.kind === "held" ? body.holdings : undefined;
    }

    close(): void {
        this.closed = true;
        this.cancelTimer?.();
        this.fail();
        this.link.close();
    }

    private async ask(demand: Demand): Promise<void> {
        const request: PeerRequest = { kind: "reserve", demand };
        const answer = await this.link.request(request, demand.deadlineWithin + answerGrace);
        const waiting = this.pending.get(demand.attempt);
        const body = answer.extract() as PeerAnswer;
        const decision = answer.isRight() && body.kind === "decision" ? body.decision : undefined;
        if (waiting === undefined) {
            // Nobody uses it any more; unreturned it would hold its engines until the owner's session ends.
            if (decision?.kind === "assigned") {
                this.withdraw(demand.attempt);
            }
            return;
        }
        const isElsewhere = answer.isRight() && body.kind === "notScheduler";
        waiting(decision ?? (isElsewhere ? "notScheduler" : "unreachable"));
    }

    private schedule(milliseconds: number): void {
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
            const waiting = [...this.waitingForAnswer];
            this.waitingForAnswer.clear();
            waiting.forEach(callback => callback());
            [...this.owed].forEach(attempt => void this.sendWithdrawal(attempt));
        }
        else {
            this.unsent = [...sending, ...this.unsent].slice(-progressLimit);
            this.fail();
        }
        if (this.unsent.length > 0 && answered) {
            this.schedule(gatherTime);
        }
        else if (this.unsent.length > 0 || this.pending.size > 0 || !answered) {
            this.schedule(probeInterval);
        }
    }

    private async sendWithdrawal(attempt: string): Promise<void> {
        const answer = await this.link.request({ kind: "withdraw", attempt } satisfies PeerRequest, probeTimeout);
        if (answer.isRight()) {
            this.owed.delete(attempt);
        }
        else {
            this.schedule(probeInterval);
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
        return (await this.link.request(request, probeTimeout)).isRight();
    }

    private fail(): void {
        for (const giveUp of [...this.pending.values()]) {
            giveUp("unreachable");
        }
    }
}
