import type { EngineHolding, Progress, SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";
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
/** Time between two ticks while the queue is empty and attempts hold engines. */
const idleTickIntervalMilliseconds = 1_000;
/** Time after a stall without new assignments, so that messages about placements made during the stall are applied first. */
const settlingMilliseconds = 30;
/**
 * Number of queued requests examined per dispatch, so that one that can't start doesn't block those that can use other
 * engines.
 */
const lookahead = 32;

/**
 * The scheduler of one pool. Reserves prefill, link and decode together, and starts a prefill only when a decode slot
 * is free for its result.
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
    private settledAt = -Infinity;

    private constructor(
        private readonly fence: number,
        private warm: boolean,
        private readonly tuning: SchedulerTuning,
    ) {
        super();
        this.shares = OrganisationShares.create(tuning.mostLag);
        const { pool: tracked, prefixes, transfers } = this;
        this.chooser = EngineChooser.create({ prefixes, transfers, tuning });
        this.admission = Admission.create({
            trackedPool: tracked,
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
     * `warm`: whether nothing can have been assigned before; otherwise only decode engines that have reported their
     * load are used until the event `warm`.
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
        if (mayFreeEngines(event) && now >= this.settledAt) {
            this.dispatch(decisions, now);
        }
        return decisions;
    }

    override move(holding: EngineHolding, now: number): string | undefined {
        const { demand: request } = holding;
        this.queue.remove(request.attempt);
        this.pool.restore(holding, now);
        const assignment = this.pool.assignments.get(request.attempt);
        const prefill = this.pool.engines.get(holding.prefill);
        if (assignment === undefined || prefill === undefined) {
            return undefined;
        }
        if (assignment.decode !== holding.decode) {
            // A previous call moved it, and its answer was lost.
            return assignment.decode;
        }
        this.pool.engines.get(holding.decode)?.recordFull(request.attempt);
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
        return { held: this.pool.heldByEngine(), waiting: this.queue.size };
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
                this.settledAt = now + settlingMilliseconds;
                return [];
            case "tick":
                return this.tick(now);
        }
    }

    private handleRequest(request: SchedulingRequest, now: number): SchedulingDecision[] {
        if (this.queue.has(request.attempt)) {
            return [];
        }
        const held = this.pool.assignments.get(request.attempt);
        if (held !== undefined) {
            return [this.assignedDecision(request, held.prefill, held.decode, 0)];
        }
        const refusal = this.admission.admit(request, this.rules, now);
        return refusal === undefined ? [] : [refusal];
    }

    private progress(progress: Progress, now: number): void {
        const before = this.pool.assignments.get(progress.attempt);
        if (before === undefined) {
            return;
        }
        this.displaced.remove(progress.attempt);
        this.learn(before, progress, now);
        this.pool.progress(progress, now);
        if (progress.failedEngine !== undefined) {
            this.pool.engines.get(progress.failedEngine)?.recordFailure(now);
        }
    }

    private learn(assignment: Assignment, progress: Progress, now: number): void {
        const { demand: request } = assignment;
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
        const hadLinkToItself = assignment.expectedLinkWait === 0 && assignment.stage === "prefilled";
        if (progress.stage === "transferred" && hadLinkToItself && prefill !== undefined && decode !== undefined) {
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
            const known = this.pool.engines.get(announcement.id);
            if (
                known !== undefined && (state === "gone" || announcement.incarnation > known.announcement.incarnation)
            ) {
                this.prefixes.removeEngine(announcement.id);
            }
        }
        this.pool.setEngines(engines, now);
        this.engineIndex.clear();
    }

    private releaseClosedSessions(open: Extract<SchedulerEvent, { kind: "sessions"; }>["open"], now: number): void {
        const names = new Set(open.map(session => `${session.daemon}/${session.incarnation}`));
        const closed = (request: SchedulingRequest): boolean =>
            !names.has(`${request.owner.daemon}/${request.owner.incarnation}`);
        for (const { demand: request } of this.queue.all()) {
            if (closed(request)) {
                this.queue.remove(request.attempt);
            }
        }
        this.pool.releaseWhere(assignment => closed(assignment.demand), now);
    }

    private tick(now: number): SchedulingDecision[] {
        this.lastTick = now;
        this.pool.releaseWhere(assignment => assignment.endsBy <= now, now);
        if (this.queue.size === 0) {
            this.shares.reset();
        }
        return this.admission.review(this.rules, now);
    }

    private dispatch(decisions: SchedulingDecision[], now: number): void {
        const full = new Set<string>();
        let position = 0;
        for (let looked = 0; looked < lookahead; looked++) {
            const waiting = this.queue.at(position);
            if (waiting === undefined) {
                return;
            }
            const { demand: request } = waiting;
            const kind = `${request.model}\n${request.adapter ?? ""}\n${request.version ?? ""}`;
            const choice = full.has(kind) ? undefined : this.choose(request, now);
            if (choice === "full") {
                if (request.avoid.length === 0) {
                    full.add(kind);
                }
            }
            if (choice === undefined || choice === "full" || choice === "wait") {
                position++;
                continue;
            }
            decisions.push(this.assign(waiting, choice, now));
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
     * Whether all free slots are reserved for displaced attempts, whose prefill is done and whose decode engine was
     * full.
     */
    private areFreeSlotsReserved(decodes: readonly TrackedEngine[], now: number): boolean {
        const owed = this.displaced.count(now);
        return owed > 0
            && owed >= decodes.reduce((sum, engine) => sum + Math.max(0, engine.slots - engine.usedSlots), 0);
    }

    private assign(waiting: QueuedRequest, choice: EngineChoice, now: number): SchedulingDecision {
        const { demand: request } = waiting;
        const { prefill, decode } = choice;
        this.queue.remove(request.attempt);
        this.shares.recordServed(waiting.shareStart);
        const assignment = this.pool.assign(request, choice, now);
        assignment.expectedCachedBlocks = this.prefixes.matched(prefill.id, request.prefixes);
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
