import { type PlacementRequest, type ServerAnnouncement, softwareVersionOf } from "../../protocol/index.js";
import { EngineSpeed } from "../cost/index.js";

const millisecondsInSecond = 1_000;

/** Factor by which a prefill takes longer on a decode engine, which interleaves it with decoding. */
const decodePrefillFactor = 2.2;
/** Duration of a prefill in addition to the time for its tokens. */
const prefillOverheadMilliseconds = 10;
/**
 * Expected time for its pending prefills from which on a prefill engine takes no further prompt, if the backlog is bounded: long
 * enough that it has work until the next prompt arrives.
 */
const maxBacklogMilliseconds = 150;
/** Score penalty of a full engine over an empty one: larger batches take longer for each token. */
const loadPenaltyMilliseconds = 60;
/** Score penalty of an engine pair in two failure domains: transfers between domains take twice as long and cost more. */
const crossDomainPenaltyMilliseconds = 80;
/** Initial and maximum time for which an engine receives no work after a failure. */
const initialPauseMilliseconds = 800;
const maxPauseMilliseconds = 8_000;
/** How long an engine receives no work after a rejected run: about the time until one of a full engine's runs ends. */
const rejectionPauseMilliseconds = 400;

/**
 * Ratio of actual to expected prefill duration that is normal even if no other daemon assigns prefills to the engine: hosts
 * and network paths differ.
 */
const expectedDelayFactor = 1.5;
/**
 * Delay factor of one engine's prefills: its bounds, the weight of one prefill, and its half-life. It accounts for prefills
 * that this instance didn't assign: gateways place locally while there is no leader, so that just after an election prefills
 * take long although the leader knows of short queues only.
 */
const minDelayFactor = 1;
const maxDelayFactor = 4;
const delayFactorWeight = 0.3;
const delayHalfLifeMilliseconds = 2_000;

/** Runs that have written as much as expected are taken to write this fraction more. */
const minRemainingFraction = 0.1;

/** KV cache tokens and slots of one engine that may be allocated. */
export type EngineCapacity = { readonly tokens: number; readonly slots: number; };

/** A run for which KV cache is allocated. */
type Allocation = { readonly tokens: number; readonly answerTokens: number; readonly addedAt: number; };

/** A prefill that is queued or running. */
type PendingPrefill = {
    readonly tokens: number;
    readonly addedAt: number;
    /** Expected milliseconds until its completion, after the prefills assigned before it. */
    readonly expectedMilliseconds: number;
};

/** The tracked state of one engine: its announcement, and the runs and prefills assigned to it. */
export class EngineLoad {
    /** Allocated tokens of KV cache. */
    allocatedTokens = 0;
    readonly speed = EngineSpeed.create();
    private readonly allocations = new Map<string, Allocation>();
    /** Sums of the expected answer tokens and of the start times of all runs. */
    private answerTokens = 0;
    private startTimes = 0;
    private readonly prefills = new Map<string, PendingPrefill>();
    private prefillTokens = 0;
    private prefillingSince = 0;
    private consecutiveFailures = 0;
    private pausedUntil = 0;
    private delayFactor = minDelayFactor;
    private delayMeasuredAt = 0;
    private nextSendAt = 0;
    private stageOrder: { readonly stage: ServerAnnouncement["stage"]; readonly until: number; } | undefined;

    private constructor(public announced: ServerAnnouncement) {}

    static create(announced: ServerAnnouncement): EngineLoad {
        return new EngineLoad(announced);
    }

    get id(): string {
        return this.announced.id;
    }

    /** Number of runs for which KV cache is allocated. */
    get runs(): number {
        return this.allocations.size;
    }

    /** Version of its software; empty if it reports none. */
    get version(): string {
        return softwareVersionOf(this.announced);
    }

    /** Whether new work may be assigned to the engine. */
    acceptsWork(now: number): boolean {
        return this.announced.state === "ready" && now >= this.pausedUntil && !this.isChangingStage(now);
    }

    /**
     * Records an order to change the engine's stage. It then finishes its current runs and rejects all others, but announces
     * itself as ready in its old stage until the change is complete; prefills for rejected runs would be wasted.
     * `until`: when the order is considered failed.
     */
    setStageOrder(stage: ServerAnnouncement["stage"], until: number): void {
        this.stageOrder = { stage, until };
    }

    private isChangingStage(now: number): boolean {
        const { stageOrder } = this;
        return stageOrder !== undefined && now < stageOrder.until && this.announced.stage !== stageOrder.stage;
    }

    /** Whether an engine that names a limit may be sent its next request. */
    isSendDue(now: number): boolean {
        return now >= this.nextSendAt;
    }

    /** Records a request to an engine that takes `limit` of them a second. */
    recordSend(limit: number, now: number): void {
        this.nextSendAt = Math.max(now, this.nextSendAt) + millisecondsInSecond / limit;
    }

    /** Whether the engine has room for a run. An engine without runs accepts even one that exceeds the capacity. */
    hasRoom(request: PlacementRequest, capacity: EngineCapacity): boolean {
        if (this.allocations.size === 0) {
            return true;
        }
        return this.allocations.size < capacity.slots && this.allocatedTokens + request.cacheTokens <= capacity.tokens;
    }

    /** Score penalty for the engine's load, in milliseconds. */
    loadPenalty(capacity: EngineCapacity): number {
        return loadPenaltyMilliseconds * this.allocatedTokens / Math.max(1, capacity.tokens);
    }

    /** Score penalty for transferring the KV cache to the decode engine, in milliseconds. */
    domainPenalty(decode: EngineLoad): number {
        return this.announced.failureDomain === decode.announced.failureDomain ? 0 : crossDomainPenaltyMilliseconds;
    }

