import type { EngineAllocation, Progress, SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";
import { Admission } from "./admission.js";
import { AdmissionForecast } from "./admissionForecast.js";
import { DisplacedAttempts } from "./displacedAttempts.js";
import { type EngineChoice, EngineChooser } from "./engineChoice.js";
import { ModelEngineIndex } from "./modelEngineIndex.js";
import { OrganisationShares } from "./organisationShares.js";
import { PrefixIndex } from "./prefixIndex.js";
import { type PoolRules, Scheduler, type SchedulerEvent } from "./scheduler.js";
import { type QueuedRequest, SchedulingQueue } from "./schedulingQueue.js";
import type { TrackedEngine } from "./trackedEngine.js";
import { type Assignment, TrackedPool } from "./trackedPool.js";
import { TransferTimes } from "./transferTimes.js";
import { defaultTuning, type SchedulerTuning } from "./tuning.js";

/** Time between two ticks while requests are queued. */
const tickIntervalMilliseconds = 20;
/** Time between two ticks while the queue is empty and engines are assigned to attempts. */
const idleTickIntervalMilliseconds = 1_000;
/**
 * Time after a stall during which nothing is assigned, so that messages about placements made during the stall are
 * applied first.
 */
const stallRecoveryMilliseconds = 30;
/**
 * Number of queued requests examined per dispatch. More than one, so that a request that can't start yet doesn't block those
 * that can use other engines.
 */
const maxExamined = 32;

/**
 * The scheduler of one pool. Reserves a prefill engine, the link and a decode engine together, and starts a prefill only
 * when a decode slot is free for its result.
 */
export class PoolScheduler extends Scheduler {
    private readonly pool = TrackedPool.create();
    private readonly queue = SchedulingQueue.create();
    private readonly prefixes = PrefixIndex.create();
    private readonly transfers = TransferTimes.create();
    private readonly forecast = AdmissionForecast.create();
    private readonly engineIndex = ModelEngineIndex.create(this.pool);
    private readonly displaced = DisplacedAttempts.create();
    private readonly shares: OrganisationShares;
    private readonly chooser: EngineChooser;
    private readonly admission: Admission;
    private rules: PoolRules | undefined;
    private lastTick = 0;
    private recoveredAt = -Infinity;

    private constructor(
        private readonly fence: number,
        private warm: boolean,
        private readonly tuning: SchedulerTuning,
    ) {
        super();
        this.shares = OrganisationShares.create(tuning.mostLag);
        const { pool: trackedPool, prefixes, transfers } = this;
        this.chooser = EngineChooser.create({ prefixes, transfers, tuning });
        this.admission = Admission.create({
            trackedPool,
            queue: this.queue,
            modelEngineIndex: this.engineIndex,
            forecast: this.forecast,
            chooser: this.chooser,
            transfers,
            shares: this.shares,
            tuning,
        });
    }

    /**
     * `warm`: whether no earlier scheduler can have assigned anything. Otherwise only decode engines that have reported
     * their load are used until the event `warm`.
     */
    static create(options: {
        readonly fence: number;
        readonly warm: boolean;
        readonly tuning?: SchedulerTuning;
    }): PoolScheduler {
        return new PoolScheduler(options.fence, options.warm, options.tuning ?? defaultTuning);
    }

    override step(event: SchedulerEvent, now: number): readonly SchedulingDecision[] {
        const decisions = this.applyEvent(event, now);
        if (mayFreeEngines(event) && now >= this.recoveredAt) {
            this.dispatch(decisions, now);
        }
        return decisions;
    }

    override move(allocation: EngineAllocation, now: number): string | undefined {
        const { demand: request } = allocation;
        this.queue.remove(request.attempt);
        this.pool.restore(allocation, now);
        const assignment = this.pool.assignments.get(request.attempt);
        const prefill = this.pool.engines.get(allocation.prefill);
        if (assignment === undefined || prefill === undefined) {
            return undefined;
        }
        if (assignment.decode !== allocation.decode) {
            // A previous call moved the attempt, but its answer was lost.
            return assignment.decode;
        }
        this.pool.engines.get(allocation.decode)?.recordFull(request.attempt);
        const finishedPrefill = { prefill, work: 0, expectedReuse: 0, prefillAt: now };
        const choice = this.chooser.chooseDecode(
            request,
            finishedPrefill,
            this.engineIndex.enginesFor(request).decode,
            !this.warm,
            now,
        );
        if (choice === undefined) {
            this.displaced.add(request.attempt, now);
            return undefined;
        }
        this.displaced.remove(request.attempt);
        this.pool.move(assignment, choice.decode);
        choice.decode.recordDispatch(now);
        return choice.decode.id;
    }

    override nextTickAt(): number | undefined {
        if (this.queue.size > 0) {
            return this.lastTick + tickIntervalMilliseconds;
        }
        return this.pool.assignments.size > 0 ? this.lastTick + idleTickIntervalMilliseconds : undefined;
    }

    override status(): ReturnType<Scheduler["status"]> {
        return { allocatedSlots: this.pool.allocatedSlotsByEngine(), queuedCount: this.queue.size };
    }

    private applyEvent(event: SchedulerEvent, now: number): SchedulingDecision[] {
        switch (event.kind) {
            case "demand":
                return this.handleRequest(event.demand, now);
            case "withdraw":
                if (this.queue.remove(event.attempt) === undefined) {
                    this.pool.release(event.attempt, now);
                }
                return [];
            case "progress":
                this.progress(event.progress, now);
                return [];
            case "load":
                this.applyReport(event.report, now);
                return [];
            case "engines":
                this.setEngines(event.engines, now);
                return [];
            case "rules":
                this.rules = event.rules;
                return [];
            case "sessions":
                this.releaseClosedSessions(event.open, now);
                return [];
            case "holding":
                this.queue.remove(event.holding.demand.attempt);
                this.pool.restore(event.holding, now);
                return [];
            case "warm":
                this.warm = true;
                return [];
            case "stalled":
                this.recoveredAt = now + stallRecoveryMilliseconds;
                return [];
            case "tick":
                return this.tick(now);
        }
    }

    private handleRequest(request: SchedulingRequest, now: number): SchedulingDecision[] {
        if (this.queue.has(request.attempt)) {
            return [];
        }
        const assignment = this.pool.assignments.get(request.attempt);
        if (assignment !== undefined) {
            return [this.assignedDecision(request, assignment.prefill, assignment.decode, 0)];
        }
        const refusal = this.admission.admit(request, this.rules, now);
        return refusal === undefined ? [] : [refusal];
    }

    private progress(progress: Progress, now: number): void {
        const assignment = this.pool.assignments.get(progress.attempt);
        if (assignment === undefined) {
            return;
        }
        this.displaced.remove(progress.attempt);
        this.updateEstimates(assignment, progress, now);
        this.pool.progress(progress, now);
        if (progress.failedEngine !== undefined) {
            this.pool.engines.get(progress.failedEngine)?.recordFailure(now);
        }
    }

    private updateEstimates(assignment: Assignment, progress: Progress, now: number): void {
        const { schedulingRequest: request } = assignment;
        if (progress.stage === "finished") {
            this.forecast.recordEnd(assignment, now);
            return;
        }
        const prefill = this.pool.engines.get(assignment.prefill);
        const decode = this.pool.engines.get(assignment.decode);
        if (progress.stage === "prefilled") {
            prefill?.recordSuccess();
        }
        if (progress.stage === "transferred") {
            decode?.recordSuccess();
        }
        if (progress.stage === "prefilled" && progress.reusedTokens !== undefined && prefill !== undefined) {
            const expectedTokens = assignment.expectedCachedBlocks * request.blockTokens;
            this.prefixes.recordReuse(prefill.id, expectedTokens, progress.reusedTokens);
        }
        const hadLinkAlone = assignment.expectedLinkWait === 0 && assignment.stage === "prefilled";
        if (progress.stage === "transferred" && hadLinkAlone && prefill !== undefined && decode !== undefined) {
            this.transfers.recordTransfer(prefill, decode, request.promptTokens, now - assignment.stageAt);
        }
    }

    private applyReport(report: Extract<SchedulerEvent, { kind: "load"; }>["report"], now: number): void {
        const engine = this.pool.applyReport(report, now);
        if (engine !== undefined && report.cache !== undefined) {
            this.prefixes.applyEvents(engine.id, report.cache);
        }
    }

    private setEngines(engines: Extract<SchedulerEvent, { kind: "engines"; }>["engines"], now: number): void {
        for (const { announcement, state } of engines) {
            const trackedEngine = this.pool.engines.get(announcement.id);
            if (
                trackedEngine !== undefined
                && (state === "gone" || announcement.incarnation > trackedEngine.announcement.incarnation)
            ) {
                this.prefixes.removeEngine(announcement.id);
            }
        }
        this.pool.setEngines(engines, now);
        this.engineIndex.clear();
    }

    private releaseClosedSessions(open: Extract<SchedulerEvent, { kind: "sessions"; }>["open"], now: number): void {
        const openSessions = new Set(open.map(session => `${session.daemon}/${session.incarnation}`));
        const isClosed = (request: SchedulingRequest): boolean =>
            !openSessions.has(`${request.owner.daemon}/${request.owner.incarnation}`);
        for (const { schedulingRequest: request } of this.queue.all()) {
            if (isClosed(request)) {
                this.queue.remove(request.attempt);
            }
        }
        this.pool.releaseWhere(assignment => isClosed(assignment.schedulingRequest), now);
    }

    private tick(now: number): SchedulingDecision[] {
        this.lastTick = now;
        this.pool.releaseWhere(assignment => assignment.deadlineAt <= now, now);
        if (this.queue.size === 0) {
            this.shares.reset();
        }
        return this.admission.review(this.rules, now);
    }

    private dispatch(decisions: SchedulingDecision[], now: number): void {
        const fullModels = new Set<string>();
        let position = 0;
        for (let examined = 0; examined < maxExamined; examined++) {
            const queuedRequest = this.queue.at(position);
            if (queuedRequest === undefined) {
                return;
            }
            const { schedulingRequest: request } = queuedRequest;
            const modelKey = `${request.model}\n${request.adapter ?? ""}\n${request.version ?? ""}`;
            const choice = fullModels.has(modelKey) ? undefined : this.choose(request, now);
            if (choice === "full") {
                if (request.avoid.length === 0) {
                    fullModels.add(modelKey);
                }
            }
            if (choice === undefined || choice === "full" || choice === "wait") {
                position++;
                continue;
            }
            decisions.push(this.assign(queuedRequest, choice, now));
        }
    }

    private choose(request: SchedulingRequest, now: number): EngineChoice | "full" | "wait" {
        const modelEngines = this.engineIndex.enginesFor(request);
        const prefill = this.chooser.choosePrefill(request, modelEngines.prefill, now);
        if (prefill === undefined || prefill.prefillAt - now > this.tuning.lead) {
            return "wait";
        }
        if (this.areFreeSlotsReserved(modelEngines.decode, now)) {
            return "full";
        }
        return this.chooser.chooseDecode(request, prefill, modelEngines.decode, !this.warm, now) ?? "full";
    }

    /**
     * Whether all free slots are reserved for displaced attempts: their prefill is done, and their decode engine rejected
     * them because it was full.
     */
    private areFreeSlotsReserved(decodes: readonly TrackedEngine[], now: number): boolean {
        const displacedCount = this.displaced.count(now);
        return displacedCount > 0
            && displacedCount >= decodes.reduce((sum, engine) => sum + Math.max(0, engine.slots - engine.usedSlots), 0);
    }

    private assign(queuedRequest: QueuedRequest, choice: EngineChoice, now: number): SchedulingDecision {
        const { schedulingRequest: request } = queuedRequest;
        const { prefill, decode } = choice;
        this.queue.remove(request.attempt);
        this.shares.recordServed(queuedRequest.virtualStart);
        const assignment = this.pool.assign(request, choice, now);
        assignment.expectedCachedBlocks = this.prefixes.matchedBlocks(prefill.id, request.prefixes);
        assignment.expectedLinkWait = Math.max(
            0,
            Math.max(prefill.linkFreeAt, decode.linkFreeAt) - choice.prefillAt - choice.work,
        );
        prefill.recordDispatch(now);
        decode.recordDispatch(now);
        prefill.linkFreeAt = choice.transferredAt;
        decode.linkFreeAt = choice.transferredAt;
        this.prefixes.recordDispatch(prefill.id, request.prefixes);
        return this.assignedDecision(request, prefill.id, decode.id, choice.expectedReuse);
    }

    private assignedDecision(
        request: SchedulingRequest,
        prefill: string,
        decode: string,
        expectedReuse: number,
    ): SchedulingDecision {
        return { kind: "assigned", attempt: request.attempt, prefill, decode, fence: this.fence, expectedReuse };
    }
}

/**
 * Whether an event may free engines. A finished transfer and a first token don't; dispatching on them doubled the work
 * per request.
 */
function mayFreeEngines(event: SchedulerEvent): boolean {
    return event.kind !== "progress"
        || (event.progress.stage !== "transferred" && event.progress.stage !== "firstToken");
}
