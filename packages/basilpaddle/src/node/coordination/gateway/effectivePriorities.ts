import type { Traffic, TrafficOrganisation } from "../../protocol/index.js";

type PrioritiesByService = ReadonlyMap<string, ReadonlySet<number>>;

/** Directories look the priorities up at each change of an engine, and a configuration may have thousands of organisations. */
const prioritiesOfTraffic = new WeakMap<Traffic, PrioritiesByService>();

/**
 * The priorities that requests to a service may have, in ascending order: those of its routes, and those that organisations
 * have of their own.
 */
export function effectivePriorities(traffic: Traffic, service: string): readonly number[] {
    const priorities = prioritiesOfTraffic.get(traffic) ?? prioritiesByService(traffic);
    prioritiesOfTraffic.set(traffic, priorities);
    return [...priorities.get(service) ?? []].sort((one, other) => one - other);
}

/** Whether requests of different priorities compete for a service's capacity. */
export function hasSeveralPriorities(traffic: Traffic | undefined, service: string): boolean {
    return traffic !== undefined && effectivePriorities(traffic, service).length > 1;
}

function prioritiesByService({ routes, organisations }: Traffic): PrioritiesByService {
    const ownPriorities = new Set(organisations?.flatMap(({ priority }) => priority ?? []));
    const takesRoutePriority = organisations === undefined || organisations.some(hasNoPriority);
    const priorities = new Map<string, Set<number>>();
    for (const route of routes) {
        const routePriorities = takesRoutePriority || route.public ? [...ownPriorities, route.priority] : ownPriorities;
        for (const { service } of route.targets.filter(({ weight }) => weight > 0)) {
            const known = priorities.get(service) ?? new Set();
            priorities.set(service, known);
            routePriorities.forEach(priority => known.add(priority));
        }
    }
    return priorities;
}

function hasNoPriority({ priority }: TrafficOrganisation): boolean {
    return priority === undefined;
}