    /** Allocates KV cache for a run. `answerTokens`: the part of it that the run is expected to write. */
    addRun(attempt: string, tokens: number, answerTokens: number, now: number): void {
        this.removeRun(attempt);
        this.allocations.set(attempt, { tokens, answerTokens, addedAt: now });
        this.answerTokens += answerTokens;
        this.startTimes += now;
        this.allocatedTokens += tokens;
    }

    /** Frees a run's KV cache. */
    removeRun(attempt: string): void {
        const run = this.allocations.get(attempt);
        if (run !== undefined) {
            this.allocations.delete(attempt);
            const isEmpty = this.allocations.size === 0;
            this.allocatedTokens = isEmpty ? 0 : this.allocatedTokens - run.tokens;
            this.answerTokens = isEmpty ? 0 : this.answerTokens - run.answerTokens;
            this.startTimes = isEmpty ? 0 : this.startTimes - run.addedAt;
        }
    }

    /** Expected tokens that the runs have still to write, at the given milliseconds per token. */
    remainingTokens(now: number, tokenTime: number): number {
        const written = (this.allocations.size * now - this.startTimes) / tokenTime;
        return Math.max(this.answerTokens * minRemainingFraction, this.answerTokens - written);
    }

    /** Records a prefill assigned to the engine. */
    addPrefill(attempt: string, tokens: number, now: number): void {
        const expectedMilliseconds = this.queueDelay(now) + this.prefillTime(tokens);
        if (this.prefills.size === 0) {
            this.prefillingSince = now;
        }
        this.prefills.set(attempt, { tokens, addedAt: now, expectedMilliseconds });
        this.prefillTokens += tokens;
    }

    /** Records a completed prefill, and updates the time per token if no other prefill was pending meanwhile. */
    prefillCompleted(attempt: string, now: number): void {
        const prefill = this.prefills.get(attempt);
        if (
            prefill !== undefined && this.prefills.size === 1 && prefill.addedAt === this.prefillingSince
            && prefill.tokens > 0
        ) {
            const observed = Math.max(0, now - prefill.addedAt - prefillOverheadMilliseconds) / prefill.tokens;
            this.speed.recordPrefill(observed);
        }
        if (prefill !== undefined) {
            this.updateDelayFactor(prefill.expectedMilliseconds, now - prefill.addedAt, now);
        }
        this.removePrefill(attempt, now);
        this.recordSuccess();
    }

    /** Removes a prefill that has completed or was abandoned. */
    removePrefill(attempt: string, now: number): void {
        const prefill = this.prefills.get(attempt);
        if (prefill !== undefined) {
            this.prefills.delete(attempt);
            this.prefillTokens -= prefill.tokens;
            this.prefillingSince = now;
        }
    }

    /** Expected milliseconds until the pending prefills are complete. */
    queueDelay(now: number): number {
        const totalWork = this.prefillTokens * this.speed.prefillMillisecondsPerToken
            + this.prefills.size * prefillOverheadMilliseconds;
        return Math.max(0, this.prefillingSince + totalWork - now, this.prefills.size > 0 ? totalWork / 2 : 0);
    }

    /** Whether the time for its pending prefills is within the bound of a bounded backlog. */
    acceptsPrompt(now: number): boolean {
        return this.queueDelay(now) <= maxBacklogMilliseconds;
    }

    hasNoPrefills(): boolean {
        return this.prefills.size === 0;
    }

    /** Prompt tokens that it reads in a millisecond. */
    prefillRate(): number {
        return 1 / this.speed.prefillMillisecondsPerToken;
    }

    /** Expected milliseconds until a new prefill is complete, after the pending ones and those that others assigned. */
    prefillDelay(tokens: number, now: number): number {
        return (this.queueDelay(now) + this.prefillTime(tokens)) * this.currentDelayFactor(now);
    }

    /** Expected milliseconds of a prefill, without the time in the queue. */
    prefillTime(tokens: number): number {
        return tokens * this.speed.prefillMillisecondsPerToken + prefillOverheadMilliseconds;
    }

    /** Expected milliseconds until a decode engine completes a prefill itself: at about half the speed, after its pending ones. */
    decodePrefillDelay(tokens: number, now: number): number {
        return decodePrefillFactor * (this.queueDelay(now) + this.prefillTime(tokens));
    }

    /** Records a failure and pauses the engine. One with a stalled link appears idle and would otherwise receive more runs. */
    recordFailure(now: number): void {
        if (now >= this.pausedUntil) {
            this.pausedUntil = now
                + Math.min(maxPauseMilliseconds, initialPauseMilliseconds * 2 ** this.consecutiveFailures);
            this.consecutiveFailures += 1;
        }
    }

    /** Pauses the engine after a rejected run for which it is at fault: it is full, or its KV caches expire. */
    recordRejection(now: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, now + rejectionPauseMilliseconds);
    }

    /** Records successful work, which ends a pause. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.pausedUntil = 0;
    }

    /** Updates the delay factor by the expected and the actual duration of a prefill. */
    private updateDelayFactor(expected: number, actual: number, now: number): void {
        const observedFactor = Math.min(
            maxDelayFactor,
            Math.max(minDelayFactor, actual / (expectedDelayFactor * Math.max(1, expected))),
        );
        const current = this.currentDelayFactor(now);
        this.delayFactor = current + delayFactorWeight * (observedFactor - current);
        this.delayMeasuredAt = now;
    }

    private currentDelayFactor(now: number): number {
        return minDelayFactor
            + (this.delayFactor - minDelayFactor)
                * 0.5 ** ((now - this.delayMeasuredAt) / delayHalfLifeMilliseconds);
    }
}
