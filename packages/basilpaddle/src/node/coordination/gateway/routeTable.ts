import type { ServiceRule, Traffic, TrafficOrganisation, TrafficRoute } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import { hasSeveralPriorities } from "./effectivePriorities.js";

/** The key that a caller sends with its request. */
export type CallerCredentials = { readonly kind: "none" | "malformed"; } | {
    readonly kind: "key";
    readonly key: string;
};

/** Who sent a request, by the configuration that was in force at its arrival. */
export type CallerIdentity = {
    /** The organisation that holds the caller's key; undefined on public routes without a valid key, and without organisations. */
    readonly organisation: TrafficOrganisation | undefined;
    /** Whether the configuration has organisations. */
    readonly keysInForce: boolean;
};

/** Finds the route of a request and the service that handles it. */
export class RouteTable {
    private readonly byHost = new Map<string, TrafficRoute[]>();
    private readonly services: ReadonlyMap<string, ServiceRule>;
    private readonly prioritisedServices: ReadonlySet<string>;
    private readonly organisationByKey: ReadonlyMap<string, TrafficOrganisation> | undefined;

    private constructor(readonly traffic: Traffic) {
        this.services = new Map(traffic.services.map(service => [service.name, service]));
        const names = traffic.services.map(service => service.name);
        this.prioritisedServices = new Set(names.filter(name => hasSeveralPriorities(traffic, name)));
        this.organisationByKey = traffic.organisations
            && new Map(
                traffic.organisations.flatMap(organisation => organisation.keys.map(key => [key, organisation])),
            );
        for (const route of traffic.routes) {
            const host = route.host.toLowerCase();
            this.byHost.set(host, [...this.byHost.get(host) ?? [], route]);
        }
        // The longest prefix wins, so it is tried first.
        this.byHost.forEach(routes => routes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length));
    }

    static create(traffic: Traffic): RouteTable {
        return new RouteTable(traffic);
    }

    /** The route for a `Host` header and a request target; undefined if none matches. */
    match(hostHeader: string, target: string): TrafficRoute | undefined {
        const host = hostHeader.toLowerCase().replace(/:\d*$/, "");
        const path = target.split("?", 1)[0]!;
        return this.byHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
    }

    /** Who sent a request of the route; undefined if the route needs a valid key and the request has none. */
    identify(route: TrafficRoute, credentials: CallerCredentials): CallerIdentity | undefined {
        if (this.organisationByKey === undefined) {
            return { organisation: undefined, keysInForce: false };
        }
        const organisation = credentials.kind === "key" ? this.organisationByKey.get(credentials.key) : undefined;
        return organisation === undefined && !route.public ? undefined : { organisation, keysInForce: true };
    }

    /**
     * The service that handles a request of the route. Weighted targets are selected by a hash of the identifier, so that the
     * same identifier always gets the same service.
     */
    serviceOf(route: TrafficRoute, identifier: string): ServiceRule | undefined {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let position = hashToFraction(identifier) * total;
        for (const target of route.targets) {
            position -= target.weight;
            if (position < 0) {
                return this.services.get(target.service);
            }
        }
        return undefined;
    }

    /** Whether requests of different priorities compete for a service's capacity. */
    hasSeveralPriorities(service: string): boolean {
        return this.prioritisedServices.has(service);
    }

    /** The rule of a service; undefined if the configuration doesn't have it. */
    service(name: string): ServiceRule | undefined {
        return this.services.get(name);
    }
}
