import type { View } from "../../protocol/index.js";
import type { EngineEntry, PoolRules } from "./scheduler.js";

/** The engines of a pool that are listed in the view. */
export function enginesOf(view: View, pool: string): readonly EngineEntry[] {
    return Object.values(view.backends).filter(backend =>
        backend.announcement.pool === pool && backend.announcement.role !== "service"
    );
}

/** The rules of a pool in the view's configuration. The pool must be declared. */
export function rulesOf(view: View, pool: string): PoolRules {
    const { pools, organisations, anyOrganisation } = view.configuration.declaration;
    return { pool: pools[pool]!, organisations, anyOrganisation };
}
