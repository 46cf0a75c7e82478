import type {
    EngineRule,
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    ServerAnnouncement,
} from "../../protocol/index.js";
import { type EnginePair, EnginePool, type LeastLoadedEngine, type PlacementTuning } from "./enginePool.js";
import { placedDecision, type Placement } from "./placement.js";
import { PlacementForecast } from "./placementForecast.js";
import { noEngineRefusal, tooLateRefusal, versionGoneRefusal } from "./placementRefusals.js";
import { RunRejections } from "./runRejections.js";
import type { TypicalRequest } from "./stagePlan.js";

/** Minimum time between two reviews of the queue. */
const reviewIntervalMilliseconds = 25;
/**
 * How long a request that doesn't fit may be overtaken at all engines. After that the least loaded engine is reserved for
 * it: otherwise small requests would use all room that is freed, and large ones would starve. Only one engine is reserved,
 * since delaying all requests until the large one fits would leave room at the other engines unused. It is reserved only
 * if the request can then meet its target: see `isWorthReserving`.
 */
const overtakingMilliseconds = 50;
/** Number of requests that don't fit after which a dispatch stops; it bounds the time for a long queue. */
const maxSkipped = 6;
/** How much later a request sorts for each step of its priority number. */
const priorityStepMilliseconds = 60;
/** Margin by which the forecast must be earlier than the caller's timeout for a request to stay in the queue. */
const timeoutMarginMilliseconds = 250;
/**
 * How long a request waits while no engine is known: after a restart of all directories the engines' heartbeats arrive
 * again within about a second, and a caller that is refused at once would use its only retry before that.
 */
const unknownPoolTimeoutMilliseconds = 1_800;
/** How long a placement is kept if its gateway never reports its end. */
const maxPlacementMilliseconds = 60_000;
/** Sort key offset that moves requests that can't meet their target behind all that still can. */
const lateKeyOffset = 1e9;

/** A request in the queue. */
type WaitingRequest = {
    readonly request: PlacementRequest;
    readonly arrivedAt: number;
    readonly targetAt: number;
    readonly timeoutAt: number;
    late: boolean;
    sortKey: number;
};

/** Forecast for a pool at one point in time. */
type PoolForecast = {
    /** Tokens of KV cache that may be allocated in total. */
    readonly capacity: number;
    /** Expected milliseconds until a request's first event, with the given number of tokens queued ahead of it. */
    readonly firstEventIn: (request: PlacementRequest, ahead: number) => number;
};

/**
 * Places requests at the engines of one pool, and decides which of them wait and which are refused. It uses no sockets or
 * timers: the caller passes the time and carries out the decisions.
 *
 * Decode capacity is the bottleneck: a run occupies thousands of tokens of KV cache for seconds, while its prefill takes a
 * tenth of a second, and the result of a prefill is kept for only half a second. So a prefill doesn't start before its run
 * has room at a decode engine, counted in tokens and in slots, and requests wait for room in this queue, where they can be
 * withdrawn, rather than in an engine's queue. In a burst, requests that can still meet their target go first, in the order
 * of their targets. Requests that will miss their target wait behind them until their caller's timeout, since a late answer
 * is worth more than none. Requests that can't be served before the timeout are refused at once with a retry-after time.
 */
export class PlacementQueue {
    private readonly placements = new Map<string, Placement>();
    private readonly forecast = PlacementForecast.create();
    private readonly rejections = RunRejections.create();
    private queue: WaitingRequest[] = [];
    private reviewedAt = 0;

    private constructor(private readonly pool: EnginePool) {}

    /** `limitOf`: requests per second that an engine takes from all gateways; undefined if it names no limit. */
    static create(tuning: PlacementTuning, limitOf?: (engine: string) => number | undefined): PlacementQueue {
        return new PlacementQueue(EnginePool.create(tuning, limitOf));
    }

    /** Replaces the announcements of the pool's engines and the rule that applies to all of them. */
    setEngines(announced: readonly ServerAnnouncement[], rule: EngineRule): void {
        this.pool.setEngines(announced, rule);
    }

