import type { SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AdmissionForecast, ModelEnginesStatus, PhaseTimes, QueuedAhead } from "./admissionForecast.js";
import type { EngineChooser } from "./engineChoice.js";
import type { ModelEngineIndex, ModelEngines } from "./modelEngineIndex.js";
import type { OrganisationShares } from "./organisationShares.js";
import { refuse } from "./refusals.js";
import type { PoolRules } from "./scheduler.js";
import type { QueuedRequest, SchedulingQueue } from "./schedulingQueue.js";
import type { TrackedPool } from "./trackedPool.js";
import type { TransferTimes } from "./transferTimes.js";
import type { SchedulerTuning } from "./tuning.js";

/** Retry delay given to callers when no engine is available. */
const noEngineRetryMilliseconds = 1_000;
/** Retry delay given to callers when the queue is full or their organisation has reached its limit. */
const fullRetryMilliseconds = 500;
/** Upper bound of the jitter added to retry delays, so that refused callers don't all retry at the same time. */
const retryJitterMilliseconds = 500;
/**
 * Factor by which the forecast may exceed the target while a request is queued; without it small fluctuations cause
 * refusals.
 */
const reviewTolerance = 1.1;
/** Shift of a request's sort key for each step of priority. */
const priorityStepMilliseconds = 10;
/** Priority of requests whose route declares none. */
const defaultPriority = 100;
/** Added to the sort key of late requests, so that they sort after all others. */
const lateKeyOffset = 1e9;

const emptyQueueAhead: QueuedAhead = { requests: 0, work: 0 };

type AdmissionParts = {
    readonly trackedPool: TrackedPool;
    readonly queue: SchedulingQueue;
    readonly modelEngineIndex: ModelEngineIndex;
    readonly forecast: AdmissionForecast;
    readonly chooser: EngineChooser;
    readonly transfers: TransferTimes;
    readonly shares: OrganisationShares;
    readonly tuning: SchedulerTuning;
};

/** Decides which requests are queued and in which order. Refuses immediately those that can't meet their targets. */
export class Admission {
    private constructor(private readonly parts: AdmissionParts) {}

    static create(parts: AdmissionParts): Admission {
        return new Admission(parts);
    }

    /** Queues a request, or returns its refusal. */
    admit(request: SchedulingRequest, rules: PoolRules | undefined, now: number): SchedulingDecision | undefined {
        const { queue, modelEngineIndex: engineIndex, shares } = this.parts;
        const modelEngines = engineIndex.enginesFor(request);
        if (modelEngines.prefill.length === 0 || modelEngines.decode.length === 0) {
            const role = modelEngines.prefill.length === 0 ? "prefill" : "decode";
            const message = `pool ${request.pool} has no ready ${role} engine for ${request.model}`;
            return refuse(request, "noBackend", message, noEngineRetryMilliseconds);
        }
        const limit = this.limitRefusal(request, rules);
        if (limit !== undefined) {
            return limit;
        }
        const times = this.expectedTimes(request, modelEngines, now);
        const onTime = this.queueEntry(request, times, false, now);
        const ahead = this.queuedAheadOf(queue.positionOf(onTime.key));
        const refuses = rules?.pool.weighting === "goodput";
        const expected = this.expectedFirstToken(request, modelEngines, ahead, times, refuses, now);
        const verdict = this.verdict(onTime, expected, this.parts.tuning.admission, times, rules, now);
        if (verdict === "refuse") {
            return this.targetRefusal(request, expected);
        }
        const organisation = rules?.organisations[request.organisation] ?? rules?.anyOrganisation;
        const shareStart = organisation === undefined
            ? 0
            : shares.charge(request.organisation, organisation, poolMilliseconds(request, modelEngines, times.work));
        const waiting = verdict === "late" ? this.queueEntry(request, times, true, now) : onTime;
        queue.add({ ...waiting, shareStart });
        return undefined;
    }

    private expectedFirstToken(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        ahead: QueuedAhead,
        times: PhaseTimes,
        refuses: boolean,
        now: number,
    ): number {
        const { forecast, shares } = this.parts;
        const currentLoad = forecast.status(modelEngines, now);
        const next = forecast.firstTokenIn(request, modelEngines, currentLoad, emptyQueueAhead, times);
        const queued = forecast.firstTokenIn(request, modelEngines, currentLoad, ahead, times) - next;
        // Later arrivals of organisations within their share overtake a request whose organisation is over its share.
        // Without this the request is admitted, overtaken, and refused only after it has waited.
        const lag = refuses ? shares.lag(request.organisation) : 0;
        const overtaking = Math.min(1, lag / Math.max(1, request.firstTokenWithin));
        return next + queued * (1 + overtaking);
    }

    /**
     * Re-evaluates all queued requests. Refuses those that can't meet their targets any more, without waiting for their
     * deadlines.
     */
    review(rules: PoolRules | undefined, now: number): SchedulingDecision[] {
        const refusals: SchedulingDecision[] = [];
        let requestsAhead = 0;
        let work = 0;
        const currentLoads = new Map<ModelEngines, ModelEnginesStatus>();
        for (const waiting of this.parts.queue.all()) {
            const { demand: request } = waiting;
            const modelEngines = this.parts.modelEngineIndex.enginesFor(request);
            const currentLoad = currentLoads.get(modelEngines) ?? this.parts.forecast.status(modelEngines, now);
            currentLoads.set(modelEngines, currentLoad);
            const refusal = modelEngines.prefill.length === 0 || modelEngines.decode.length === 0
                ? refuse(
                    request,
                    "noBackend",
                    `pool ${request.pool} has no prefill or no decode engine left for ${request.model}`,
                    noEngineRetryMilliseconds,
                )
                : this.reviewQueued(waiting, modelEngines, currentLoad, { requests: requestsAhead, work }, rules, now);
            if (refusal === undefined) {
                requestsAhead++;
                work += waiting.work;
                continue;
            }
            this.parts.queue.remove(request.attempt);
            refusals.push(refusal);
        }
        return refusals;
    }

