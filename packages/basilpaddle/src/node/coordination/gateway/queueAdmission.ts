import type { PlacementDecision, PlacementRequest } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { EnginePool } from "./enginePool.js";
import type { PlacementForecast } from "./placementForecast.js";
import { noEngineRefusal, tooLateRefusal, versionGoneRefusal } from "./placementRefusals.js";
import type { QueueObserver, RefusalCause } from "./queueObserver.js";
import type { QueueOrder } from "./queueOrder.js";
import type { RefusedRequests } from "./refusedRequests.js";
import { RetryPromises } from "./retryPromises.js";
import { TokensAhead } from "./tokensAhead.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Dependencies of the admission to a queue. */
export type QueueAdmissionOptions = {
    readonly pool: EnginePool;
    readonly forecast: PlacementForecast;
    readonly observer: QueueObserver;
    /** Kept by the queue, so that a changed admission knows what the previous one refused. */
    readonly refused: RefusedRequests;
};

/** Margin by which the forecast must be earlier than the caller's timeout for a request to stay in the queue. */
const timeoutMarginMilliseconds = 250;
/**
 * How long a request waits while no engine is known: after a restart of all directories the engines' heartbeats arrive
 * again within about a second, and a caller that is refused at once would use its only retry before that.
 */
const unknownPoolTimeoutMilliseconds = 1_800;
/** Fraction of its time left that a caller waits at most before it retries. */
const maxRetryFraction = 1 / 3;

/** Forecast for a pool at one point in time. */
export type PoolForecast = {
    /** Tokens of KV cache that may be allocated in total. */
    readonly capacity: number;
    /** Expected milliseconds until a request's first event, with the given number of tokens queued ahead of it. */
    readonly firstEventIn: (request: PlacementRequest, ahead: number) => number;
};

/** What was known of a waiting request when it was refused. */
export type RefusedWait = {
    readonly waiting: WaitingRequest;
    readonly ahead: TokensAhead;
    readonly firstEventIn: number;
    readonly poolForecast: PoolForecast;
    readonly now: number;
};

/** A refusal with its cause. */
export type Refusal = {
    readonly decision: PlacementDecision;
    readonly cause: RefusalCause;
    /** The priority that displaced the request. */
    readonly gaveWayTo?: number | undefined;
};

/** Decides which requests may wait in a placement queue, and refuses those that can't be served before their caller leaves. */
export abstract class QueueAdmission {
    private readonly promises = RetryPromises.create();

    protected constructor(protected readonly options: QueueAdmissionOptions) {}

    /** Refuses a new request that can't be served before its caller's timeout. */
    refuseOnArrival(arrived: WaitingRequest, order: QueueOrder, now: number): PlacementDecision[] {
        const requests = order.requests();
        const position = requests.indexOf(arrived);
        if (position < 0) {
            return [];
        }
        const ahead = TokensAhead.create();
        for (let index = 0; index < position; index++) {
            ahead.add(requests[index]!.request);
        }
        const poolForecast = this.forecastPool(now);
        const firstEventIn = poolForecast.firstEventIn(arrived.request, ahead.total);
        const wait = { waiting: arrived, ahead, firstEventIn, poolForecast, now };
        const isVersionGone = this.isVersionGone(arrived, now);
        if (!isVersionGone && this.mayEnter(wait)) {
            arrived.forecast = firstEventIn;
            return [];
        }
        order.remove(arrived);
        return [this.refuse(wait, isVersionGone)];
    }

    /** Moves requests that can't meet their target behind the others; refuses those that can't be served before the timeout. */
    review(order: QueueOrder, now: number): PlacementDecision[] {
        const decisions: PlacementDecision[] = [];
        const refused = new Set<WaitingRequest>();
        const tooLate: WaitingRequest[] = [];
        const lateTokens = TokensAhead.create();
        const poolForecast = this.forecastPool(now);
        const ahead = TokensAhead.create();
        for (const waiting of order.requests()) {
            const { request } = waiting;
            const stillAhead = lateTokens.tokensWhere(priority => order.staysAheadWhenLate(priority, waiting));
            const firstEventIn = poolForecast.firstEventIn(request, ahead.total + stillAhead);
            const isVersionGone = this.isVersionGone(waiting, now);
            if (isVersionGone || !this.mayWait(waiting, firstEventIn, poolForecast.capacity, now)) {
                refused.add(waiting);
                const aheadOfIt = ahead.plus(lateTokens, priority => order.staysAheadWhenLate(priority, waiting));
                const wait = { waiting, ahead: aheadOfIt, firstEventIn, poolForecast, now };
                decisions.push(this.refuse(wait, isVersionGone));
                this.recordEviction(waiting, now);
            }
            else if (!waiting.late && !request.resumed && now + firstEventIn > waiting.targetAt) {
                tooLate.push(waiting);
                lateTokens.add(request);
            }
            else {
                ahead.add(request);
            }
        }
        if (refused.size > 0) {
            order.removeWhere(waiting => refused.has(waiting));
        }
        tooLate.forEach(waiting => order.moveBack(waiting));
        return decisions;
    }

