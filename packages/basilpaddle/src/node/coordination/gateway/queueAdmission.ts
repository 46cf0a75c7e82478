import type { PlacementDecision, PlacementRequest } from "../../protocol/index.js";
import type { EnginePool } from "./enginePool.js";
import type { PlacementForecast } from "./placementForecast.js";
import { noEngineRefusal, tooLateRefusal, versionGoneRefusal } from "./placementRefusals.js";
import type { QueueOrder } from "./queueOrder.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Margin by which the forecast must be earlier than the caller's timeout for a request to stay in the queue. */
const timeoutMarginMilliseconds = 250;
/**
 * How long a request waits while no engine is known: after a restart of all directories the engines' heartbeats arrive
 * again within about a second, and a caller that is refused at once would use its only retry before that.
 */
const unknownPoolTimeoutMilliseconds = 1_800;

/** Forecast for a pool at one point in time. */
type PoolForecast = {
    /** Tokens of KV cache that may be allocated in total. */
    readonly capacity: number;
    /** Expected milliseconds until a request's first event, with the given number of tokens queued ahead of it. */
    readonly firstEventIn: (request: PlacementRequest, ahead: number) => number;
};

/** Decides which requests may wait in a placement queue, and refuses those that can't be served before their caller leaves. */
export class QueueAdmission {
    private constructor(private readonly pool: EnginePool, private readonly forecast: PlacementForecast) {}

    static create(pool: EnginePool, forecast: PlacementForecast): QueueAdmission {
        return new QueueAdmission(pool, forecast);
    }

    /** Refuses a new request that can't be served before its caller's timeout. */
    refuseOnArrival(arrived: WaitingRequest, order: QueueOrder, now: number): PlacementDecision[] {
        const requests = order.requests();
        const position = requests.indexOf(arrived);
        if (position < 0) {
            return [];
        }
        if (this.isVersionGone(arrived, now)) {
            order.remove(arrived);
            return [versionGoneRefusal(arrived.request)];
        }
        const ahead = requests.slice(0, position).reduce((sum, { request }) => sum + request.cacheTokens, 0);
        const poolForecast = this.forecastPool(now);
        const firstEventIn = poolForecast.firstEventIn(arrived.request, ahead);
        if (this.mayWait(arrived, firstEventIn, poolForecast.capacity, now)) {
            return [];
        }
        order.remove(arrived);
        return [this.refusal(arrived, firstEventIn, poolForecast.capacity, now)];
    }

    /** Moves requests that can't meet their target behind the others; refuses those that can't be served before the timeout. */
    review(order: QueueOrder, now: number): PlacementDecision[] {
        const decisions: PlacementDecision[] = [];
        const refused = new Set<WaitingRequest>();
        const tooLate: WaitingRequest[] = [];
        const lateTokens = new Map<number, number>();
        const poolForecast = this.forecastPool(now);
        let ahead = 0;
        for (const waiting of order.requests()) {
            const { request } = waiting;
            let tokensAhead = ahead;
            for (const [priority, tokens] of lateTokens) {
                tokensAhead += order.staysAheadWhenLate(priority, waiting) ? tokens : 0;
            }
            const firstEventIn = poolForecast.firstEventIn(request, tokensAhead);
            if (this.isVersionGone(waiting, now)) {
                refused.add(waiting);
                decisions.push(versionGoneRefusal(request));
            }
            else if (!this.mayWait(waiting, firstEventIn, poolForecast.capacity, now)) {
                refused.add(waiting);
                decisions.push(this.refusal(waiting, firstEventIn, poolForecast.capacity, now));
            }
            else if (!waiting.late && !request.resumed && now + firstEventIn > waiting.targetAt) {
                tooLate.push(waiting);
                lateTokens.set(request.priority, (lateTokens.get(request.priority) ?? 0) + request.cacheTokens);
            }
            else {
                ahead += request.cacheTokens;
            }
        }
        order.removeWhere(waiting => refused.has(waiting));
        tooLate.forEach(waiting => order.moveBack(waiting));
        return decisions;
    }

    /** Forecast for the pool: computed once for the whole queue, since a burst queues hundreds of requests. */
    private forecastPool(now: number): PoolForecast {
        const freeTokens = this.pool.freeTokens(now);
        const capacity = this.pool.capacity(now);
        const prefill = this.pool.prefillForecast(now);
        const prefillRate = this.pool.prefillRate(now);
        const firstEventIn = (request: PlacementRequest, ahead: number): number => {
            const cacheWait = this.forecast.expectedWait(ahead + request.cacheTokens - freeTokens, capacity);
            // The prompts ahead are taken to be as large a part of their runs as this one.
            const prefillWait = ahead * request.promptTokens / Math.max(1, request.cacheTokens) / prefillRate;
            return Math.max(cacheWait, prefillWait)
                + this.forecast.firstEventDelay(prefill(request.promptTokens));
        };
        return { capacity, firstEventIn };
    }

    /** Whether no engine can run the request because its version isn't served any more, as far as the pool's engines are known. */
    private isVersionGone({ request, arrivedAt }: WaitingRequest, now: number): boolean {
        const mayBecomeKnown = this.pool.capacity(now) === 0 && !this.pool.isAbandoned()
            && now - arrivedAt < unknownPoolTimeoutMilliseconds;
        return request.version !== undefined && !mayBecomeKnown && !this.pool.hasVersion(request.version);
    }

    private mayWait(waiting: WaitingRequest, firstEventIn: number, capacity: number, now: number): boolean {
        const waitsForEngines = capacity === 0 && !this.pool.isAbandoned()
            && now - waiting.arrivedAt < unknownPoolTimeoutMilliseconds;
        return waiting.request.resumed || waitsForEngines
            || now + firstEventIn + timeoutMarginMilliseconds <= waiting.timeoutAt;
    }

    private refusal(waiting: WaitingRequest, firstEventIn: number, capacity: number, now: number): PlacementDecision {
        const tooLateBy = Math.max(0, now + firstEventIn + timeoutMarginMilliseconds - waiting.timeoutAt);
        return capacity === 0
            ? noEngineRefusal(waiting.request)
            : tooLateRefusal(waiting.request, firstEventIn, tooLateBy);
    }
}
