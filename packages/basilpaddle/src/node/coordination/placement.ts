import type {
    EngineAllocation,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../protocol/index.js";

/** Reserves engines for attempts, through the pool's scheduler on this or another daemon, or by a local decision. */
export abstract class Placement {
    /**
     * Reserves engines, or refuses the request; it may first wait in the scheduler's queue. When the signal aborts, the
     * request is withdrawn, its engines are released, and the promise resolves to a refusal with code `callerGone`.
     */
    abstract reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision>;

    /**
     * Reports that the decode engine of an allocation rejected the attempt because it has no free slot, and requests another
     * one. Resolves to the new engine's identifier, or to undefined if none has a free slot now. In that case the attempt
     * keeps its engines, and the call may be repeated.
     */
    abstract move(allocation: EngineAllocation): Promise<string | undefined>;

    /** Reports the progress of an attempt. `finished`, `cancelled` and `failed` release its engines. */
    abstract progress(pool: string, progress: Progress): void;

    /** Forwards a load report that this daemon received from an engine. */
    abstract load(pool: string, report: LoadReport): void;

    /** Stops placement; attempts in progress keep their engines. */
    abstract close(): Promise<void>;
}
