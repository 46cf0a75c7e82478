import type {
    EngineHolding,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import type { Cluster } from "./cluster.js";
import { engineModel, type Load } from "./deployments.js";
import type { DecodeEngine, PrefillEngine } from "./engines.js";
import type { Outcome, Waste } from "./measures.js";
import type { Policy } from "./policy.js";

/** Milliseconds between two tries to get a slot for a prefill's result. */
const importRetry = 25;
/** Milliseconds after which a transfer counts as stalled. */
const transferTimeout = 1_500;
/** Milliseconds after which a dead engine's connections are noticed as broken. */
const resetAfter = 5;
/** Retries that one request may have, and the part of all requests that may be retries. */
const retriesEach = 2;
const retryBudget = 0.1;

type Attempt = {
    readonly id: string;
    readonly demand: SchedulingRequest;
    stage: Progress["stage"] | "waiting" | "assigned";
    prefill: PrefillEngine | undefined;
    decode: DecodeEngine | undefined;
    reused: number;
    /** Whether its prefill's cost was counted as wasted, or proved useful. */
    settled: boolean;
    prefilled: boolean;
};

type Request = {
    readonly load: Load;
    attempt: Attempt | undefined;
    retries: number;
    sent: number;
    firstTokenAt: number | undefined;
    ended: boolean;
};

/** Drives every request from its arrival to its end, as entry daemons do. */
export class Requests {
    readonly outcomes: Outcome[] = [];
    readonly wastes: Waste[] = [];
    private readonly open = new Set<Request>();
    private serial = 0;
    private begun = 0;
    private retried = 0;

    /** `triesAgain`: whether an import that finds the decode engine full is tried again while the result is kept. */
    constructor(
        private readonly cluster: Cluster,
        private readonly policy: () => Policy,
        private readonly triesAgain = true,
    ) {}

    begin(load: Load): void {
        // The platform's balancer no longer sends to a dead host.
        const alive = this.cluster.entryAlive[load.entry] ? load.entry : this.cluster.entryAlive.indexOf(true);
        const request: Request = {
            load: { ...load, entry: alive },
            attempt: undefined,
            retries: 0,
            sent: 0,
            firstTokenAt: undefined,
            ended: false,
        };
        this.open.add(request);
        this.begun++;
        this.try(request, []);
        if (load.leavesAt !== undefined) {
            this.cluster.simulation.after(load.leavesAt - load.at, () => this.leave(request));
        }
    }

    /** What an entry daemon holds at engines. */
    holdings(entry: number): readonly EngineHolding[] {
        return [...this.open].flatMap(({ load, attempt, sent }) => {
            if (load.entry !== entry || attempt?.prefill === undefined || attempt.decode === undefined) {
                return [];
            }
            const stage = attempt.stage === "assigned" || attempt.stage === "waiting" ? "prefilling" : attempt.stage;
            return [{
                demand: attempt.demand,
                prefill: attempt.prefill.id,
                decode: attempt.decode.id,
                stage,
                tokens: sent,
            }];
        });
    }

    /** An engine died: everything on it breaks off. */
    engineDied(id: string): void {
        for (const request of [...this.open]) {
            const { attempt } = request;
            if (attempt?.prefill?.id === id && !attempt.prefilled) {
                this.cluster.simulation.after(resetAfter, () => this.fail(request, attempt, id, "engineDied"));
            }
            if (attempt?.decode?.id === id && attempt.prefilled) {
                this.cluster.simulation.after(resetAfter, () => this.fail(request, attempt, id, "engineDied"));
            }
        }
    }

    /** An entry daemon died: its requests are lost, and engines hold on to them until somebody cancels them. */
    entryDied(entry: number, orphansCancelledAfter: number): void {
        for (const request of [...this.open]) {
            const { attempt } = request;
            if (request.load.entry !== entry) {
                continue;
            }
            this.end(request, "lost", undefined);
            if (attempt !== undefined) {
                this.waste(attempt, "entryDied");
                this.cluster.simulation.after(orphansCancelledAfter, () => this.releaseEngines(attempt));
            }
        }
    }

    /** Counts what is still open at the end of the run. */
    finish(): void {
        for (const request of [...this.open]) {
            this.end(request, "open", undefined);
        }
    }

    private try(request: Request, avoid: readonly string[]): void {
        const { load } = request;
        const { simulation, deployment } = this.cluster;
        const exact = this.policy().seesEverything;
        const waited = simulation.now - load.at;
        const demand: SchedulingRequest = {
            attempt: `entry-${load.entry}/1/${this.serial++}`,
            owner: { daemon: `entry-${load.entry}`, incarnation: "1" },
            pool: "drafts",
            model: "draft",
            organisation: load.organisation,
            failureDomain: this.cluster.entryDomain(load.entry),
            promptTokens: load.promptTokens + request.sent,
            maxTokens: exact ? load.outputTokens : 2 * load.expectedTokens,
            expectedTokens: Math.max(1, (exact ? load.outputTokens : load.expectedTokens) - request.sent),
            prefixes: [...load.prefixes],
            blockTokens: engineModel.blockTokens,
            priority: 100,
            firstTokenWithin: Math.max(1, deployment.targets.firstToken - waited),
            deadlineWithin: deployment.deadline - waited,
            alreadySent: request.sent,
            once: false,
            avoid: [...avoid],
        };
        const attempt: Attempt = {
            id: demand.attempt,
            demand,
            stage: "waiting",
            prefill: undefined,
            decode: undefined,
            reused: 0,
            settled: false,
            prefilled: false,
        };
        request.attempt = attempt;
        this.policy().reserve(load.entry, demand, decision => this.decided(request, attempt, decision));
    }

    private decided(request: Request, attempt: Attempt, decision: SchedulingDecision): void {
        if (request.ended || request.attempt !== attempt) {
            this.policy().withdraw(request.load.entry, attempt.id);
            return;
        }
        if (decision.kind === "refused") {
            this.end(request, request.sent > 0 ? "failed" : "refused", this.cluster.simulation.now - request.load.at);
            return;
        }
        attempt.stage = "assigned";
        attempt.prefill = this.cluster.prefill(decision.prefill);
        attempt.decode = this.cluster.decode(decision.decode);
        const { prefill } = attempt;
        this.later(request, attempt, this.wire(request, prefill.domain), () => {
            if (!prefill.alive) {
                this.fail(request, attempt, prefill.id, "engineDied");
                return;
            }
            attempt.stage = "prefilling";
            prefill.submit({
                attempt: attempt.id,
                promptTokens: attempt.demand.promptTokens,
                prefixes: attempt.demand.prefixes,
                done: reused => this.prefilled(request, attempt, reused),
            });
        });
    }

    private prefilled(request: Request, attempt: Attempt, reused: number): void {
        attempt.prefilled = true;
        attempt.reused = reused;
        const evictedAt = this.cluster.simulation.now + engineModel.resultKept;
        this.later(request, attempt, this.wire(request, attempt.prefill!.domain), () => {
            this.tell(request, { attempt: attempt.id, stage: "prefilled", tokens: 0, reusedTokens: reused });
            attempt.stage = "prefilled";
            this.import(request, attempt, evictedAt);
        });
    }

    private import(request: Request, attempt: Attempt, evictedAt: number): void {
        const { simulation, stalled } = this.cluster;
        const decode = attempt.decode!;
        const prefill = attempt.prefill!;
        const wire = this.wire(request, decode.domain);
        this.later(request, attempt, wire, () => {
            if (!decode.alive) {
                this.fail(request, attempt, decode.id, "engineDied");
                return;
            }
            const linkAt = Math.max(simulation.now, prefill.linkFreeAt, decode.linkFreeAt);
            if (!prefill.alive || linkAt > evictedAt) {
                this.fail(request, attempt, prefill.id, prefill.alive ? "evicted" : "engineDied");
                return;
            }
            if (!decode.slots.has(attempt.id) && !decode.hold(attempt.id)) {
                if (!this.triesAgain) {
                    this.later(request, attempt, wire, () => this.fail(request, attempt, decode.id, "full"));
                    return;
                }
                this.later(request, attempt, wire + importRetry, () => this.import(request, attempt, evictedAt));
                return;
            }
            if (stalled.has(decode.id)) {
                this.later(request, attempt, transferTimeout, () => this.fail(request, attempt, decode.id, "stalled"));
                return;
            }
            const rate = engineModel.linkBytesPerMillisecond
                * (prefill.domain === decode.domain ? 1 : engineModel.acrossDomains);
            const endsAt = linkAt + attempt.demand.promptTokens * engineModel.kvBytesPerToken / rate;
            prefill.linkFreeAt = endsAt;
            decode.linkFreeAt = endsAt;
            this.later(request, attempt, endsAt - simulation.now + wire, () => this.transferred(request, attempt));
        });
    }

    private transferred(request: Request, attempt: Attempt): void {
        const decode = attempt.decode!;
        this.tell(request, { attempt: attempt.id, stage: "transferred", tokens: 0 });
        attempt.stage = "transferred";
        const wire = this.wire(request, decode.domain);
        this.later(request, attempt, wire, () => {
            decode.start({
                attempt: attempt.id,
                tokens: Math.max(1, request.load.outputTokens - request.sent),
                first: () => this.later(request, attempt, wire, () => this.first(request, attempt)),
                done: () => this.later(request, attempt, wire, () => this.done(request, attempt)),
            });
        });
    }

    private first(request: Request, attempt: Attempt): void {
        attempt.stage = "firstToken";
        attempt.settled = true;
        request.firstTokenAt ??= this.cluster.simulation.now;
        this.tell(request, { attempt: attempt.id, stage: "firstToken", tokens: 1 });
    }

    private done(request: Request, attempt: Attempt): void {
        this.tell(request, { attempt: attempt.id, stage: "finished", tokens: request.load.outputTokens });
        this.end(request, "answered", undefined);
    }

    private leave(request: Request): void {
        const { attempt } = request;
        if (request.ended || attempt === undefined) {
            return;
        }
        this.policy().withdraw(request.load.entry, attempt.id);
        this.end(request, "cancelled", undefined);
        this.waste(attempt, "cancelled");
        this.releaseEngines(attempt);
    }

    private fail(request: Request, attempt: Attempt, engine: string, reason: string): void {
        if (request.ended || request.attempt !== attempt) {
            return;
        }
        const { load } = request;
        const made = this.releaseEngines(attempt);
        this.waste(attempt, reason);
        request.sent += attempt.stage === "firstToken" ? made : 0;
        const failedEngine = reason === "evicted" ? {} : { failedEngine: engine };
        this.tell(request, { attempt: attempt.id, stage: "failed", tokens: 0, ...failedEngine });
        // A decode that began may have been seen; a prefill gave nothing to anybody, and is no run of the request.
        const mayRepeat = load.kind.idempotent || attempt.stage !== "firstToken";
        if (!mayRepeat || request.retries >= retriesEach || this.retried >= retryBudget * this.begun) {
            this.end(request, "failed", undefined);
            return;
        }
        request.retries++;
        this.retried++;
        this.try(request, reason === "evicted" ? [] : [engine]);
    }

    /** Frees what an attempt holds. Gives the tokens that were decoded. */
    private releaseEngines(attempt: Attempt): number {
        const spent = attempt.prefill?.cancel(attempt.id) ?? 0;
        if (spent > 0) {
            attempt.settled = true;
            this.wastes.push({
                reason: "brokenOff",
                milliseconds: spent,
                tokens: Math.round(spent / engineModel.prefillTokenTime),
            });
        }
        const { decode } = attempt;
        return decode?.slots.has(attempt.id) ? decode.free(attempt.id) : 0;
    }

    private waste(attempt: Attempt, reason: string): void {
        if (attempt.settled || !attempt.prefilled) {
            return;
        }
        attempt.settled = true;
        const tokens = attempt.demand.promptTokens - attempt.reused;
        this.wastes.push({
            reason,
            tokens,
            milliseconds: tokens * engineModel.prefillTokenTime + engineModel.prefillOverhead,
        });
    }

    private end(request: Request, end: Outcome["end"], refusedAfter: number | undefined): void {
        const { load, firstTokenAt } = request;
        const { now } = this.cluster.simulation;
        request.ended = true;
        this.open.delete(request);
        const firstToken = firstTokenAt === undefined ? undefined : firstTokenAt - load.at;
        const perToken = firstTokenAt === undefined
            ? undefined
            : (now - firstTokenAt) / Math.max(1, load.outputTokens - 1);
        this.outcomes.push({
            load,
            end,
            firstToken,
            perToken,
            refusedAfter: end === "refused" ? refusedAfter : undefined,
        });
    }

    private tell(request: Request, progress: Progress): void {
        this.policy().progress(request.load.entry, progress);
    }

    private wire(request: Request, domain: string): number {
        return this.cluster.wire(this.cluster.entryDomain(request.load.entry), domain);
    }

    /** Goes on later, unless the request ended or another attempt took over meanwhile. */
    private later(request: Request, attempt: Attempt, milliseconds: number, run: () => void): void {
        this.cluster.simulation.after(milliseconds, () => {
            if (!request.ended && request.attempt === attempt) {
                run();
            }
        });
    }
}
