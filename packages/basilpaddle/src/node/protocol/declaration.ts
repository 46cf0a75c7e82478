import { z } from "zod";

const name = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/,
    "a name consists of 1 to 127 letters, digits, '.', '_' and '-', and starts with a letter or digit",
);
const milliseconds = z.int().min(1);

/** Desired state of one pool of engines. */
export const poolSchema = z.strictObject({
    /** Models that callers may request in this pool. */
    models: z.array(z.strictObject({
        name,
        version: name,
        adapters: z.array(name).default([]),
    })).min(1),
    /** Desired number of engines in each role. */
    copies: z.strictObject({ prefill: z.int().min(0), decode: z.int().min(0) }),
    /**
     * Minimum number of engines in each role that are ready and have all declared models warm, in the versions that new attempts
     * run; no order reduces the pool below it. @default 1 of each
     */
    floor: z.strictObject({ prefill: z.int().min(0).default(1), decode: z.int().min(0).default(1) }).prefault({}),
    targets: z.strictObject({
        /** Target time to the first token in milliseconds. @default 1500 */
        firstToken: milliseconds.default(1_500),
        /** Target time per subsequent token in milliseconds, averaged over one answer. @default 37 */
        perToken: z.number().positive().default(37),
    }).prefault({}),
    /** Metric to optimise first: goodput within both targets, or little wasted prefill work. @default "goodput" */
    weighting: z.enum(["goodput", "prefill"]).default("goodput"),
    /** Maximum number of requests in the pool's queue. @default 1000 */
    queueLimit: z.int().min(1).default(1_000),
});

/** A plain service, whose backend servers aren't engines. */
export const serviceSchema = z.strictObject({
    /** Value of the Host header that selects the service; matches any if omitted. */
    host: z.string().min(1).optional(),
    /** Path prefix that selects the service. */
    pathPrefix: z.string().startsWith("/"),
    /** Methods whose calls may be retried; every other call of the service runs at most once. @default GET, HEAD, OPTIONS */
    idempotentMethods: z.array(z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST"])).default([
        "GET",
        "HEAD",
        "OPTIONS",
    ]),
    /** Timeout of one call in milliseconds. @default 10000 */
    timeout: milliseconds.default(10_000),
});

/** Rules for matching model requests. The first matching route applies. */
export const routeSchema = z.strictObject({
    model: name.optional(),
    organisation: name.optional(),
    /** Marks matching requests non-idempotent. @default false */
    nonIdempotent: z.boolean().default(false),
    /** Lower values are served first. @default 100 */
    priority: z.int().min(0).max(1_000).default(100),
    /** Deadline for the whole answer in milliseconds, unless the caller requests a shorter one. @default 600000 */
    deadline: milliseconds.default(600_000),
});

/** Share and limits of an organisation. */
export const organisationSchema = z.strictObject({
    /** Weight in the division of a pool's capacity under contention. @default 1 */
    share: z.number().positive().default(1),
    /** Maximum number of its concurrent requests in one pool. @default 200 */
    openRequests: z.int().min(1).default(200),
});

/** One file of the configuration folder; every section is optional. */
export const fragmentSchema = z.strictObject({
    pools: z.record(name, poolSchema).optional(),
    services: z.record(name, serviceSchema).optional(),
    routes: z.record(name, routeSchema).optional(),
    organisations: z.record(name, organisationSchema).optional(),
    /** Applies to organisations that aren't listed in any file. */
    anyOrganisation: organisationSchema.optional(),
});

/** The whole configuration, merged from all files. */
export const declarationSchema = z.strictObject({
    pools: z.record(name, poolSchema).default({}),
    services: z.record(name, serviceSchema).default({}),
    /** Ordered by file name, then by position in the file. */
    routes: z.array(routeSchema.extend({ name })).default([]),
    organisations: z.record(name, organisationSchema).default({}),
    anyOrganisation: organisationSchema.prefault({}),
});

/** Desired state of one pool of engines. */
export type Pool = z.infer<typeof poolSchema>;
/** A plain service, whose backend servers aren't engines. */
export type Service = z.infer<typeof serviceSchema>;
/** Rules for matching model requests. */
export type Route = z.infer<typeof routeSchema>;
/** Share and limits of an organisation. */
export type Organisation = z.infer<typeof organisationSchema>;
/** One file of the configuration folder. */
export type Fragment = z.infer<typeof fragmentSchema>;
/** The whole configuration, merged from all files. */
export type Declaration = z.infer<typeof declarationSchema>;
