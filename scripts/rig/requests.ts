import type {
    EngineAllocation,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import type { Cluster } from "./cluster.js";
import { type Arrival, engineModel } from "./deployments.js";
import type { DecodeEngine, PrefillEngine } from "./engines.js";
import type { Outcome, WastedPrefill } from "./metrics.js";
import type { Policy } from "./policy.js";

/** Milliseconds between two attempts to import a prefill result while the decode engine has no free slot. */
const importRetryInterval = 25;
/** Milliseconds after which a stalled transfer fails. */
const transferTimeout = 1_500;
/** Milliseconds after an engine's crash until its connections are reset. */
const resetDelay = 5;
/** Maximum retries of one request, and maximum ratio of retries to all requests. */
const maxRetries = 2;
const retryBudget = 0.1;

type Attempt = {
    readonly id: string;
    readonly schedulingRequest: SchedulingRequest;
    stage: Progress["stage"] | "waiting" | "assigned";
    prefill: PrefillEngine | undefined;
    decode: DecodeEngine | undefined;
    reusedTokens: number;
    /** Whether the prefill's cost was already counted as wasted, or was useful. */
    prefillAccounted: boolean;
    prefilled: boolean;
};

type Request = {
    readonly arrival: Arrival;
    attempt: Attempt | undefined;
    retries: number;
    sentTokens: number;
    firstTokenAt: number | undefined;
    ended: boolean;
};

/** Processes each request from its arrival to its end, as entry daemons do. */
export class Requests {
    readonly outcomes: Outcome[] = [];
    readonly wastedPrefills: WastedPrefill[] = [];
    private readonly openRequests = new Set<Request>();
    private serial = 0;
    private startedCount = 0;
    private retryCount = 0;

    /** `retriesImport`: whether an import is retried while the decode engine has no free slot and the prefill result is kept. */
    constructor(
        private readonly cluster: Cluster,
        private readonly policy: () => Policy,
        private readonly retriesImport = true,
    ) {}

    start(arrival: Arrival): void {
        // The platform's load balancer no longer sends requests to a crashed entry daemon.
        const entry = this.cluster.entryAlive[arrival.entry] ? arrival.entry : this.cluster.entryAlive.indexOf(true);
        const request: Request = {
            arrival: { ...arrival, entry },
            attempt: undefined,
            retries: 0,
            sentTokens: 0,
            firstTokenAt: undefined,
            ended: false,
        };
        this.openRequests.add(request);
        this.startedCount++;
        this.startAttempt(request, []);
        if (arrival.cancelsAt !== undefined) {
            this.cluster.simulation.after(arrival.cancelsAt - arrival.at, () => this.cancel(request));
        }
    }

    /** Engine allocations of an entry daemon. */
    allocations(entry: number): readonly EngineAllocation[] {
        return [...this.openRequests].flatMap(({ arrival, attempt, sentTokens }) => {
            if (arrival.entry !== entry || attempt?.prefill === undefined || attempt.decode === undefined) {
                return [];
            }
            const stage = attempt.stage === "assigned" || attempt.stage === "waiting" ? "prefilling" : attempt.stage;
            return [{
                demand: attempt.schedulingRequest,
                prefill: attempt.prefill.id,
                decode: attempt.decode.id,
                stage,
                tokens: sentTokens,
            }];
        });
    }

    /** Fails all attempts on an engine that has crashed. */
    engineDied(id: string): void {
        for (const request of [...this.openRequests]) {
            const { attempt } = request;
            if (attempt?.prefill?.id === id && !attempt.prefilled) {
                this.cluster.simulation.after(resetDelay, () => this.fail(request, attempt, id, "engineDied"));
            }
            if (attempt?.decode?.id === id && attempt.prefilled) {
                this.cluster.simulation.after(resetDelay, () => this.fail(request, attempt, id, "engineDied"));
            }
        }
    }

    /** Ends the requests of a crashed entry daemon as lost. Engines keep their allocations until the orphaned attempts are cancelled. */
    entryDied(entry: number, orphansCancelledAfter: number): void {
        for (const request of [...this.openRequests]) {
            const { attempt } = request;
            if (request.arrival.entry !== entry) {
                continue;
            }
            this.end(request, "lost", undefined);
            if (attempt !== undefined) {
                this.recordWaste(attempt, "entryDied");
                this.cluster.simulation.after(orphansCancelledAfter, () => this.releaseEngines(attempt));
            }
        }
    }

    /** Records requests that are still open at the end of the run. */
    finish(): void {
        for (const request of [...this.openRequests]) {
            this.end(request, "open", undefined);
        }
    }

    private startAttempt(request: Request, avoid: readonly string[]): void {
        const { arrival } = request;
        const { simulation, deployment } = this.cluster;
        const hasPerfectInformation = this.policy().hasPerfectInformation;
        const elapsed = simulation.now - arrival.at;
        const schedulingRequest: SchedulingRequest = {
            attempt: `entry-${arrival.entry}/1/${this.serial++}`,
            owner: { daemon: `entry-${arrival.entry}`, incarnation: "1" },
            pool: "drafts",
            model: "draft",
            organisation: arrival.organisation,
            failureDomain: this.cluster.entryDomain(arrival.entry),
            promptTokens: arrival.promptTokens + request.sentTokens,
            maxTokens: hasPerfectInformation ? arrival.outputTokens : 2 * arrival.expectedTokens,
            expectedTokens: Math.max(
                1,
                (hasPerfectInformation ? arrival.outputTokens : arrival.expectedTokens) - request.sentTokens,
            ),
            prefixes: [...arrival.prefixes],
            blockTokens: engineModel.blockTokens,
            priority: 100,
            firstTokenWithin: Math.max(1, deployment.targets.firstToken - elapsed),
            deadlineWithin: deployment.deadline - elapsed,
            alreadySent: request.sentTokens,
            once: false,
            avoid: [...avoid],
        };
        const attempt: Attempt = {
            id: schedulingRequest.attempt,
            schedulingRequest,
            stage: "waiting",
            prefill: undefined,
            decode: undefined,
            reusedTokens: 0,
            prefillAccounted: false,
            prefilled: false,
        };
        request.attempt = attempt;
        this.policy().reserve(
            arrival.entry,
            schedulingRequest,
            decision => this.handleDecision(request, attempt, decision),
        );
    }

    private handleDecision(request: Request, attempt: Attempt, decision: SchedulingDecision): void {
        if (request.ended || request.attempt !== attempt) {
            this.policy().withdraw(request.arrival.entry, attempt.id);
            return;
        }
        if (decision.kind === "refused") {
            this.end(
                request,
                request.sentTokens > 0 ? "failed" : "refused",
                this.cluster.simulation.now - request.arrival.at,
            );
            return;
        }
        attempt.stage = "assigned";
        attempt.prefill = this.cluster.prefill(decision.prefill);
        attempt.decode = this.cluster.decode(decision.decode);
        const { prefill } = attempt;
        this.after(request, attempt, this.networkDelay(request, prefill.domain), () => {
            if (!prefill.alive) {
                this.fail(request, attempt, prefill.id, "engineDied");
                return;
            }
            attempt.stage = "prefilling";
            prefill.submit({
                attempt: attempt.id,
                promptTokens: attempt.schedulingRequest.promptTokens,
                prefixes: attempt.schedulingRequest.prefixes,
                onDone: reused => this.handlePrefilled(request, attempt, reused),
            });
        });
    }

    private handlePrefilled(request: Request, attempt: Attempt, reusedTokens: number): void {
        attempt.prefilled = true;
        attempt.reusedTokens = reusedTokens;
        const evictedAt = this.cluster.simulation.now + engineModel.resultLifetime;
        this.after(request, attempt, this.networkDelay(request, attempt.prefill!.domain), () => {
            this.reportProgress(request, { attempt: attempt.id, stage: "prefilled", tokens: 0, reusedTokens });
            attempt.stage = "prefilled";
            this.importResult(request, attempt, evictedAt);
        });
    }

    private importResult(request: Request, attempt: Attempt, evictedAt: number): void {
        const { simulation, stalledEngines } = this.cluster;
        const decode = attempt.decode!;
        const prefill = attempt.prefill!;
        const delay = this.networkDelay(request, decode.domain);
        this.after(request, attempt, delay, () => {
            if (!decode.alive) {
                this.fail(request, attempt, decode.id, "engineDied");
                return;
            }
            const transferStart = Math.max(simulation.now, prefill.linkFreeAt, decode.linkFreeAt);
            if (!prefill.alive || transferStart > evictedAt) {
                this.fail(request, attempt, prefill.id, prefill.alive ? "evicted" : "engineDied");
                return;
            }
            if (!decode.slots.has(attempt.id) && !decode.allocate(attempt.id)) {
                if (!this.retriesImport) {
                    this.after(request, attempt, delay, () => this.fail(request, attempt, decode.id, "full"));
                    return;
                }
                this.after(
                    request,
                    attempt,
                    delay + importRetryInterval,
                    () => this.importResult(request, attempt, evictedAt),
                );
                return;
            }
            if (stalledEngines.has(decode.id)) {
                this.after(request, attempt, transferTimeout, () => this.fail(request, attempt, decode.id, "stalled"));
                return;
            }
            const linkRate = engineModel.linkBytesPerMillisecond
                * (prefill.domain === decode.domain ? 1 : engineModel.crossDomainLinkFactor);
            const transferEnd = transferStart
                + attempt.schedulingRequest.promptTokens * engineModel.kvBytesPerToken / linkRate;
            prefill.linkFreeAt = transferEnd;
            decode.linkFreeAt = transferEnd;
            this.after(
                request,
                attempt,
                transferEnd - simulation.now + delay,
                () => this.handleTransferred(request, attempt),
            );
        });
    }

    private handleTransferred(request: Request, attempt: Attempt): void {
        const decode = attempt.decode!;
        this.reportProgress(request, { attempt: attempt.id, stage: "transferred", tokens: 0 });
        attempt.stage = "transferred";
        const delay = this.networkDelay(request, decode.domain);
        this.after(request, attempt, delay, () => {
            decode.start({
                attempt: attempt.id,
                tokens: Math.max(1, request.arrival.outputTokens - request.sentTokens),
                onFirstToken: () => this.after(request, attempt, delay, () => this.handleFirstToken(request, attempt)),
                onDone: () => this.after(request, attempt, delay, () => this.handleDone(request, attempt)),
            });
        });
    }

    private handleFirstToken(request: Request, attempt: Attempt): void {
        attempt.stage = "firstToken";
        attempt.prefillAccounted = true;
        request.firstTokenAt ??= this.cluster.simulation.now;
        this.reportProgress(request, { attempt: attempt.id, stage: "firstToken", tokens: 1 });
    }

    private handleDone(request: Request, attempt: Attempt): void {
        this.reportProgress(request, { attempt: attempt.id, stage: "finished", tokens: request.arrival.outputTokens });
        this.end(request, "answered", undefined);
    }

    private cancel(request: Request): void {
        const { attempt } = request;
        if (request.ended || attempt === undefined) {
            return;
        }
        this.policy().withdraw(request.arrival.entry, attempt.id);
        this.end(request, "cancelled", undefined);
        this.recordWaste(attempt, "cancelled");
        this.releaseEngines(attempt);
    }

    private fail(request: Request, attempt: Attempt, engine: string, reason: string): void {
        if (request.ended || request.attempt !== attempt) {
            return;
        }
        const { arrival } = request;
        const generatedTokens = this.releaseEngines(attempt);
        this.recordWaste(attempt, reason);
        request.sentTokens += attempt.stage === "firstToken" ? generatedTokens : 0;
        const failedEngine = reason === "evicted" ? {} : { failedEngine: engine };
        this.reportProgress(request, { attempt: attempt.id, stage: "failed", tokens: 0, ...failedEngine });
        // After the first token the caller may have received output. A prefill alone has returned nothing and doesn't count as a run.
        const mayRepeat = arrival.kind.idempotent || attempt.stage !== "firstToken";
        if (!mayRepeat || request.retries >= maxRetries || this.retryCount >= retryBudget * this.startedCount) {
            this.end(request, "failed", undefined);
            return;
        }
        request.retries++;
        this.retryCount++;
        this.startAttempt(request, reason === "evicted" ? [] : [engine]);
    }

    /** Releases an attempt's allocations. Returns the number of decoded tokens. */
    private releaseEngines(attempt: Attempt): number {
        const spentTime = attempt.prefill?.cancel(attempt.id) ?? 0;
        if (spentTime > 0) {
            attempt.prefillAccounted = true;
            this.wastedPrefills.push({
                reason: "brokenOff",
                milliseconds: spentTime,
                tokens: Math.round(spentTime / engineModel.prefillTokenTime),
            });
        }
        const { decode } = attempt;
        return decode?.slots.has(attempt.id) ? decode.free(attempt.id) : 0;
    }

    private recordWaste(attempt: Attempt, reason: string): void {
        if (attempt.prefillAccounted || !attempt.prefilled) {
            return;
        }
        attempt.prefillAccounted = true;
        const tokens = attempt.schedulingRequest.promptTokens - attempt.reusedTokens;
        this.wastedPrefills.push({
            reason,
            tokens,
            milliseconds: tokens * engineModel.prefillTokenTime + engineModel.prefillOverhead,
        });
    }

    private end(request: Request, end: Outcome["end"], refusedAfter: number | undefined): void {
        const { arrival, firstTokenAt } = request;
        const { now } = this.cluster.simulation;
        request.ended = true;
        this.openRequests.delete(request);
        const firstToken = firstTokenAt === undefined ? undefined : firstTokenAt - arrival.at;
        const perToken = firstTokenAt === undefined
            ? undefined
            : (now - firstTokenAt) / Math.max(1, arrival.outputTokens - 1);
        this.outcomes.push({
            arrival,
            end,
            firstToken,
            perToken,
            refusedAfter: end === "refused" ? refusedAfter : undefined,
        });
    }

    private reportProgress(request: Request, progress: Progress): void {
        this.policy().progress(request.arrival.entry, progress);
    }

    private networkDelay(request: Request, domain: string): number {
        return this.cluster.networkDelay(this.cluster.entryDomain(request.arrival.entry), domain);
    }

    /** Schedules a callback, which is skipped if the request has ended or has a newer attempt by then. */
    private after(request: Request, attempt: Attempt, milliseconds: number, run: () => void): void {
        this.cluster.simulation.after(milliseconds, () => {
            if (!request.ended && request.attempt === attempt) {
                run();
            }
        });
    }
}
