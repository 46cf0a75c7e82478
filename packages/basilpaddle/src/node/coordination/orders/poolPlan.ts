import type { EngineState, Order, Pool } from "../../protocol/index.js";
import type { ObservedEngine } from "./orderState.js";
import { servedVersionAmong, versionToServe } from "./servedVersion.js";

/** The role of an engine. */
export type Role = EngineState["role"];

/** An order that is required to bring a pool to its declaration, and the reason for it. */
export type RequiredOrder = { readonly engine: ObservedEngine; readonly order: Order; readonly cause: string; };

/** An engine to be drained, which removes it from placement, or to be returned to placement, and the reason. */
export type RequiredDrain = { readonly engine: ObservedEngine; readonly draining: boolean; readonly cause: string; };

/** A version that the view should name for new attempts from now on. */
export type RequiredMove = { readonly pool: string; readonly model: string; readonly version: string; };

/** A pool's declaration and its actual state. */
export type PoolState = {
    readonly name: string;
    readonly declared: Pool;
    /** Ready and draining engines, ordered by identifier. */
    readonly engines: readonly ObservedEngine[];
    /** The version that the view names for new attempts, by model. */
    readonly named: Readonly<Record<string, string>>;
    /** The version that new attempts run, by model. */
    readonly served: ReadonlyMap<string, string | undefined>;
};

const oppositeRole = { prefill: "decode", decode: "prefill" } as const;

/** The version of each declared model that new attempts run, given these engines. */
export function servedVersions(
    engines: readonly ObservedEngine[],
    declared: Pool,
    named: PoolState["named"],
): PoolState["served"] {
    const ready = engines.filter(({ state }) => state === "ready").map(({ announcement }) => announcement);
    return new Map(declared.models.map(({ name }) => [name, servedVersionAmong(ready, declared, name, named[name])]));
}

/** Whether the engine has the version warm with all given adapters. */
export function isWarm(engine: ObservedEngine, name: string, version: string, adapters: readonly string[]): boolean {
    return (engine.reading?.state.models ?? []).some(model =>
        model.name === name && model.version === version && model.phase === "warm"
        && adapters.every(adapter => model.adapters.includes(adapter))
    );
}

/** Loads that the pool requires. Those for the role with the fewest warm copies come first. */
export function requiredLoads({ declared, engines, name }: PoolState): RequiredOrder[] {
    const loads = declared.models.flatMap(model => {
        const warmCopies = (role: Role) =>
            engines.filter(engine =>
                engine.announcement.role === role && isWarm(engine, model.name, model.version, model.adapters)
            ).length;
        const copies = { prefill: warmCopies("prefill"), decode: warmCopies("decode") };
        return engines
            .filter(engine =>
                engine.reading !== undefined && !isWarm(engine, model.name, model.version, model.adapters)
            )
            .map(engine => ({
                engine,
                order: { action: "load", model: model.name, version: model.version, adapters: model.adapters } as const,
                cause: `${name} declares ${model.name}@${model.version}`,
                copies: copies[roleOf(engine)],
            }));
    });
    return loads.sort((first, other) => first.copies - other.copies);
}

/** Versions that the view should name for new attempts, where they differ from those that it names now. */
export function requiredMoves({ name: pool, declared, engines, named }: PoolState): RequiredMove[] {
    const ready = engines.filter(({ state }) => state === "ready").map(({ announcement }) => announcement);
    const models = [...new Set(declared.models.map(({ name }) => name))];
    return models.flatMap(model => {
        const version = versionToServe(ready, declared, model, named[model]);
        return version === undefined || version === named[model] ? [] : [{ pool, model, version }];
    });
}

/** Unloads of versions that the pool doesn't declare and that no new attempt runs. */
export function requiredUnloads(pool: PoolState): RequiredOrder[] {
    const { declared, engines, name } = pool;
    return engines.flatMap(engine =>
        (engine.reading?.state.models ?? [])
            .filter(model => model.phase === "warm" && isRetired(pool, model.name, model.version))
            .filter(model => hasSuccessor(engine, declared, model.name))
            .map(({ name: model, version }) => ({
                engine,
                order: { action: "unload", model, version } as const,
                cause: `${name} doesn't declare ${model}@${version} any more`,
            }))
    );
}

/**
 * Whether the version is neither declared nor served. While the served version isn't the named one, it is derived from the
 * versions that engines have loaded, and an unload could remove the version that would be served next.
 */