    /** Changes the fraction of each engine that this instance may allocate. */
    setShare(share: number): void {
        this.pool.setShare(share);
    }

    /** Records an order to change an engine's stage; the engine receives no work until the change is announced or `until`. */
    recordStageOrder(engine: string, stage: ServerAnnouncement["stage"], until: number): void {
        this.pool.engine(engine)?.setStageOrder(stage, until);
    }

    /** Queues a request. The decisions returned, here and by the other methods, may concern other requests as well. */
    enqueueRequest(request: PlacementRequest, now: number): PlacementDecision[] {
        const existing = this.placements.get(request.attempt);
        if (existing !== undefined) {
            return [placedDecision(existing)];
        }
        if (this.queue.some(waiting => waiting.request.attempt === request.attempt)) {
            return [];
        }
        const waiting: WaitingRequest = {
            request,
            arrivedAt: now,
            targetAt: now + request.targetWithin,
            timeoutAt: now + request.patienceWithin,
            late: false,
            sortKey: now + request.targetWithin + request.priority * priorityStepMilliseconds
                - (request.resumed ? lateKeyOffset : 0),
        };
        this.enqueue(waiting);
        return [...this.dispatch(now), ...this.refuseOnArrival(waiting, now)];
    }

    /** Reviews the queue and expires old placements; to be called every `reviewIntervalMilliseconds` while requests wait. */
    review(now: number): PlacementDecision[] {
        if (now - this.reviewedAt < reviewIntervalMilliseconds) {
            return [];
        }
        this.reviewedAt = now;
        for (const [attempt, placement] of this.placements) {
            if (now - placement.placedAt > maxPlacementMilliseconds) {
                this.removePlacement(attempt, now);
            }
        }
        return [...this.dispatch(now), ...this.reorder(now)];
    }

    /** Removes a request whose caller disconnected from the queue, or releases its placement. */
    withdraw(attempt: string, now: number): PlacementDecision[] {
        this.queue = this.queue.filter(waiting => waiting.request.attempt !== attempt);
        return this.release(attempt, {}, now);
    }

    /** Records that a request's prefill is complete. */
    prefillCompleted(attempt: string, now: number): void {
        const placement = this.placements.get(attempt);
        if (placement !== undefined && !placement.isPrefilled) {
            placement.isPrefilled = true;
            this.forecast.recordPrefill(placement.prefillTime, now - placement.placedAt);
            this.pool.engine(placement.prefill ?? placement.decode)?.prefillCompleted(attempt, now);
        }
    }

    /** Releases the placement of a run that has ended, and records its outcome. */
    release(attempt: string, end: PlacementOutcome, now: number): PlacementDecision[] {
        this.pool.recordWriting(this.placements.get(attempt)?.decode, end.writing, now);
        const placement = this.removePlacement(attempt, now);
        if (end.failed !== undefined) {
            this.pool.engine(end.failed)?.recordFailure(now);
        }
        else if (end.turnedAwayBy !== undefined) {
            this.pool.engine(this.rejections.recordRejection(end.readBy, end.turnedAwayBy, now))?.recordRejection(now);
        }
        else if (placement !== undefined) {
            this.forecast.recordRun({
                prefillTime: this.pool.prefillWork(placement.request.promptTokens),
                allocationTime: now - placement.placedAt,
                cacheTokens: placement.request.cacheTokens,
            });
            this.pool.recordRun(placement.decode, placement.request, end.answerEvents);
        }
        return this.dispatch(now);
    }

    /** Records the writing of a run at an engine, by which the engine's speed is learned. */
    recordWriting(engine: string, writing: PlacementOutcome["writing"], now: number): void {
        this.pool.recordWriting(engine, writing, now);
    }

