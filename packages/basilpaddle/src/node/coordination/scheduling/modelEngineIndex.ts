import type { SchedulingRequest } from "../../protocol/index.js";
import type { TrackedEngine } from "./trackedEngine.js";
import type { TrackedPool } from "./trackedPool.js";

/** The engines of each role that serve a model. */
export type ModelEngines = {
    readonly prefill: readonly TrackedEngine[];
    readonly decode: readonly TrackedEngine[];
    /** Total slots of the decode engines. */
    readonly slots: number;
};

/**
 * Index of the ready engines by model, adapter and version. Entries are computed on first use after a change of engines.
 */
export class ModelEngineIndex {
    private readonly cache = new Map<string, ModelEngines>();

    private constructor(private readonly trackedPool: TrackedPool) {}

    static create(pool: TrackedPool): ModelEngineIndex {
        return new ModelEngineIndex(pool);
    }

    /** Clears the index after engines changed. */
    clear(): void {
        this.cache.clear();
    }

    /** The engines that serve the requested model, adapter and version. */
    enginesFor(request: SchedulingRequest): ModelEngines {
        const { model, adapter, version } = request;
        const key = `${model}\n${adapter ?? ""}\n${version ?? ""}`;
        const cachedEngines = this.cache.get(key);
        if (cachedEngines !== undefined) {
            return cachedEngines;
        }
        const serving = [...this.trackedPool.engines.values()].filter(engine =>
            engine.state === "ready" && engine.serves(model, adapter, version)
        );
        const decode = serving.filter(engine => engine.announcement.role === "decode");
        const modelEngines: ModelEngines = {
            prefill: serving.filter(engine => engine.announcement.role === "prefill"),
            decode,
            slots: decode.reduce((sum, engine) => sum + engine.slots, 0),
        };
        // Models that no engine serves aren't cached: callers could fill the cache with any number of invented names.
        if (serving.length > 0) {
            this.cache.set(key, modelEngines);
        }
        return modelEngines;
    }
}
