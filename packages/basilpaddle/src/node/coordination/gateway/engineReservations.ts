import type { EnginePool, LeastLoadedEngine } from "./enginePool.js";
import type { PlacementForecast } from "./placementForecast.js";
import { requestAt, type WaitingRequest } from "./waitingRequest.js";

/**
 * How long a request that doesn't fit may be overtaken at all engines. After that the least loaded engine is reserved for
 * it: otherwise small requests would use all room that is freed, and large ones would starve.
 */
const overtakingMilliseconds = 50;
/** Multiple of the mean tokens above which a request is large, and the fraction of its target for which it may be overtaken. */
const largeFactor = 2;
const largeOvertakingFraction = 1 / 4;
/** Fraction of the engines that may be reserved at the same time, but always one. */
const maxReservedFraction = 0.1;

/** Dependencies of reservations. */
export type EngineReservationsOptions = { readonly pool: EnginePool; readonly forecast: PlacementForecast; };

/** Reserves engines for waiting requests that others have overtaken for long enough. */
export abstract class EngineReservations {
    protected constructor(protected readonly options: EngineReservationsOptions) {}

    /** Adds the engine that has room first to those that are reserved, if one is to be reserved for the request. */
    reserve(waiting: WaitingRequest, reserved: Set<string>, now: number): void {
        if (!this.mayReserve(waiting, reserved.size, now)) {
            return;
        }
        const engine = this.options.pool.leastLoaded(requestAt(waiting, now), now, reserved);
        if (engine !== undefined && this.firstEventAt(waiting, engine, now) <= this.latestFirstEvent(waiting)) {
            reserved.add(engine.id);
        }
    }

    /** Whether the request has been overtaken for long enough, with that many engines reserved already. */
    protected abstract mayReserve(waiting: WaitingRequest, reserved: number, now: number): boolean;

    /**
     * The latest first event for which an engine is reserved. In a burst most large requests miss their target, and room
     * reserved for them stays unused while small requests wait that could meet theirs.
     */
    protected abstract latestFirstEvent(waiting: WaitingRequest): number;

    private firstEventAt({ request }: WaitingRequest, engine: LeastLoadedEngine, now: number): number {
        const { pool, forecast } = this.options;
        const wait = forecast.expectedWait(engine.missingTokens, engine.capacityTokens);
        return now + wait + forecast.firstEventDelay(pool.prefillForecast(now)(request.promptTokens));
    }
}

/** Where all requests have one priority: only for requests that can then meet their target. */
export class TargetReservations extends EngineReservations {
    static create(options: EngineReservationsOptions): TargetReservations {
        return new TargetReservations(options);
    }

    protected override mayReserve({ late, arrivedAt }: WaitingRequest, _reserved: number, now: number): boolean {
        return !late && now - arrivedAt >= overtakingMilliseconds;
    }

    protected override latestFirstEvent({ targetAt }: WaitingRequest): number {
        return targetAt;
    }
}

/**
 * Where requests of several priorities compete: also for late requests that can be served before their caller leaves, since
 * smaller requests of lower priorities would overtake them until then. Large requests may be overtaken for longer.
 */
export class PriorityReservations extends EngineReservations {
    static create(options: EngineReservationsOptions): PriorityReservations {
        return new PriorityReservations(options);
    }

    protected override mayReserve(waiting: WaitingRequest, reserved: number, now: number): boolean {
        const { arrivedAt, targetAt } = waiting;
        const engines = this.options.pool.usableDecodeEngines(now);
        const overtakingLimit = this.isLarge(waiting)
            ? Math.max(0, targetAt - arrivedAt) * largeOvertakingFraction
            : overtakingMilliseconds;
        return reserved < Math.max(1, Math.floor(engines * maxReservedFraction)) && now - arrivedAt >= overtakingLimit;
    }

    protected override latestFirstEvent(waiting: WaitingRequest): number {
        return waiting.late || this.isLarge(waiting) ? waiting.timeoutAt : waiting.targetAt;
    }

    private isLarge({ request }: WaitingRequest): boolean {
        const mean = this.options.forecast.meanCacheTokens();
        return mean !== undefined && request.cacheTokens > largeFactor * mean;
    }
}
