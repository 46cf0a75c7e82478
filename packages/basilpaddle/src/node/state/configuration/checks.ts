import type { Declaration, Finding, Pool, Service } from "../../protocol/index.js";
import type { DefinitionLocations } from "./definitionLocations.js";

const roles = ["prefill", "decode"] as const;
/** Paths that entry daemons serve themselves on every host. */
const reservedPaths = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

/** Findings that concern the merged configuration as a whole, although each of its files is valid by itself. */
export function declarationFindings(
    declaration: Declaration,
    locations: DefinitionLocations,
    references: "check" | "skip",
): readonly Finding[] {
    return [
        ...Object.entries(declaration.pools).flatMap(([name, pool]) => poolFindings(name, pool, locations)),
        ...modelFindings(declaration, locations),
        ...serviceFindings(declaration, locations),
        ...(references === "check" ? routeFindings(declaration, locations) : []),
    ];
}

function poolFindings(name: string, pool: Pool, locations: DefinitionLocations): Finding[] {
    return roles.filter(role => pool.floor[role] > pool.copies[role]).map(role => ({
        ...locations.locationOf(["pools", name]),
        cause: `the floor of ${pool.floor[role]} ${role} is above the ${pool.copies[role]} declared copies`,
        cure: `set floor.${role} to at most copies.${role} (the default floor is 1)`,
    }));
}

// Callers name a model but no pool: a model in two pools would be ambiguous.
function modelFindings(declaration: Declaration, locations: DefinitionLocations): Finding[] {
    const findings: Finding[] = [];
    const pools = new Map<string, string>();
    for (const [name, pool] of Object.entries(declaration.pools)) {
        const versions = new Set<string>();
        for (const model of pool.models) {
            const other = pools.get(model.name);
            if (other !== undefined && other !== name) {
                findings.push({
                    ...locations.locationOf(["pools", name]),
                    cause: `model ${model.name} is also declared by pool ${other} (${
                        locations.locationOf(["pools", other]).file
                    })`,
                    cure: "declare each model in one pool",
                });
            }
            if (versions.has(`${model.name}/${model.version}`)) {
                findings.push({
                    ...locations.locationOf(["pools", name]),
                    cause: `model ${model.name} version ${model.version} is listed twice`,
                });
            }
            versions.add(`${model.name}/${model.version}`);
            pools.set(model.name, other ?? name);
        }
    }
    return findings;
}

function routeFindings(declaration: Declaration, locations: DefinitionLocations): Finding[] {
    const models = new Set(Object.values(declaration.pools).flatMap(pool => pool.models.map(model => model.name)));
    return declaration.routes
        .filter(route => route.model !== undefined && !models.has(route.model))
        .map(route => ({
            ...locations.locationOf(["routes", route.name]),
            cause: `names model ${route.model}, which no pool declares`,
            cure: models.size > 0 ? `known models: ${[...models].sort().join(", ")}` : "declare a pool with this model",
        }));
}

function serviceFindings(declaration: Declaration, locations: DefinitionLocations): Finding[] {
    const findings: Finding[] = [];
    const servicesBySelector = new Map<string, string>();
    for (const [name, service] of Object.entries(declaration.services)) {
        const selector = `${service.host?.toLowerCase() ?? "*"} ${normalisedPrefix(service)}`;
        const other = servicesBySelector.get(selector);
        if (other !== undefined) {
            findings.push({
                ...locations.locationOf(["services", name]),
                cause: `overlaps with service ${other} (${
                    locations.locationOf(["services", other]).file
                }): same host and path prefix`,
                cure: "change the host or path prefix of one of them",
            });
        }
        servicesBySelector.set(selector, other ?? name);
        const reservedPath = reservedPaths.find(path => normalisedPrefix(service).startsWith(path));
        if (reservedPath !== undefined && service.host === undefined) {
            findings.push({
                ...locations.locationOf(["services", name]),
                cause: `its path prefix is under ${reservedPath}, which is reserved for model requests`,
                cure: "choose another path prefix or set a host",
            });
        }
    }
    return findings;
}

function normalisedPrefix(service: Service): string {
    return service.pathPrefix.replace(/\/+$/, "") || "/";
}
