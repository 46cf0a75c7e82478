import type { Announcement, Pool, View } from "../../protocol/index.js";

/** Fraction of a role's ready engines that must have a declared version warm before traffic is moved to that version. */
const warmFraction = 0.75;

type Role = "prefill" | "decode";
type Coverage = { readonly warmCount: number; readonly requiredCount: number; };

/**
 * The version of a model that new attempts run. It is derived from the view only, so that all daemons with the same view
 * agree.
 *
 * It is the version that the holder of the orders lease has named, as long as a pair of engines (prefill and decode) has it
 * loaded, and otherwise the version that most pairs have loaded. The loaded models alone don't decide it: a version that is
 * being unloaded would be served again whenever enough engines with the new one restart or drain. Undefined if no pair has
 * the same version loaded.
 */
export function servedVersion(view: View, poolName: string, model: string): string | undefined {
    const pool = view.configuration.declaration.pools[poolName];
    return servedVersionAmong(readyEngines(view, poolName), pool, model, view.served?.[poolName]?.[model]);
}

/** Like `servedVersion`, computed from the ready engines of the pool and the named version. */
export function servedVersionAmong(
    engines: readonly Announcement[],
    pool: Pool | undefined,
    model: string,
    named: string | undefined,
): string | undefined {
    const namedCoverage = named === undefined ? undefined : coverage(engines, pool, model, named);
    return namedCoverage !== undefined && namedCoverage.prefill.warmCount > 0 && namedCoverage.decode.warmCount > 0
        ? named
        : mostCoveredVersion(engines, pool, model);
}

/**
 * The version that should be named: a declared one as soon as enough ready engines of both roles have it warm
 * (`warmFraction`). Moving traffic earlier would send the traffic of the whole pool to the first warm copy. Waiting for the
 * last copy would let one engine that can't load the version block the rollout of the pool.
 */
export function versionToServe(
    engines: readonly Announcement[],
    pool: Pool,
    model: string,
    named: string | undefined,
): string | undefined {
    const declared = declaredVersions(pool, model);
    return declared.find(version => isCovered(coverage(engines, pool, model, version)))
        ?? servedVersionAmong(engines, pool, model, named);
}

function declaredVersions(pool: Pool | undefined, model: string): string[] {
    return (pool?.models ?? []).filter(({ name }) => name === model).map(({ version }) => version);
}

function readyEngines(view: View, pool: string): Announcement[] {
    return Object.values(view.backends)
        .filter(({ state, announcement }) => state === "ready" && announcement.pool === pool)
        .map(({ announcement }) => announcement)
        .filter(({ role }) => role !== "service");
}

function coverage(engines: readonly Announcement[], pool: Pool | undefined, model: string, version: string) {
    const count = (role: Role): Coverage => {
        const ready = engines.filter(engine => engine.role === role);
        const warmCount = ready.filter(engine => hasVersion(engine, model, version)).length;
        return {
            warmCount,
            requiredCount: Math.max(1, pool?.floor[role] ?? 1, Math.ceil(ready.length * warmFraction)),
        };
    };
    return { prefill: count("prefill"), decode: count("decode") };
}

function isCovered({ prefill, decode }: Record<Role, Coverage>): boolean {
    return prefill.warmCount >= prefill.requiredCount && decode.warmCount >= decode.requiredCount;
}

function mostCoveredVersion(
    engines: readonly Announcement[],
    pool: Pool | undefined,
    model: string,
): string | undefined {
    const declared = declaredVersions(pool, model);
    const loadedModels = engines.flatMap(({ models }) => models).filter(({ name }) => name === model);
    // Declared versions come first and are preferred at equal counts. The others are sorted, so that the order of
    // announcements has no effect.
    const others = [...new Set(loadedModels.map(({ version }) => version))].sort();
    let best: { readonly version: string; readonly pairs: number; } | undefined;
    for (const version of new Set([...declared, ...others])) {
        const { prefill, decode } = coverage(engines, pool, model, version);
        const pairs = prefill.warmCount * decode.warmCount;
        if (pairs > (best?.pairs ?? 0)) {
            best = { version, pairs };
        }
    }
    return best?.version;
}

function hasVersion(engine: Announcement, model: string, version: string): boolean {
    return engine.models.some(loaded => loaded.name === model && loaded.version === version);
}