    /**
     * Compares the placements with those that a gateway reports. Adds the reported ones that this instance doesn't know, such
     * as those of a previous leader, and releases unreported ones older than `grace` milliseconds.
     */
    reconcile(
        gateway: string,
        reported: readonly { readonly demand: PlacementRequest; readonly decode: string; }[],
        grace: number,
        now: number,
    ): PlacementDecision[] {
        const reportedAttempts = new Set(reported.map(({ demand }) => demand.attempt));
        for (const [attempt, placement] of this.placements) {
            const isStale = placement.request.gateway === gateway && now - placement.placedAt > grace;
            if (isStale && !reportedAttempts.has(attempt)) {
                this.removePlacement(attempt, now);
            }
        }
        for (const { demand, decode } of reported) {
            if (!this.placements.has(demand.attempt)) {
                this.allocate(
                    { request: demand, prefill: undefined, decode, placedAt: now, prefillTime: 0, isPrefilled: true },
                    now,
                );
            }
        }
        return this.dispatch(now);
    }

    /** Removes the queued requests and the placements of a gateway that has disconnected. */
    dropGateway(gateway: string, now: number): PlacementDecision[] {
        this.queue = this.queue.filter(waiting => waiting.request.gateway !== gateway);
        return this.reconcile(gateway, [], 0, now);
    }

    /** Gateways with a placement or a queued request. */
    gateways(): readonly string[] {
        const names = [...this.placements.values(), ...this.queue].map(({ request }) => request.gateway);
        return [...new Set(names)];
    }

    /** Mean resources of a request in the pool; undefined until enough runs have ended. */
    typicalRequest(): TypicalRequest | undefined {
        return this.forecast.typicalRequest();
    }

    /** Numbers of queued requests and of placements, and the allocated tokens by engine, for metrics and tests. */
    counts(): { readonly waiting: number; readonly active: number; readonly allocated: ReadonlyMap<string, number>; } {
        return {
            waiting: this.queue.length,
            active: this.placements.size,
            allocated: this.pool.allocatedTokensByEngine(),
        };
    }

    private enqueue(waiting: WaitingRequest): void {
        const at = this.queue.findIndex(other => other.sortKey > waiting.sortKey);
        this.queue.splice(at < 0 ? this.queue.length : at, 0, waiting);
    }

    private dispatch(now: number): PlacementDecision[] {
        const decisions: PlacementDecision[] = [];
        const reserved = new Set<string>();
        let skipped = 0;
        for (let position = 0; position < this.queue.length && skipped < maxSkipped;) {
            const waiting = this.queue[position]!;
            const pair = this.pool.bestPair(waiting.request, now, reserved);
            if (pair === undefined) {
                this.reserveEngine(waiting, reserved, now);
                skipped += 1;
                position += 1;
                continue;
            }
            this.queue.splice(position, 1);
            if (this.isTooLate(waiting, pair, now)) {
                this.requeueAsLate(waiting);
                continue;
            }
            const readingWithin = Math.round(this.forecast.expectedPrefillTime(pair.prefillTime));
            const placement = { ...pair, request: waiting.request, placedAt: now, readingWithin, isPrefilled: false };
            this.allocate(placement, now);
            this.pool.recordSends(pair, now);
            decisions.push(placedDecision(placement));
        }
        return decisions;
    }

    /** Reserves an engine for a request that has waited for room, if it can still meet its target. */
    private reserveEngine(waiting: WaitingRequest, reserved: Set<string>, now: number): void {
        if (waiting.late || now - waiting.arrivedAt < overtakingMilliseconds) {
            return;
        }
        const engine = this.pool.leastLoaded(waiting.request, now, reserved);
        if (engine !== undefined && this.isWorthReserving(waiting, engine, now)) {
            reserved.add(engine.id);
        }
    }

    /**
     * Whether a request will meet its target once enough KV cache has been freed at the engine. In a burst most large
     * requests won't, and room reserved for them would stay unused while small requests wait that could meet theirs.
     */
    private isWorthReserving(
        { request, targetAt }: WaitingRequest,
        engine: LeastLoadedEngine,
        now: number,
    ): boolean {
        const wait = this.forecast.expectedWait(engine.missingTokens, engine.capacityTokens);
        const prefill = this.pool.prefillForecast(now)(request.promptTokens);
        return now + wait + this.forecast.firstEventDelay(prefill) <= targetAt;
    }

