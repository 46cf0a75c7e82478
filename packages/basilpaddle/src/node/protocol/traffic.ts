import { z } from "zod";
import type { Finding } from "./finding.js";

const name = z.string().min(1).max(200);
const milliseconds = z.number().positive();

/** What a request may bear: `safe` may run again, `unsafe` at most once, `streaming` is an answer in events. */
export const routeKinds = ["safe", "unsafe", "streaming"] as const;

/** One route: which requests it takes, and what is owed to their callers. */
export const trafficRouteSchema = z.object({
    name,
    /** Host name of the request, without a port. */
    host: name,
    /** Begins and ends with a slash; the longest one that begins the path wins. */
    pathPrefix: z.string().regex(/^\/(.*\/)?$/),
    kind: z.enum(routeKinds),
    /** Longest time that a caller is kept waiting for its whole answer. */
    timeout: milliseconds,
    /** Time within which an answer, or the first event of a stream, is worth most. */
    target: milliseconds,
    /** Rank, 0 first. */
    priority: z.int().min(0),
    /** Services by weight; a route without a split has one. */
    targets: z.array(z.object({ service: name, weight: z.number().min(0) })).min(1),
    /** Most backend servers that one attempt may run on. */
    attempts: z.int().min(1),
    /** Whether its requests name model, tokens and the parts of their prompts. */
    prompts: z.boolean(),
    /** Whether a stream may go on at another backend server. */
    resumable: z.boolean(),
    /** Longest pause between two events of a stream that is still on time. */
    gap: milliseconds.optional(),
});

/** What the engines of a service have in common. */
export const engineRuleSchema = z.object({
    /** Requests in one batch. */
    slots: z.int().min(1),
    /** Tokens of KV cache that running requests and cached prefixes share. */
    cacheTokens: z.int().min(1),
    /** How long a prefill's result is kept for a decode engine. */
    handleLife: milliseconds,
    /** How long an engine takes no work after an order to change its stage. */
    stageSwitch: milliseconds,
});

/** One service: backend servers that answer the same requests. */
export const serviceRuleSchema = z.object({
    name,
    healthPath: z.string(),
    /** Connections that one backend server takes from all callers together. */
    connectionLimit: z.int().min(1),
    /** Only where its backend servers are engines for prefill and decode. */
    engine: engineRuleSchema.optional(),
});

/** What a caller may send. */
export const callerLimitsSchema = z.object({
    headerBytes: z.int().min(1),
    bodyBytes: z.int().min(0),
    /** Time for the whole header. */
    headerTimeout: milliseconds,
    /** How long a kept connection may stay idle. */
    idleTimeout: milliseconds,
});

/** A whole configuration of the traffic under its author's version. */
export const trafficSchema = z.object({
    version: z.int().min(0),
    routes: z.array(trafficRouteSchema),
    services: z.array(serviceRuleSchema),
    limits: callerLimitsSchema,
});

/** One route. */
export type TrafficRoute = z.infer<typeof trafficRouteSchema>;
/** What the engines of a service have in common. */
export type EngineRule = z.infer<typeof engineRuleSchema>;
/** One service. */
export type ServiceRule = z.infer<typeof serviceRuleSchema>;
/** What a caller may send. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
/** A whole configuration of the traffic. */
export type Traffic = z.infer<typeof trafficSchema>;

/** What is wrong between the parts of a configuration; each part has the right form already. */
export function checkTraffic(traffic: Traffic): Finding[] {
    const services = new Set(traffic.services.map(service => service.name));
    const places = new Set<string>();
    const findings: Finding[] = [];
    traffic.routes.forEach((route, position) => {
        const at = (place: string, cause: string): void => {
            findings.push({ file: "configuration", place: `routes[${position}].${place}`, cause });
        };
        for (const { service } of route.targets) {
            if (!services.has(service)) {
                at("targets", `service ${service} isn't declared`);
            }
        }
        if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
            at("targets", "the weights add up to 0");
        }
        const key = `${route.host.toLowerCase()}\n${route.pathPrefix}`;
        if (places.has(key)) {
            at("pathPrefix", `another route has host ${route.host} and path ${route.pathPrefix} too`);
        }
        places.add(key);
    });
    return findings;
}
