import type { EngineAllocation, SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";
import type { Randomness } from "../../utils/index.js";
import { refuse } from "./refusals.js";
import { Scheduler, type SchedulerEvent } from "./scheduler.js";
import type { TrackedEngine } from "./trackedEngine.js";
import { TrackedPool } from "./trackedPool.js";

/** Retry delays given to callers when no engine is available, and when all are full. */
const noEngineRetryMilliseconds = 1_000;
const fullRetryMilliseconds = 500;
/** Maximum age of a load report on which the placement of a request is based that may not be retried. */
const freshReportMilliseconds = 500;
/** Fraction of the time to the first token's target for which a request may wait for a slot. */
const waitingFraction = 0.5;
/** Fraction of the time to the first token's target for which a daemon may keep its share of the prefill engines busy. */
const prefillFraction = 0.35;

type WaitingRequest = { readonly schedulingRequest: SchedulingRequest; readonly expiresAt: number; };

/**
 * Scheduler of one entry daemon's own attempts. Picks the less loaded of two random engines, counting its own
 * assignments since their last reports.
 */
export class LocalScheduler extends Scheduler {
    private readonly trackedPool = TrackedPool.create();
    private readonly waiting = new Map<string, WaitingRequest>();
    private sessionCount = 1;

    private constructor(private readonly randomness: Randomness, private readonly divided: boolean) {
        super();
    }

    /**
     * `divided`: limits this daemon to its share, among all open sessions, of the slots and of the prefill engines'
     * time.
     */
    static create(options: { readonly randomness: Randomness; readonly divided: boolean; }): LocalScheduler {
        return new LocalScheduler(options.randomness, options.divided);
    }

    override step(event: SchedulerEvent, now: number): readonly SchedulingDecision[] {
        const decisions = this.applyEvent(event, now);
        for (const { schedulingRequest: request } of this.waiting.values()) {
            const choice = this.choose(request, now);
            if (choice === "full") {
                break;
            }
            this.waiting.delete(request.attempt);
            decisions.push(choice);
        }
        return decisions;
    }

    override move(allocation: EngineAllocation, now: number): string | undefined {
        const { demand: request } = allocation;
        this.trackedPool.restore(allocation, now);
        const assignment = this.trackedPool.assignments.get(request.attempt);
        if (assignment === undefined) {
            return undefined;
        }
        this.trackedPool.engines.get(allocation.decode)?.recordFull(request.attempt);
        const free = this.enginesFor(request, "decode", now).filter(engine => engine.usedSlots < engine.slots);
        const decode = this.lessLoadedOfTwo(free, engine => engine.usedSlots / engine.slots);
        if (decode !== undefined) {
            this.trackedPool.move(assignment, decode);
        }
        return decode?.id;
    }

    override nextTickAt(): number | undefined {
        let earliest = Infinity;
        for (const assignment of this.trackedPool.assignments.values()) {
            earliest = Math.min(earliest, assignment.deadlineAt);
        }
        for (const { expiresAt } of this.waiting.values()) {
            earliest = Math.min(earliest, expiresAt);
        }
        return earliest === Infinity ? undefined : earliest;
    }

    override status(): ReturnType<Scheduler["status"]> {
        return { allocatedSlots: this.trackedPool.allocatedSlotsByEngine(), queuedCount: this.waiting.size };
    }

    private applyEvent(event: SchedulerEvent, now: number): SchedulingDecision[] {
        switch (event.kind) {
            case "demand":
                return this.handleRequest(event.demand, now);
            case "withdraw":
                this.waiting.delete(event.attempt);
                this.trackedPool.release(event.attempt, now);
                return [];
            case "progress":
                this.trackedPool.progress(event.progress, now);
                return [];
            case "load":
                this.trackedPool.applyReport(event.report, now);
                return [];
            case "engines":
                this.trackedPool.setEngines(event.engines, now);
                return [];
            case "sessions":
                this.sessionCount = Math.max(1, event.open.length);
                return [];
            case "holding":
                this.trackedPool.restore(event.holding, now);
                return [];
            case "tick":
                this.trackedPool.releaseWhere(assignment => assignment.deadlineAt <= now, now);
                return this.expire(now);
            case "rules":
            case "warm":
            case "stalled":
                return [];
        }
    }

    private handleRequest(request: SchedulingRequest, now: number): SchedulingDecision[] {
        const choice = this.choose(request, now);
        if (choice !== "full") {
            return [choice];
        }
        if (this.waiting.size >= this.queueLimit(request, now)) {
            return [fullRefusal(request)];
        }
        this.waiting.set(request.attempt, {
            schedulingRequest: request,
            expiresAt: now + waitingFraction * request.firstTokenWithin,
        });
        return [];
    }

    private expire(now: number): SchedulingDecision[] {
        const expired = [...this.waiting.values()].filter(({ expiresAt }) => expiresAt <= now);
        expired.forEach(({ schedulingRequest: request }) => this.waiting.delete(request.attempt));
        return expired.map(({ schedulingRequest: request }) => fullRefusal(request));
    }

    private choose(request: SchedulingRequest, now: number): SchedulingDecision | "full" {
        const prefills = this.enginesFor(request, "prefill", now);
        const decodes = this.enginesFor(request, "decode", now);
        if (prefills.length === 0 || decodes.length === 0) {
            const role = prefills.length === 0 ? "prefill" : "decode";
            const message = `pool ${request.pool} has no ready ${role} engine for ${request.model}`;
            return refuse(request, "noBackend", message, noEngineRetryMilliseconds);
        }
        const reporting = request.once
            ? decodes.filter(engine => now - engine.reportedAt <= freshReportMilliseconds)
            : decodes;
        const free = reporting.filter(engine =>
            engine.usedSlots < engine.slots && engine.assignedAttempts.size < this.slotShare(engine)
        );
        if (request.once && this.mayBeContended(reporting, decodes.length)) {
            return "full";
        }
        if (this.exceedsPrefillShare(request, prefills, now)) {
            return "full";
        }
        const decode = this.lessLoadedOfTwo(free, engine => engine.usedSlots / engine.slots);
        const prefill = this.lessLoadedOfTwo(prefills, engine => backlog(engine));
        if (decode === undefined || prefill === undefined) {
            return "full";
        }
        this.trackedPool.assign(
            request,
            { prefill, decode, work: request.promptTokens * prefill.tokenTime },
            now,
        );
        const { attempt } = request;
        return { kind: "assigned", attempt, prefill: prefill.id, decode: decode.id, fence: 0, expectedReuse: 0 };
    }

    /**
     * Whether all slots that are free according to recent reports may be used up by other daemons. Assumes that each daemon
     * places one request on an engine chosen from all engines.
     */
    private mayBeContended(candidates: readonly TrackedEngine[], engineCount: number): boolean {
        const free = candidates.reduce((sum, engine) => sum + Math.max(0, engine.slots - engine.usedSlots), 0);
        return this.divided && free < this.sessionCount * candidates.length / engineCount;
    }

    /**
     * Whether the request's prefill would exceed this daemon's share of the prefill engines' time. When the pool's scheduler
     * is lost, its whole queue returns to the daemons at once, whose slots together admit dozens of prompts. Without this
     * limit the prefill engines would be busy for longer than the target, and every first token would be late for a while.
     */
    private exceedsPrefillShare(request: SchedulingRequest, prefills: readonly TrackedEngine[], now: number): boolean {
        const pendingPrefillTime = prefills.reduce((sum, engine) => sum + engine.readyAt(now) - now, 0);
        if (!this.divided || pendingPrefillTime === 0) {
            return false;
        }
        const prefillTime = request.promptTokens * prefills[0]!.tokenTime;
        const share = prefillFraction * request.firstTokenWithin * prefills.length / this.sessionCount;
        return pendingPrefillTime + prefillTime > share;
    }

    private queueLimit(request: SchedulingRequest, now: number): number {
        // At most one queued request for each of this daemon's slots: a slot becomes free within the time of one answer.
        return this.enginesFor(request, "decode", now).reduce((sum, engine) => sum + this.slotShare(engine), 0);
    }

    private enginesFor(request: SchedulingRequest, role: "prefill" | "decode", now: number): TrackedEngine[] {
        return [...this.trackedPool.engines.values()].filter(engine =>
            engine.announcement.role === role
            && engine.acceptsWork(request.avoid, now)
            && engine.serves(request.model, request.adapter, request.version)
        );
    }

    private slotShare(engine: TrackedEngine): number {
        return this.divided ? Math.max(1, Math.floor(engine.slots / this.sessionCount)) : engine.slots;
    }

    private lessLoadedOfTwo(
        engines: readonly TrackedEngine[],
        load: (engine: TrackedEngine) => number,
    ): TrackedEngine | undefined {
        if (engines.length === 0) {
            return undefined;
        }
        const first = engines[this.randomness.integer(0, engines.length - 1)]!;
        const second = engines[this.randomness.integer(0, engines.length - 1)]!;
        return load(first) <= load(second) ? first : second;
    }
}

function fullRefusal(request: SchedulingRequest): SchedulingDecision {
    return refuse(
        request,
        "poolFull",
        `pool ${request.pool} has no free engines for this daemon`,
        fullRetryMilliseconds,
    );
}

function backlog(engine: TrackedEngine): number {
    return (engine.report?.queuedTokens ?? 0) * engine.tokenTime + engine.unreportedPrefillWork;
}
