import type { Decision, Demand, Holding, LoadReport, Progress } from "../protocol/index.js";

/** Finds engines for attempts. Behind it stands the pool's scheduler, here or on another daemon, or a choice made alone. */
export abstract class Placement {
    /**
     * Reserves engines, or refuses. May wait in the scheduler's queue. When the signal aborts, the demand is
     * withdrawn and whatever was reserved for it is freed; the promise then gives a refusal with `callerGone`.
     */
    abstract reserve(demand: Demand, signal: AbortSignal): Promise<Decision>;

    /**
     * Tells that the decode engine of a holding has proved that it has no free slot, and asks for another one. Gives its
     * identifier, or nothing where none has a free slot now: the attempt keeps what it has, and may ask again.
     */
    abstract move(holding: Holding): Promise<string | undefined>;

    /** Tells how an attempt gets on. `finished`, `cancelled` and `failed` free what it held. */
    abstract progress(pool: string, progress: Progress): void;

    /** Passes on a load report that an engine gave to this daemon. */
    abstract load(pool: string, report: LoadReport): void;

    /** Stops; an attempt in progress keeps its engines. */
    abstract close(): Promise<void>;
}
