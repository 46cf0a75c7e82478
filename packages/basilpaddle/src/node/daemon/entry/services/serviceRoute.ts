import type { Declaration, Service } from "../../../protocol/index.js";

/** The plain service that a request is routed to. */
export type ServiceRoute = { readonly name: string; readonly service: Service; };

/** Finds the service for a host and path. A service with a matching host takes precedence, then the longest prefix. */
export function findService(
    declaration: Declaration,
    host: string | undefined,
    path: string,
): ServiceRoute | undefined {
    const name = hostName(host);
    return Object.entries(declaration.services)
        .map(([serviceName, service]) => ({ name: serviceName, service }))
        .filter(({ service }) => service.host === undefined || service.host.toLowerCase() === name)
        .filter(({ service }) => matchesPrefix(path, service.pathPrefix))
        .sort((one, other) => specificity(other.service) - specificity(one.service))[0];
}

/** Whether a path is relative or has dot segments, which two servers could resolve to different resources. */
export function isAmbiguous(path: string): boolean {
    return !path.startsWith("/") || path.split("/").some(segment => /^(\.|%2e){1,2}$/i.test(segment));
}

function specificity(service: Service): number {
    return service.pathPrefix.length + (service.host === undefined ? 0 : 1_000_000);
}

function matchesPrefix(path: string, prefix: string): boolean {
    return path.startsWith(prefix)
        && (path.length === prefix.length || prefix.endsWith("/") || path[prefix.length] === "/");
}

function hostName(host: string | undefined): string | undefined {
    return host?.toLowerCase().replace(/:\d+$/, "");
}
