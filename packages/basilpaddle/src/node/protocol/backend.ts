import { z } from "zod";
import { identifierSchema } from "./identity.js";

/** Path for messages of backend servers, on the `backends` address of any entry daemon: POST with JSON bodies. */
export const backendMessagePath = "/backends/v1/word";

/** Description of a backend server. An announcement with a higher incarnation replaces all earlier ones. */
export const announcementSchema = z.object({
    /** Unchanged across restarts of the server. */
    id: identifierSchema,
    /** Increases with every start of the server. */
    incarnation: z.int().min(0),
    /** Base URL of its HTTP interface, such as `http://127.0.0.9:8000`. */
    url: z.url({ protocol: /^http$/ }),
    failureDomain: identifierSchema,
    /** `service` is a plain service; the other two are engines. */
    role: z.enum(["prefill", "decode", "service"]),
    /** The pool of an engine, or the name of the plain service. */
    pool: identifierSchema,
    models: z.array(
        z.object({
            name: identifierSchema,
            version: identifierSchema,
            adapters: z.array(identifierSchema).default([]),
        }),
    )
        .default([]),
    /** Number of requests that it runs concurrently. */
    slots: z.int().min(1).default(1),
    /** Bandwidth of its link for KV cache transfers in bytes per second. */
    linkRate: z.number().positive().optional(),
    abilities: z.object({
        /** It refuses orders with an outdated fencing token. */
        checksFence: z.boolean().default(false),
        resume: z.boolean().default(false),
        cancel: z.boolean().default(true),
        transfer: z.boolean().default(true),
        priorities: z.boolean().default(false),
        changesRole: z.boolean().default(false),
    }).prefault({}),
});

/** Load of an engine as reported by itself. Reports arrive with a delay. */
export const loadReportSchema = z.object({
    id: identifierSchema,
    incarnation: z.int().min(0),
    /** Incremented with each report of one incarnation; a late report with a lower number is dropped. */
    sequence: z.int().min(0),
    /** Identifiers of attempts that occupy a slot or memory. */
    active: z.array(identifierSchema),
    /** Prompt tokens still to be computed. */
    queuedTokens: z.int().min(0).default(0),
    /** Recently measured milliseconds per prompt token, or between two tokens of an answer. */
    tokenTime: z.number().min(0).optional(),
    /** Changes of the prefix cache since the last report, and the number of the first; a gap in the numbers means lost events. */
    cache: z.object({
        firstSequence: z.int().min(0),
        events: z.array(z.object({ kind: z.enum(["stored", "evicted", "cleared"]), prefix: z.string() })),
    }).optional(),
});

/** Message of a backend server to any entry daemon: announcement, heartbeat or leave notification. */
export const backendMessageSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("announce"), announcement: announcementSchema, load: loadReportSchema.optional() }),
    z.object({
        kind: z.literal("renew"),
        id: identifierSchema,
        incarnation: z.int().min(0),
        load: loadReportSchema.optional(),
    }),
    z.object({ kind: z.literal("leave"), id: identifierSchema, incarnation: z.int().min(0) }),
]);

/** Answer to a message of a backend server. */
export const backendAnswerSchema = z.object({
    /** `announceAgain`: this incarnation is unknown. `superseded`: a higher incarnation is known. */
    outcome: z.enum(["accepted", "announceAgain", "superseded", "tryAgain"]),
    /** Milliseconds until the next heartbeat is due. */
    renewAfter: z.int().min(1),
});

/** Description of a backend server. */
export type Announcement = z.infer<typeof announcementSchema>;
/** Load of an engine as reported by itself. */
export type LoadReport = z.infer<typeof loadReportSchema>;
/** Message of a backend server to any entry daemon. */
export type BackendMessage = z.infer<typeof backendMessageSchema>;
/** Answer to a message of a backend server. */
export type BackendAnswer = z.infer<typeof backendAnswerSchema>;
