import type { EngineHolding, LoadReport, Progress, SchedulingDecision, SchedulingRequest } from "../protocol/index.js";

/** Reserves engines for attempts, through the pool's scheduler on this or another daemon, or by a local decision. */
export abstract class Placement {
    /**
     * Reserves engines, or refuses. May wait in the scheduler's queue. When the signal aborts, the request is withdrawn
     * and whatever was reserved for it is released; the promise then resolves to a refusal with code `callerGone`.
     */
    abstract reserve(demand: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision>;

    /**
     * Reports that the decode engine of a holding rejected the attempt for want of a free slot, and requests another one.
     * Resolves to the new engine's identifier, or to undefined if none has a free slot now: the attempt then keeps its
     * engines and may ask again.
     */
    abstract move(holding: EngineHolding): Promise<string | undefined>;

    /** Reports the progress of an attempt. `finished`, `cancelled` and `failed` release what it held. */
    abstract progress(pool: string, progress: Progress): void;

    /** Forwards a load report that this daemon received from an engine. */
    abstract load(pool: string, report: LoadReport): void;

    /** Stops placement; attempts in progress keep their engines. */
    abstract close(): Promise<void>;
}