function isRetired({ declared, named, served }: PoolState, model: string, version: string): boolean {
    const versions = declared.models.filter(({ name }) => name === model).map(declaredModel => declaredModel.version);
    if (versions.length === 0) {
        return true;
    }
    const isNamedServed = named[model] !== undefined && named[model] === served.get(model);
    return isNamedServed && named[model] !== version && !versions.includes(version);
}

/**
 * The required drains and role change. At most one engine of a pool changes its role at a time: with several changes in
 * progress, the floor could not be checked against the actual state.
 */
export function requiredRoleChange(
    pool: PoolState,
): { drains: RequiredDrain[]; change: RequiredOrder | undefined; } {
    const { engines, name } = pool;
    const draining = engines.filter(({ state }) => state === "draining");
    const [changing, ...others] = draining;
    const drains = others.map(engine => ({ engine, draining: false, cause: "another engine changes its role" }));
    if (changing === undefined) {
        const candidate = roleCandidate(pool);
        const cause = `${name} needs another ${candidate === undefined ? "" : oppositeRole[roleOf(candidate)]} copy`;
        return {
            drains: candidate === undefined ? [] : [{ engine: candidate, draining: true, cause }],
            change: undefined,
        };
    }
    if (changing.reading === undefined || changing.reading.state.role !== roleOf(changing)) {
        // Its announcement doesn't contain the new role yet. If it were returned to placement, it would get work of its
        // old role.
        return { drains, change: undefined };
    }
    const role = roleOf(changing);
    if (!shouldChangeRole(pool, role) || !canRemove(pool, changing)) {
        const cause = "its role change is no longer required";
        return { drains: [...drains, { engine: changing, draining: false, cause }], change: undefined };
    }
    const order = { action: "changeRole", role: oppositeRole[role] } as const;
    return { drains, change: { engine: changing, order, cause: `${name} needs another ${oppositeRole[role]} copy` } };
}

/** Number of ready engines of the role that can serve every declared model now. */
export function servingCopies(pool: PoolState, role: Role): number {
    return pool.engines.filter(engine => engine.state === "ready" && canServe(pool, engine, role)).length;
}

function canServe({ declared, served }: PoolState, engine: ObservedEngine, role: Role): boolean {
    return engine.reading?.state.role === role && roleOf(engine) === role
        && declared.models.every(({ name }) => isWarm(engine, name, served.get(name) ?? "", []));
}

/**
 * Whether the pool keeps its floor without the engine, or is below the floor even with it. Both roles are checked, because
 * the served version may depend on this engine.
 */
function canRemove(pool: PoolState, engine: ObservedEngine): boolean {
    const others = pool.engines.filter(other => other !== engine);
    const poolWithout = withEngines(pool, others);
    const poolWith = withEngines(pool, [...others, { ...engine, state: "ready" }]);
    return (["prefill", "decode"] as const).every(role =>
        servingCopies(poolWithout, role) >= Math.min(servingCopies(poolWith, role), pool.declared.floor[role])
    );
}

function withEngines(pool: PoolState, engines: readonly ObservedEngine[]): PoolState {
    return { ...pool, engines, served: servedVersions(engines, pool.declared, pool.named) };
}

function roleCandidate(pool: PoolState): ObservedEngine | undefined {
    const role = (["prefill", "decode"] as const).find(candidate => shouldChangeRole(pool, candidate));
    const candidates = pool.engines.filter(engine =>
        engine.state === "ready" && engine.announcement.role === role && engine.announcement.abilities.changesRole
        && engine.reading?.state.role === role && canRemove(pool, engine)
    );
    return candidates.sort((first, other) =>
        first.reading!.state.active.length - other.reading!.state.active.length
    )[0];
}

/** Whether the role has too many copies and the other one too few. All ready and draining engines count. */
function shouldChangeRole({ engines, declared }: PoolState, role: Role): boolean {
    const count = (countedRole: Role) => engines.filter(engine => roleOf(engine) === countedRole).length;
    const other = oppositeRole[role];
    return count(role) > declared.copies[role] && count(other) < declared.copies[other];
}

/**
 * Whether the engine has a declared version of the model warm, or none is declared. Before that its last version isn't
 * unloaded.
 */
function hasSuccessor(engine: ObservedEngine, declared: Pool, name: string): boolean {
    const successors = declared.models.filter(model => model.name === name);
    return successors.length === 0 || successors.some(({ version }) => isWarm(engine, name, version, []));
}

function roleOf(engine: ObservedEngine): Role {
    return engine.announcement.role === "prefill" ? "prefill" : "decode";
}