    /** Records a placement; `firstEventIn`: the milliseconds until its first event that are expected now. */
    recordPlaced({ request, arrivedAt, forecast }: WaitingRequest, firstEventIn: number, now: number): void {
        this.options.observer.placed({ request, forecast, outcome: now - arrivedAt + firstEventIn });
    }

    /** Whether a new request may enter the queue. */
    protected abstract mayEnter(wait: RefusedWait): boolean;

    /** Refuses a request that would be served too late. */
    protected abstract refuseLate(wait: RefusedWait): Refusal;

    /** Records that a request that waited was refused. */
    protected abstract recordEviction(waiting: WaitingRequest, now: number): void;

    /** Whether a request's first event would come before its caller's timeout, or it waits whatever the forecast is. */
    protected mayWait(waiting: WaitingRequest, firstEventIn: number, capacity: number, now: number): boolean {
        const waitsForEngines = capacity === 0 && !this.options.pool.isAbandoned()
            && now - waiting.arrivedAt < unknownPoolTimeoutMilliseconds;
        return waiting.request.resumed || waitsForEngines
            || now + firstEventIn + timeoutMarginMilliseconds <= waiting.timeoutAt;
    }

    /** Milliseconds that a request's first event may still take, from now. */
    protected timeLeft({ timeoutAt }: WaitingRequest, now: number): number {
        return timeoutAt - now - timeoutMarginMilliseconds;
    }

    /** Milliseconds after which a refused request shall be retried: once the requests ahead of it have been served. */
    protected retryIn({ waiting, ahead, poolForecast, now }: RefusedWait): number {
        const { request, arrivedAt } = waiting;
        const { forecast, pool } = this.options;
        const timeLeft = arrivedAt + (request.deadlineWithin ?? request.finishWithin ?? request.patienceWithin) - now;
        const tokens = ahead.total + request.cacheTokens - pool.freeTokens(now);
        const retryAt = this.promises.promise(
            {
                tokens: request.cacheTokens,
                earliest: now + forecast.expectedWait(tokens, poolForecast.capacity),
                latest: now + Math.max(0, timeLeft) * maxRetryFraction,
                spread: hashToFraction(request.attempt),
            },
            forecast.tokensFreedPerMillisecond(poolForecast.capacity),
            now,
        );
        return retryAt - now;
    }

    private refuse(wait: RefusedWait, isVersionGone: boolean): PlacementDecision {
        const { request } = wait.waiting;
        this.options.refused.record(wait.waiting);
        const refusal: Refusal = isVersionGone
            ? { decision: versionGoneRefusal(request), cause: "versionGone" }
            : wait.poolForecast.capacity === 0
            ? { decision: noEngineRefusal(request), cause: "noEngine" }
            : this.refuseLate(wait);
        const { ahead, firstEventIn } = wait;
        const { cause, gaveWayTo } = refusal;
        this.options.observer.refused({ request, cause, gaveWayTo, tokensAhead: ahead.total, firstEventIn });
        return refusal.decision;
    }

    /** Forecast for the pool: computed once for the whole queue, since a burst queues hundreds of requests. */
    private forecastPool(now: number): PoolForecast {
        const { pool, forecast } = this.options;
        const freeTokens = pool.freeTokens(now);
        const capacity = pool.capacity(now);
        const prefill = pool.prefillForecast(now);
        const prefillRate = pool.prefillRate(now);
        const firstEventIn = (request: PlacementRequest, ahead: number): number => {
            const cacheWait = forecast.expectedWait(ahead + request.cacheTokens - freeTokens, capacity);
            // The prompts ahead are taken to be as large a part of their runs as this one.
            const prefillWait = ahead * request.promptTokens / Math.max(1, request.cacheTokens) / prefillRate;
            return Math.max(cacheWait, prefillWait) + forecast.firstEventDelay(prefill(request.promptTokens));
        };
        return { capacity, firstEventIn };
    }

    /** Whether no engine can run the request because its version isn't served any more, as far as the pool's engines are known. */
    private isVersionGone({ request, arrivedAt }: WaitingRequest, now: number): boolean {
        const { pool } = this.options;
        const mayBecomeKnown = pool.capacity(now) === 0 && !pool.isAbandoned()
            && now - arrivedAt < unknownPoolTimeoutMilliseconds;
        return request.version !== undefined && !mayBecomeKnown && !pool.hasVersion(request.version);
    }
}

/** Admission where all requests have one priority. */
export class TargetAdmission extends QueueAdmission {
    static create(options: QueueAdmissionOptions): TargetAdmission {
        return new TargetAdmission(options);
    }

    protected override mayEnter({ waiting, firstEventIn, poolForecast, now }: RefusedWait): boolean {
        return this.mayWait(waiting, firstEventIn, poolForecast.capacity, now);
    }

    protected override refuseLate(wait: RefusedWait): Refusal {
        const decision = tooLateRefusal(wait.waiting.request, wait.firstEventIn, this.retryIn(wait));
        return { decision, cause: "noRoom" };
    }

    protected override recordEviction(): void {}
}
