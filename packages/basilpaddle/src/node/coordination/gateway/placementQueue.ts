import type {
    EngineRule,
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
    ServerAnnouncement,
} from "../../protocol/index.js";
import { type EnginePair, EnginePool, type PlacementTuning } from "./enginePool.js";
import { type EngineReservations, PriorityReservations, TargetReservations } from "./engineReservations.js";
import { placedDecision, type Placement } from "./placement.js";
import { PlacementForecast } from "./placementForecast.js";
import { PriorityAdmission } from "./priorityAdmission.js";
import { PriorityOrder } from "./priorityOrder.js";
import { type QueueAdmission, TargetAdmission } from "./queueAdmission.js";
import { maxRank, type QueueObserver, SilentQueueObserver } from "./queueObserver.js";
import { type QueueOrder, TargetOrder } from "./queueOrder.js";
import { RefusedRequests } from "./refusedRequests.js";
import { RunRejections } from "./runRejections.js";
import type { TypicalRequest } from "./stagePlan.js";
import { arrivingRequest, requestAt, type WaitingRequest } from "./waitingRequest.js";

/** Minimum time between two reviews of the queue. */
const reviewIntervalMilliseconds = 25;
/** Number of requests that don't fit after which a dispatch stops; it bounds the time for a long queue. */
const maxSkipped = 6;
/** How long a placement is kept if its gateway never reports its end. */
const maxPlacementMilliseconds = 60_000;

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
    private readonly refused = RefusedRequests.create();
    private admission: QueueAdmission;
    private reservations: EngineReservations;
    private hadSeveralPriorities = false;
    private order: QueueOrder = TargetOrder.create();
    private reviewedAt = 0;

    private constructor(private readonly pool: EnginePool, private readonly observer: QueueObserver) {
        const { forecast, refused } = this;
        this.admission = TargetAdmission.create({ pool, forecast, observer, refused });
        this.reservations = TargetReservations.create({ pool, forecast });
    }

    /**
     * `limitOf`: requests per second that an engine takes from all gateways; undefined if it names no limit. `observer`:
     * receives the decisions.
     */
    static create(
        tuning: PlacementTuning,
        limitOf?: (engine: string) => number | undefined,
        observer: QueueObserver = SilentQueueObserver.create(),
    ): PlacementQueue {
        return new PlacementQueue(EnginePool.create(tuning, limitOf), observer);
    }

    /** Replaces the announcements of the pool's engines and the rule that applies to all of them. */
    setEngines(announced: readonly ServerAnnouncement[], rule: EngineRule): void {
        const added = new Set(this.pool.setEngines(announced, rule));
        // Gateways may have reported runs at an engine that this instance hears of only now.
        const runs = added.size === 0 ? [] : [...this.placements.values()].filter(({ decode }) => added.has(decode));
        runs.forEach(({ decode, request, placedAt }) => this.pool.allocateRun(decode, request, placedAt));
    }

    /**
     * Sets whether requests of several priorities compete in the pool; waiting requests keep waiting. `floor`: the share of
     * placements that each waiting priority then gets at least, 0 to 0.5.
     */
    setPrioritised(isPrioritised: boolean, floor: number): void {
        this.pool.boundPrefillBacklog(isPrioritised);
        this.hadSeveralPriorities ||= isPrioritised;
        if (isPrioritised !== this.order instanceof PriorityOrder) {
            const order = isPrioritised ? PriorityOrder.create(floor) : TargetOrder.create();
            this.order.requests().forEach(waiting => order.add(waiting));
            this.order = order;
            const { pool, forecast, observer, refused } = this;
            const options = { pool, forecast, observer, refused };
            this.admission = (isPrioritised ? PriorityAdmission : TargetAdmission).create(options);
            this.reservations = (isPrioritised ? PriorityReservations : TargetReservations).create({ pool, forecast });
        }
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
        if (this.order.requests().some(waiting => waiting.request.attempt === request.attempt)) {
            return [];
        }
        const waiting = this.refused.withFirstTarget(arrivingRequest(request, now));
        this.order.add(waiting);
        return [...this.dispatch(now), ...this.admission.refuseOnArrival(waiting, this.order, now)];
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
        return [...this.dispatch(now), ...this.admission.review(this.order, now)];
    }

    /** Removes a request whose caller disconnected from the queue, or releases its placement. */
    withdraw(attempt: string, now: number): PlacementDecision[] {
        this.order.removeWhere(waiting => waiting.request.attempt === attempt);
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
        this.order.removeWhere(waiting => waiting.request.gateway === gateway);
        return this.reconcile(gateway, [], 0, now);
    }

    /** Gateways with a placement or a queued request. */
    gateways(): readonly string[] {
        const names = [...this.placements.values(), ...this.order.requests()].map(({ request }) => request.gateway);
        return [...new Set(names)];
    }

    /** Mean resources of a request in the pool; undefined until enough runs have ended. */
    typicalRequest(): TypicalRequest | undefined {
        return this.forecast.typicalRequest();
    }

    /** Numbers of queued requests and of placements, and the allocated tokens by engine, for metrics and tests. */
    counts(): { readonly waiting: number; readonly active: number; readonly allocated: ReadonlyMap<string, number>; } {
        return {
            waiting: this.order.requests().length,
            active: this.placements.size,
            allocated: this.pool.allocatedTokensByEngine(),
        };
    }

    /** Numbers of queued requests by priority, the last one including all above it; empty if the pool never had several. */
    waitingByPriority(): ReadonlyMap<number, number> {
        if (!this.hadSeveralPriorities) {
            return new Map();
        }
        const counts = new Map(Array.from({ length: maxRank + 1 }, (_, priority) => [priority, 0]));
        for (const { request } of this.order instanceof PriorityOrder ? this.order.requests() : []) {
            const priority = Math.min(maxRank, request.priority);
            counts.set(priority, counts.get(priority)! + 1);
        }
        return counts;
    }

    private dispatch(now: number): PlacementDecision[] {
        const decisions: PlacementDecision[] = [];
        const reserved = new Set<string>();
        const requests = this.order.requests();
        let skipped = 0;
        for (let position = 0; position < requests.length && skipped < maxSkipped;) {
            const waiting = requests[position]!;
            const pair = this.pool.bestPair(requestAt(waiting, now), now, reserved);
            if (pair === undefined) {
                this.reservations.reserve(waiting, reserved, now);
                skipped += 1;
                position += 1;
                continue;
            }
            this.order.remove(waiting);
            if (this.isTooLate(waiting, pair, now)) {
                this.order.moveBack(waiting);
                continue;
            }
            this.order.recordPlaced(waiting);
            this.admission.recordPlaced(waiting, this.forecast.firstEventDelay(pair.prefillTime), now);
            const readingWithin = Math.round(this.forecast.expectedPrefillTime(pair.prefillTime));
            const placement = { ...pair, request: waiting.request, placedAt: now, readingWithin, isPrefilled: false };
            this.allocate(placement, now);
            this.pool.recordSends(pair, now);
            decisions.push(placedDecision(placement));
        }
        return decisions;
    }

    /**
     * Whether a request would miss its target even if placed now, while others wait that can still meet theirs. Without
     * this check the queue of a burst persists: each placement goes to the request that is just missing its target, and
     * every answer is slightly late although the capacity suffices.
     */
    private isTooLate(waiting: WaitingRequest, pair: EnginePair, now: number): boolean {
        if (waiting.late || waiting.request.resumed || !this.order.hasOnTimeRivals(waiting)) {
            return false;
        }
        return now + this.forecast.firstEventDelay(pair.prefillTime) > waiting.targetAt;
    }

    private allocate(placement: Placement, now: number): void {
        this.placements.set(placement.request.attempt, placement);
        if (placement.isPrefilled) {
            this.pool.allocateRun(placement.decode, placement.request, now);
        }
        else {
            this.pool.allocate(placement, placement.request, now);
        }
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
