import type { SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AdmissionForecast, ModelEnginesLoad, PhaseTimes, QueuedAhead } from "./admissionForecast.js";
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
 * Factor by which the forecast of a queued request may exceed its target before the request is refused. Without it small
 * fluctuations of the forecast cause refusals.
 */
const reviewTolerance = 1.1;
/** Milliseconds by which each step of priority moves a request's sort key. */
const priorityStepMilliseconds = 10;
/** Priority of requests whose route declares none. */
const defaultPriority = 100;
/** Added to the sort key of late requests, so that they sort after all others. */
const lateKeyOffset = 1e9;

const emptyQueueAhead: QueuedAhead = { requests: 0, prefillTime: 0 };

type AdmissionOptions = {
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
    private constructor(private readonly options: AdmissionOptions) {}

    static create(options: AdmissionOptions): Admission {
        return new Admission(options);
    }

    /** Queues a request, or returns its refusal. */
    admit(request: SchedulingRequest, rules: PoolRules | undefined, now: number): SchedulingDecision | undefined {
        const { queue, modelEngineIndex: engineIndex, shares } = this.options;
        const modelEngines = engineIndex.enginesFor(request);
        if (modelEngines.prefill.length === 0 || modelEngines.decode.length === 0) {
            const role = modelEngines.prefill.length === 0 ? "prefill" : "decode";
            const message = `pool ${request.pool} has no ready ${role} engine for ${request.model}`;
            return refuse(request, "noBackend", message, noEngineRetryMilliseconds);
        }
        const limitReached = this.limitRefusal(request, rules);
        if (limitReached !== undefined) {
            return limitReached;
        }
        const times = this.expectedTimes(request, modelEngines, now);
        const onTimeEntry = this.queueEntry(request, times, false, now);
        const queuedAhead = this.queuedAheadOf(queue.positionOf(onTimeEntry.sortKey));
        const isGoodputWeighted = rules?.pool.weighting === "goodput";
        const firstTokenDelay = this.expectedFirstTokenDelay(
            request,
            modelEngines,
            queuedAhead,
            times,
            isGoodputWeighted,
            now,
        );
        const verdict = this.verdict(onTimeEntry, firstTokenDelay, this.options.tuning.admission, times, rules, now);
        if (verdict === "refuse") {
            return this.targetRefusal(request, firstTokenDelay);
        }
        const organisation = rules?.organisations[request.organisation] ?? rules?.anyOrganisation;
        const virtualStart = organisation === undefined
            ? 0
            : shares.charge(
                request.organisation,
                organisation,
                poolMilliseconds(request, modelEngines, times.prefillTime),
            );
        const entry = verdict === "late" ? this.queueEntry(request, times, true, now) : onTimeEntry;
        queue.add({ ...entry, virtualStart });
        return undefined;
    }

    private expectedFirstTokenDelay(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        ahead: QueuedAhead,
        times: PhaseTimes,
        isGoodputWeighted: boolean,
        now: number,
    ): number {
        const { forecast, shares } = this.options;
        const currentLoad = forecast.currentLoad(modelEngines, now);
        const unqueuedDelay = forecast.firstTokenDelay(request, modelEngines, currentLoad, emptyQueueAhead, times);
        const queueDelay = forecast.firstTokenDelay(request, modelEngines, currentLoad, ahead, times) - unqueuedDelay;
        // Later requests of organisations within their share overtake a request of an organisation over its share. So its
        // forecast queue delay is lengthened by the lag, as a fraction of its target for the first token and at most doubled.
        // Without this it would be admitted, overtaken, and refused only after it has waited.
        const lag = isGoodputWeighted ? shares.lag(request.organisation) : 0;
        const overtakingFraction = Math.min(1, lag / Math.max(1, request.firstTokenWithin));
        return unqueuedDelay + queueDelay * (1 + overtakingFraction);
    }

    /**
     * Re-evaluates all queued requests. Refuses those that can't meet their targets any more, without waiting for their
     * deadlines.
     */
    review(rules: PoolRules | undefined, now: number): SchedulingDecision[] {
        const refusals: SchedulingDecision[] = [];
        let requestsAhead = 0;
        let prefillTimeAhead = 0;
        const currentLoads = new Map<ModelEngines, ModelEnginesLoad>();
        for (const queuedRequest of this.options.queue.all()) {
            const { schedulingRequest: request } = queuedRequest;
            const modelEngines = this.options.modelEngineIndex.enginesFor(request);
            const currentLoad = currentLoads.get(modelEngines) ?? this.options.forecast.currentLoad(modelEngines, now);
            currentLoads.set(modelEngines, currentLoad);
            const refusal = modelEngines.prefill.length === 0 || modelEngines.decode.length === 0
                ? refuse(
                    request,
                    "noBackend",
                    `pool ${request.pool} has no ready prefill or no ready decode engine left for ${request.model}`,
                    noEngineRetryMilliseconds,
                )
                : this.reviewQueued(
                    queuedRequest,
                    modelEngines,
                    currentLoad,
                    { requests: requestsAhead, prefillTime: prefillTimeAhead },
                    rules,
                    now,
                );
            if (refusal === undefined) {
                requestsAhead++;
                prefillTimeAhead += queuedRequest.prefillTime;
                continue;
            }
            this.options.queue.remove(request.attempt);
            refusals.push(refusal);
        }
        return refusals;
    }

    private reviewQueued(
        queuedRequest: QueuedRequest,
        modelEngines: ModelEngines,
        currentLoad: ModelEnginesLoad,
        ahead: QueuedAhead,
        rules: PoolRules | undefined,
        now: number,
    ): SchedulingDecision | undefined {
        const { schedulingRequest: request } = queuedRequest;
        const firstTokenDelay = this.options.forecast.firstTokenDelay(
            request,
            modelEngines,
            currentLoad,
            ahead,
            queuedRequest,
        );
        const verdict = this.verdict(queuedRequest, firstTokenDelay, reviewTolerance, queuedRequest, rules, now);
        if (verdict === "refuse") {
            return this.targetRefusal(request, firstTokenDelay);
        }
        if (verdict === "late" && !queuedRequest.late) {
            this.options.queue.remove(request.attempt);
            this.options.queue.add({ ...queuedRequest, late: true, sortKey: queuedRequest.deadlineAt + lateKeyOffset });
        }
        return undefined;
    }

    private verdict(
        queuedRequest: QueuedRequest,
        firstTokenDelay: number,
        tolerance: number,
        times: PhaseTimes,
        rules: PoolRules | undefined,
        now: number,
    ): "onTime" | "late" | "refuse" {
        const { schedulingRequest: request } = queuedRequest;
        const answerTime = request.expectedTokens * (rules?.pool.targets.perToken ?? 0);
        const meetsDeadline = now + firstTokenDelay + answerTime <= queuedRequest.deadlineAt;
        if (
            !queuedRequest.late && now + firstTokenDelay <= now + (queuedRequest.firstTokenTargetAt - now) * tolerance
        ) {
            return meetsDeadline ? "onTime" : "refuse";
        }
        const exceedsTargetWhenIdle = times.prefillTime + times.transferTime > request.firstTokenWithin;
        // A retry doesn't help a prompt that is too long for the target even on an idle pool, and for a caller that has
        // received part of its answer a refusal is worse than a pause.
        const mayBeLate = rules?.pool.weighting === "prefill" || exceedsTargetWhenIdle || request.alreadySent > 0;
        return mayBeLate && meetsDeadline ? "late" : "refuse";
    }

    private limitRefusal(request: SchedulingRequest, rules: PoolRules | undefined): SchedulingDecision | undefined {
        const { queue, trackedPool: pool } = this.options;
        if (rules === undefined) {
            return undefined;
        }
        const organisation = rules.organisations[request.organisation] ?? rules.anyOrganisation;
        if (
            queue.openRequestsOf(request.organisation) + pool.openRequestsOf(request.organisation)
                >= organisation.openRequests
        ) {
            const message =
                `${request.organisation} has ${organisation.openRequests} requests open in pool ${request.pool}`;
            return refuse(request, "organisationLimit", message, fullRetryMilliseconds + retryJitter(request.attempt));
        }
        if (queue.size >= rules.pool.queueLimit) {
            const message = `${queue.size} requests are already queued in pool ${request.pool}`;
            return refuse(request, "poolFull", message, fullRetryMilliseconds + retryJitter(request.attempt));
        }
        return undefined;
    }

    private queueEntry(request: SchedulingRequest, times: PhaseTimes, late: boolean, now: number): QueuedRequest {
        const firstTokenTargetAt = now + request.firstTokenWithin;
        const deadlineAt = now + request.deadlineWithin;
        const priority = (request.priority - defaultPriority) * priorityStepMilliseconds;
        const sortKey = late
            ? deadlineAt + lateKeyOffset
            : firstTokenTargetAt + priority + this.options.shares.lag(request.organisation);
        return {
            schedulingRequest: request,
            arrivedAt: now,
            firstTokenTargetAt,
            deadlineAt,
            sortKey,
            ...times,
            late,
            virtualStart: 0,
        };
    }

    private queuedAheadOf(position: number): QueuedAhead {
        const { queue } = this.options;
        return {
            requests: position,
            prefillTime: queue.size === 0 ? 0 : queue.totalPrefillTime * position / queue.size,
        };
    }

    private expectedTimes(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        now: number,
    ): { readonly prefillTime: number; readonly transferTime: number; } {
        const choice = this.options.chooser.choosePrefill(request, modelEngines.prefill, now);
        const prefill = choice?.prefill ?? modelEngines.prefill[0]!;
        return {
            prefillTime: choice?.work ?? request.promptTokens * prefill.tokenTime,
            transferTime: this.options.transfers.expected(prefill, modelEngines.decode[0]!, request.promptTokens),
        };
    }

    private targetRefusal(request: SchedulingRequest, firstTokenDelay: number): SchedulingDecision {
        const message = `first token expected in ${
            Math.round(firstTokenDelay)
        } ms, too late for the target or deadline`;
        const retryAfter = Math.max(0, firstTokenDelay - request.firstTokenWithin) + retryJitter(request.attempt);
        return refuse(request, "targetsOutOfReach", message, retryAfter);
    }
}

/** Time in milliseconds for which the request would occupy the whole pool. */
function poolMilliseconds(request: SchedulingRequest, modelEngines: ModelEngines, prefillTime: number): number {
    const decoding = request.expectedTokens * modelEngines.decode[0]!.tokenTime / modelEngines.slots;
    return Math.max(prefillTime / modelEngines.prefill.length, decoding);
}

/** Jitter in milliseconds for retry delays; deterministic for each attempt. */
function retryJitter(attempt: string): number {
    return Math.floor(hashToFraction(attempt) * retryJitterMilliseconds);
}
