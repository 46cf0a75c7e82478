import { z } from "zod";
import type { Finding } from "./finding.js";
import { identifierSchema } from "./identity.js";

const name = identifierSchema;
const milliseconds = z.number().positive();

/** How requests may be run: `safe` may run more than once, `unsafe` at most once, `streaming` is answered as events. */
export const routeKinds = ["safe", "unsafe", "streaming"] as const;

/** One route: which requests it matches, and their time limits, priority and targets. */
export const trafficRouteSchema = z.object({
    name,
    /** Host name of the request, without a port. */
    host: name,
    /** Begins and ends with a slash; the longest matching prefix wins. */
    pathPrefix: z.string().regex(/^\/(.*\/)?$/),
    kind: z.enum(routeKinds),
    /** Maximum time until the whole answer is sent. */
    timeout: milliseconds,
    /** Target time for the answer or, for a stream, its first event. */
    target: milliseconds,
    /** 0 is the highest priority. */
    priority: z.int().min(0),
    /** Services with their weights; a route without a traffic split has one entry. */
    targets: z.array(z.object({ service: name, weight: z.number().min(0) })).min(1),
    /** Maximum number of backend servers that one attempt may run on. */
    attempts: z.int().min(1),
    /** Whether its requests name the model, the token counts and the parts of their prompts. */
    prompts: z.boolean(),
    /** Whether an interrupted stream may be resumed on another backend server. */
    resumable: z.boolean(),
    /** Maximum pause between two events of a stream that meets its target. */
    gap: milliseconds.optional(),
    /** Whether its requests need no key, in a configuration with organisations. */
    public: z.boolean().default(false),
});

/** Properties that all engines of a service share. */
export const engineRuleSchema = z.object({
    /** Number of requests in one batch. */
    slots: z.int().min(1),
    /** Capacity of the KV cache in tokens, shared by running requests and cached prefixes. */
    cacheTokens: z.int().min(1),
    /** How long the result of a prefill is kept for a decode engine. */
    handleLife: milliseconds,
    /** How long an engine accepts no work after an order to change its stage. */
    stageSwitch: milliseconds,
});

/** One service: a set of interchangeable backend servers. */
export const serviceRuleSchema = z.object({
    name,
    healthPath: z.string(),
    /** Maximum number of connections to one backend server from all callers together. */
    connectionLimit: z.int().min(1),
    /** Present only if its backend servers are engines for prefill and decode. */
    engine: engineRuleSchema.optional(),
});

/** Limits of callers' requests and connections. */
export const callerLimitsSchema = z.object({
    headerBytes: z.int().min(1),
    bodyBytes: z.int().min(0),
    /** Timeout for receiving the whole header. */
    headerTimeout: milliseconds,
    /** How long a keep-alive connection may stay idle. */
    idleTimeout: milliseconds,
});

/** What an organisation may send through all gateways together: a token bucket. */
export const allowanceSchema = z.object({
    /** What is counted: requests, or the tokens of their prompts and answers. */
    unit: z.enum(["requests", "tokens"]),
    /** Units per second. */
    rate: z.number().positive(),
    /** Units that may be sent at once after a time without requests. */
    burst: z.number().min(0),
    /** Units of a request that states no token counts, if tokens are counted. */
    defaultCost: z.number().min(0),
});

/** An organisation whose callers authenticate with its keys. */
export const trafficOrganisationSchema = z.object({
    name,
    /** Secret; never logged or passed on. */
    keys: z.array(z.string().min(1, "an empty key")),
    /** Takes precedence over the priority of the route. */
    priority: z.int().min(0).optional(),
    /** Absent if the organisation may send without limit. */
    allowance: allowanceSchema.optional(),
});

/** A complete traffic configuration with the version that its author assigned. */
export const trafficSchema = z.object({
    version: z.int().min(0),
    routes: z.array(trafficRouteSchema),
    services: z.array(serviceRuleSchema),
    limits: callerLimitsSchema,
    /** If present, even empty, every request of a route that isn't public needs a key of one of them. @default no keys */
    organisations: z.array(trafficOrganisationSchema).optional(),
});

/** One route. */
export type TrafficRoute = z.infer<typeof trafficRouteSchema>;
/** Properties that all engines of a service share. */
export type EngineRule = z.infer<typeof engineRuleSchema>;
/** One service. */
export type ServiceRule = z.infer<typeof serviceRuleSchema>;
/** Limits of callers' requests and connections. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
/** What an organisation may send through all gateways together. */
export type Allowance = z.infer<typeof allowanceSchema>;
/** An organisation whose callers authenticate with its keys. */
export type TrafficOrganisation = z.infer<typeof trafficOrganisationSchema>;
/** A complete traffic configuration. */
export type Traffic = z.infer<typeof trafficSchema>;

/** Checks references and conflicts between the parts of a configuration that the schema has already accepted. */
export function checkTraffic(traffic: Traffic): Finding[] {
    const services = new Set(traffic.services.map(service => service.name));
    const declaredPrefixes = new Set<string>();
    const findings: Finding[] = [];
    traffic.routes.forEach((route, position) => {
        const addFinding = (place: string, cause: string): void => {
            findings.push({ file: "configuration", place: `routes[${position}].${place}`, cause });
        };
        for (const { service } of route.targets) {
            if (!services.has(service)) {
                addFinding("targets", `service ${service} isn't declared`);
            }
        }
        if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
            addFinding("targets", "the weights add up to 0");
        }
        const key = `${route.host.toLowerCase()}\n${route.pathPrefix}`;
        if (declaredPrefixes.has(key)) {
            addFinding(
                "pathPrefix",
                `another route has the same host ${route.host} and path prefix ${route.pathPrefix}`,
            );
        }
        declaredPrefixes.add(key);
    });
    return [...findings, ...checkOrganisations(traffic.organisations ?? [])];
}

/** Checks that names and keys of organisations are unique. Findings name positions, never keys. */
function checkOrganisations(organisations: readonly TrafficOrganisation[]): Finding[] {
    const names = new Set<string>();
    const holderByKey = new Map<string, string>();
    const findings: Finding[] = [];
    organisations.forEach((organisation, position) => {
        const addFinding = (place: string, cause: string): void => {
            findings.push({ file: "configuration", place: `organisations[${position}].${place}`, cause });
        };
        if (names.has(organisation.name)) {
            addFinding("name", `another organisation has the name ${organisation.name}`);
        }
        names.add(organisation.name);
        organisation.keys.forEach((key, keyPosition) => {
            const holder = holderByKey.get(key);
            if (holder !== undefined) {
                addFinding(`keys[${keyPosition}]`, `the key is already listed for ${holder}`);
            }
            holderByKey.set(key, organisation.name);
        });
    });
    return findings;
}