    private reviewQueued(
        waiting: QueuedRequest,
        modelEngines: ModelEngines,
        currentLoad: ModelEnginesStatus,
        ahead: QueuedAhead,
        rules: PoolRules | undefined,
        now: number,
    ): SchedulingDecision | undefined {
        const { demand: request } = waiting;
        const expected = this.parts.forecast.firstTokenIn(request, modelEngines, currentLoad, ahead, waiting);
        const verdict = this.verdict(waiting, expected, reviewTolerance, waiting, rules, now);
        if (verdict === "refuse") {
            return this.targetRefusal(request, expected);
        }
        if (verdict === "late" && !waiting.late) {
            this.parts.queue.remove(request.attempt);
            this.parts.queue.add({ ...waiting, late: true, key: waiting.endsBy + lateKeyOffset });
        }
        return undefined;
    }

    private verdict(
        waiting: QueuedRequest,
        expected: number,
        tolerance: number,
        times: PhaseTimes,
        rules: PoolRules | undefined,
        now: number,
    ): "onTime" | "late" | "refuse" {
        const { demand: request } = waiting;
        const answerTime = request.expectedTokens * (rules?.pool.targets.perToken ?? 0);
        const whole = now + expected + answerTime <= waiting.endsBy;
        if (!waiting.late && now + expected <= now + (waiting.firstTokenBy - now) * tolerance) {
            return whole ? "onTime" : "refuse";
        }
        const hopeless = times.work + times.transfer > request.firstTokenWithin;
        // A retry doesn't help a prompt that is too long for the target even on an idle pool, and for a caller that has
        // received part of its answer a refusal is worse than a pause.
        const lateIsBetter = rules?.pool.weighting === "prefill" || hopeless || request.alreadySent > 0;
        return lateIsBetter && whole ? "late" : "refuse";
    }

    private limitRefusal(request: SchedulingRequest, rules: PoolRules | undefined): SchedulingDecision | undefined {
        const { queue, trackedPool: tracked } = this.parts;
        if (rules === undefined) {
            return undefined;
        }
        const organisation = rules.organisations[request.organisation] ?? rules.anyOrganisation;
        if (
            queue.openRequestsOf(request.organisation) + tracked.openRequestsOf(request.organisation)
                >= organisation.openRequests
        ) {
            const message =
                `${request.organisation} has ${organisation.openRequests} requests open in pool ${request.pool}`;
            return refuse(request, "organisationLimit", message, fullRetryMilliseconds + retryJitter(request.attempt));
        }
        if (queue.size >= rules.pool.queueLimit) {
            const message = `${queue.size} requests wait in pool ${request.pool}`;
            return refuse(request, "poolFull", message, fullRetryMilliseconds + retryJitter(request.attempt));
        }
        return undefined;
    }

    private queueEntry(request: SchedulingRequest, times: PhaseTimes, late: boolean, now: number): QueuedRequest {
        const firstTokenBy = now + request.firstTokenWithin;
        const endsBy = now + request.deadlineWithin;
        const priority = (request.priority - defaultPriority) * priorityStepMilliseconds;
        const key = late
            ? endsBy + lateKeyOffset
            : firstTokenBy + priority + this.parts.shares.lag(request.organisation);
        return { demand: request, arrivedAt: now, firstTokenBy, endsBy, key, ...times, late, shareStart: 0 };
    }

    private queuedAheadOf(position: number): QueuedAhead {
        const { queue } = this.parts;
        return { requests: position, work: queue.size === 0 ? 0 : queue.work * position / queue.size };
    }

    private expectedTimes(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        now: number,
    ): { readonly work: number; readonly transfer: number; } {
        const chosen = this.parts.chooser.choosePrefill(request, modelEngines.prefill, now);
        const prefill = chosen?.prefill ?? modelEngines.prefill[0]!;
        return {
            work: chosen?.work ?? request.promptTokens * prefill.tokenTime,
            transfer: this.parts.transfers.expected(prefill, modelEngines.decode[0]!, request.promptTokens),
        };
    }

    private targetRefusal(request: SchedulingRequest, expected: number): SchedulingDecision {
        const message = `first token expected in ${Math.round(expected)} ms, too late for the target or deadline`;
        const retryAfter = Math.max(0, expected - request.firstTokenWithin) + retryJitter(request.attempt);
        return refuse(request, "targetsOutOfReach", message, retryAfter);
    }
}

/** Time in milliseconds for which the request would occupy the whole pool. */
function poolMilliseconds(request: SchedulingRequest, modelEngines: ModelEngines, work: number): number {
    const decoding = request.expectedTokens * modelEngines.decode[0]!.tokenTime / modelEngines.slots;
    return Math.max(work / modelEngines.prefill.length, decoding);
}

/** Jitter in milliseconds for retry delays; deterministic for each attempt. */
function retryJitter(attempt: string): number {
    return Math.floor(hashToFraction(attempt) * retryJitterMilliseconds);
}