    /**
     * Whether a request would miss its target even if placed now, while others wait that can still meet theirs. Without
     * this check the queue of a burst persists: each placement goes to the request that is just missing its target, and
     * every answer is slightly late although the capacity suffices.
     */
    private isTooLate(waiting: WaitingRequest, pair: EnginePair, now: number): boolean {
        if (waiting.late || waiting.request.resumed || this.queue.every(({ late }) => late)) {
            return false;
        }
        return now + this.forecast.firstEventDelay(pair.prefillTime) > waiting.targetAt;
    }

    private requeueAsLate(waiting: WaitingRequest): void {
        waiting.late = true;
        waiting.sortKey += lateKeyOffset;
        this.enqueue(waiting);
    }

    /** Refuses a new request that can't be served before its caller's timeout. */
    private refuseOnArrival(arrived: WaitingRequest, now: number): PlacementDecision[] {
        const position = this.queue.indexOf(arrived);
        if (position < 0) {
            return [];
        }
        if (this.isVersionGone(arrived, now)) {
            this.queue.splice(position, 1);
            return [versionGoneRefusal(arrived.request)];
        }
        const ahead = this.queue.slice(0, position).reduce((sum, { request }) => sum + request.cacheTokens, 0);
        const poolForecast = this.forecastPool(now);
        const firstEventIn = poolForecast.firstEventIn(arrived.request, ahead);
        if (this.mayWait(arrived, firstEventIn, poolForecast.capacity, now)) {
            return [];
        }
        this.queue.splice(position, 1);
        return [this.refusal(arrived, firstEventIn, poolForecast.capacity, now)];
    }

    /** Moves requests that can't meet their target behind the others; refuses those that can't be served before the timeout. */
    private reorder(now: number): PlacementDecision[] {
        const refused: PlacementDecision[] = [];
        const remaining: WaitingRequest[] = [];
        const tooLate: WaitingRequest[] = [];
        const poolForecast = this.forecastPool(now);
        let ahead = 0;
        for (const waiting of this.queue) {
            const { request } = waiting;
            const firstEventIn = poolForecast.firstEventIn(request, ahead);
            if (this.isVersionGone(waiting, now)) {
                refused.push(versionGoneRefusal(request));
            }
            else if (!this.mayWait(waiting, firstEventIn, poolForecast.capacity, now)) {
                refused.push(this.refusal(waiting, firstEventIn, poolForecast.capacity, now));
            }
            else if (!waiting.late && !request.resumed && now + firstEventIn > waiting.targetAt) {
                tooLate.push(waiting);
            }
            else {
                remaining.push(waiting);
                ahead += request.cacheTokens;
            }
        }
        this.queue = remaining;
        tooLate.forEach(waiting => this.requeueAsLate(waiting));
        return refused;
    }

    /** Forecast for the pool: computed once for the whole queue, since a burst queues hundreds of requests. */
    private forecastPool(now: number): PoolForecast {
        const freeTokens = this.pool.freeTokens(now);
        const capacity = this.pool.capacity(now);
        const prefill = this.pool.prefillForecast(now);
        const firstEventIn = (request: PlacementRequest, ahead: number): number => {
            return this.forecast.expectedWait(ahead + request.cacheTokens - freeTokens, capacity)
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

    private allocate(placement: Placement, now: number): void {
        this.placements.set(placement.request.attempt, placement);
        this.pool.allocate(placement, placement.request, now);
    }

    private removePlacement(attempt: string, now: number): Placement | undefined {
        const placement = this.placements.get(attempt);
        if (placement !== undefined) {
            this.placements.delete(attempt);
            this.pool.release(placement, attempt, now);
        }
        return placement;
    }
}
