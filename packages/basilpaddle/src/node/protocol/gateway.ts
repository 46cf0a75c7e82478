import { z } from "zod";
import { type AllowanceMessage, allowanceMessageSchema } from "./allowance.js";
import { crashRecordSchema, crashReportSchema } from "./crash.js";
import { hostAddressSchema, identifierSchema } from "./identity.js";
import { readableItems } from "./readableItems.js";
import { relayRegistrationSchema } from "./relay.js";
import { limitObservationSchema, type ServerLimitMessage, serverLimitMessageSchema } from "./serverLimit.js";
import { originQuerySchema, originReportSchema } from "./streamOrigin.js";

/**
 * Compressed text of a configuration. Without compression, the text of a thousand routes is 220 KB, which takes a third of a
 * second to transfer on a small host's link.
 */
const packedSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "bytes are expected");

/**
 * How far it is known that an incarnation leaves, in ascending order: a stage is never followed by an earlier one.
 * `suspected`: a leave call that doesn't name the incarnation, and may be a late one of the previous incarnation.
 * `refuted`: heartbeats arrived for longer after that call than one sent before it can be late.
 * `announced`: it said itself that it leaves.
 */
export const departureStages = ["suspected", "refuted", "announced"] as const;

/** Announcement of a backend server, as forwarded by a directory. */
export const serverAnnouncementSchema = z.object({
    /** Identifier of this incarnation; it changes at each restart of the server. */
    id: identifierSchema,
    /** Name of the backend server on the wire, if several incarnations share it. @default id */
    name: identifierSchema.optional(),
    /** Start time in Unix milliseconds, if the server reports it. */
    startedAt: z.int().min(0).optional(),
    service: identifierSchema,
    /**
     * "IP:PORT". Another incarnation may reuse the address, even one of a different service. Empty if an end was reported by the
     * identifier alone.
     */
    address: z.union([hostAddressSchema, z.literal("")]),
    failureDomain: z.string(),
    /** Number of requests that it runs concurrently. */
    slots: z.int().min(0),
    /** `silent`: the directory that last received its heartbeat has missed several heartbeats. */
    state: z.enum(["ready", "draining", "left", "silent"]),
    /** Set with `draining`, and with `silent` if the server had said that it leaves. @default not known to leave */
    departure: z.enum(departureStages).optional(),
    /** Milliseconds for which the sender has known that it leaves, or may. An age, since clocks differ between hosts. */
    leavingFor: z.number().min(0).optional(),
    /** The stage that the engine runs; present only for engines. */
    stage: z.enum(["prefill", "decode"]).optional(),
    /** Version of its software, if it reports one. Engines of different versions neither continue each other's streams nor read each other's KV caches. */
    softwareVersion: z.string().max(200).optional(),
    /** Incremented with each heartbeat. Of presence the highest number applies, whichever path it arrived by; of departure the last stage. */
    sequence: z.int().min(0),
});

/** Long poll of a gateway at a directory for changes since its cursor; left open until there are any. */
export const watchRequestSchema = z.object({
    kind: z.literal("watch"),
    gateway: identifierSchema,
    /** Version of the gateway's configuration; -1 if it has none. */
    version: z.int(),
    /** Incarnation of the directory that `cursor` refers to. */
    incarnation: z.string(),
    /** Announcements up to this number have been received. */
    cursor: z.int().min(0),
    /** Whether to include a newer configuration in the answer; each gateway fetches it from one directory only. */
    wantsDocument: z.boolean(),
    /** True for a directory that watches another one; it isn't counted as a gateway. */
    observer: z.boolean(),
    /** Crash histories up to this number have been received. @default 0 */
    crashCursor: z.int().min(0).optional(),
    /** Number of the last received change of `nearLimit` and `usedUp`. @default 0 */
    limitCursor: z.int().min(0).optional(),
    /** Number of the last received change of `serverLimits`. @default 0 */
    serverLimitCursor: z.int().min(0).optional(),
});

/** Message of a directory to the others: a backend server has said that it leaves. */
export const departureReportSchema = z.object({
    kind: z.literal("departure"),
    /** Name of the backend server on the wire. */
    name: identifierSchema,
    /** What is known of the incarnation that leaves; absent if the sender knows none. */
    server: serverAnnouncementSchema.optional(),
});

/** Reply to a departure report: whether it is stored on the disk. */
export const departureReplySchema = z.object({ kind: z.literal("noted"), stored: z.boolean() });

/** Asks a directory for the latest configuration that it knows, which may be older than the latest committed one. */
export const documentRequestSchema = z.object({ kind: z.literal("document") });

/** Changes since the cursor of a watch request. */
export const watchUpdateSchema = z.object({
    incarnation: z.string(),
    cursor: z.int().min(0),
    /** Version of the latest configuration that this directory knows; -1 if it knows none. */
    version: z.int(),
    document: z.object({ version: z.int(), packed: packedSchema }).optional(),
    announced: readableItems(serverAnnouncementSchema),
    /** Names of the voting directories, and of their leader, as known to this directory. */
    members: z.array(z.string()),
    /** Failure domain of this directory. */
    failureDomain: z.string(),
    leader: z.string().optional(),
    /** Number of gateways that this directory knows: active within the last seconds, or known before its restart. */
    gateways: z.int().min(0),
    /** Backend servers of plain services ejected based on all gateways' call reports. Sent by the leader only. @default none */
    ejected: readableItems(identifierSchema).optional(),
    /** Organisations near their limit, for whose requests the leader has to be asked. Sent by the leader only. @default none */
    nearLimit: readableItems(identifierSchema).optional(),
    /** Those of them that have used up their allowance. */
    usedUp: readableItems(identifierSchema).optional(),
    /** Number of the last change of these two lists. @default 0, and none */
    limitCursor: z.int().min(0).optional(),
    /** Limits that backend servers name, and those that ended a moment ago. Sent by the leader only. @default none */
    serverLimits: readableItems(limitObservationSchema).optional(),
    /** Number of the last change of `serverLimits`. @default 0, and none */
    serverLimitCursor: z.int().min(0).optional(),
    /** Whether `gateways` is reliable: every existing gateway has had time to connect. @default false */
    gatewaysSettled: z.boolean().optional(),
    /** Number up to which crash histories are included, and the histories that changed since. @default 0, and none */
    crashCursor: z.int().min(0).optional(),
    crashes: readableItems(crashRecordSchema).optional(),
});

/** A configuration, compressed, with the version that its author assigned. */
export const packedDocumentSchema = z.object({ version: z.int(), packed: packedSchema });

/** Fractions of events that recently stalled on the links from other failure domains, as measured by one gateway. */
export const linkStallsSchema = z.array(z.object({ failureDomain: z.string(), rate: z.number().min(0).max(1) }));

/** Request for placement of a run on engines of a pool. */
export const placementRequestSchema = z.object({
    attempt: identifierSchema,
    gateway: identifierSchema,
    service: identifierSchema,
    failureDomain: z.string(),
    /** Prompt tokens, and the expected number of KV cache tokens that the run will occupy. */
    promptTokens: z.int().min(0),
    cacheTokens: z.int().min(0),
    /** 0 is the highest priority. */
    priority: z.int().min(0),
    /** Milliseconds left until the target of the first event, and until the caller's timeout for it. */
    targetWithin: z.number(),
    patienceWithin: z.number(),
    /** Engines to exclude because an earlier run of this request failed on them. */
    avoid: z.array(identifierSchema),
    /** True if it continues an interrupted run whose caller has received a part of the answer; placed before all new runs. */
    resumed: z.boolean(),
    /** Software version of the engines that may run it. @default any */
    version: z.string().max(200).optional(),
    /** Organisation that sent it, in pools with several priorities. @default unknown */
    organisation: identifierSchema.optional(),
    /** Milliseconds left until the caller's deadline, in pools with several priorities. @default `finishWithin`, or else `patienceWithin` */
    deadlineWithin: z.number().optional(),
    /** Stall rates of the gateway's links. @default no stalls */
    linkStalls: linkStallsSchema.optional(),
    /** Milliseconds between two events from which on the answer is late. @default no limit */
    gap: z.number().min(0).optional().catch(undefined),
    /** Milliseconds left until the answer must be complete. @default no limit */
    finishWithin: z.number().optional().catch(undefined),
    /** Digest of the request's content, which is the same when its caller retries it. @default unknown */
    content: z.string().max(200).optional().catch(undefined),
});

/** The engines granted to a run, or the reason for a refusal. */
export const placementDecisionSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("placed"),
        attempt: identifierSchema,
        /** Omitted if no prefill engine is ready: the decode engine then performs the prefill itself. */
        prefill: identifierSchema.optional(),
        decode: identifierSchema,
        /** Expected milliseconds until the prefill completes, including its queue; omitted if no estimate is available. */
        readingWithin: z.number().optional(),
    }),
    /** The run can't be served in time; `comeBackIn` is the retry delay in milliseconds. */
    z.object({
        kind: z.literal("refused"),
        attempt: identifierSchema,
        reason: z.string(),
        comeBackIn: z.number(),
        /** Whether no engine of the demanded software version is left. @default false */
        versionGone: z.boolean().optional(),
    }),
]);

/**
 * Writing of a run since its gateway's previous report: the events, and the milliseconds in which they arrived. The receiver
 * checks the values: a message with invalid ones still releases its placement.
 */
export const runWritingSchema = z.object({ events: z.number(), milliseconds: z.number() });

/** Outcome of a placed run, as far as engines caused it. */
export const placementOutcomeSchema = z.object({
    /** Engine on which the run failed, if any. */
    failed: identifierSchema.optional(),
    /** Engine that rejected the run, if any. */
    turnedAwayBy: identifierSchema.optional(),
    /** Engine that had completed the prefill of a rejected run. */
    readBy: identifierSchema.optional(),
    /** Its writing at the decode engine. @default unknown */
    writing: runWritingSchema.optional().catch(undefined),
    /** Events of its answer, if that was complete and written by this run alone. @default unknown */
    answerEvents: z.number().optional().catch(undefined),
});

/** Writing of a run since its gateway's previous report. */
export type RunWriting = z.infer<typeof runWritingSchema>;
/** Outcome of a placed run, as far as engines caused it. */
export type PlacementOutcome = z.infer<typeof placementOutcomeSchema>;

/** Results of one gateway's calls to one backend server of a plain service since its previous report. */
export const serverCallsSchema = z.object({
    id: identifierSchema,
    service: identifierSchema,
    answered: z.int().min(0),
    /** Calls that failed, were interrupted, were rejected, or have been open for much longer than usual. */
    failed: z.int().min(0),
});

/** Message of a gateway to the leading directory: requests and releases placements, or lists its current ones. */
export const placementMessageSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("place"), demand: placementRequestSchema }),
    z.object({ kind: z.literal("withdraw"), attempt: identifierSchema }),
    z.object({ kind: z.literal("prefilled"), attempt: identifierSchema }),
    z.object({ kind: z.literal("release"), attempt: identifierSchema, end: placementOutcomeSchema }),
    /** Borrows one retry from the service's budget beyond the gateway's own share. */
    z.object({ kind: z.literal("borrow"), gateway: identifierSchema, service: identifierSchema }),
    /** Checks that the directory responds and is the leader. A gateway whose request got no answer sends it until it gets one. */
    z.object({ kind: z.literal("probe"), gateway: identifierSchema }),
    /** Reports the results of calls to plain services. */
    z.object({ kind: z.literal("calls"), calls: z.array(serverCallsSchema) }),
    /** Another incarnation answered at the address of this one, which has therefore ended without an announcement. */
    z.object({ kind: z.literal("ended"), instance: identifierSchema }),
    z.object({
        kind: z.literal("holdings"),
        gateway: identifierSchema,
        held: z.array(z.object({
            demand: placementRequestSchema,
            decode: identifierSchema,
            /** Its writing since the previous report. @default unknown */
            writing: runWritingSchema.optional().catch(undefined),
        })),
    }),
]);

/** Reply of the leading directory; other directories reply with the leader that they know. */
export const placementReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("decided"), term: z.int(), decision: placementDecisionSchema }),
    /** The request is still queued; the gateway must ask again. */
    z.object({ kind: z.literal("waiting"), term: z.int() }),
    z.object({ kind: z.literal("elsewhere"), leader: z.string().optional() }),
    /** Answer to `borrow`: whether the directory lends the retry. */
    z.object({ kind: z.literal("lent"), granted: z.boolean() }),
    /** Answer to `probe`: the directory is the leader. */
    z.object({ kind: z.literal("leading"), term: z.int() }),
]);

/** Request of a directory to the leader to store or read the configuration document. */
export const documentCallSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("storeDocument"), version: z.int().min(0), content: z.string() }),
    z.object({ kind: z.literal("readDocument") }),
]);

/**
 * Any message of a gateway or directory to a directory. Validated once, selected by `kind`: trying one schema after the
 * other would cost several times as much for each placement request.
 */
export const directoryMessageSchema = z.discriminatedUnion("kind", [
    watchRequestSchema,
    documentRequestSchema,
    placementMessageSchema,
    allowanceMessageSchema,
    serverLimitMessageSchema,
    documentCallSchema,
    crashReportSchema,
    relayRegistrationSchema,
    departureReportSchema,
    originReportSchema,
    originQuerySchema,
]);

/** Result of a request to store or read the configuration document. */
export const documentAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("stored") }),
    z.object({ kind: z.literal("read"), version: z.int(), content: z.string() }),
    /** The result can't be determined at present. */
    z.object({ kind: z.literal("unavailable"), reason: z.string() }),
]);

/** Announcement of a backend server. */
export type ServerAnnouncement = z.infer<typeof serverAnnouncementSchema>;
/** How far it is known that an incarnation leaves. */
export type DepartureStage = typeof departureStages[number];
/** Message of a directory to the others: a backend server has said that it leaves. */
export type DepartureReport = z.infer<typeof departureReportSchema>;
/** Reply to a departure report. */
export type DepartureReply = z.infer<typeof departureReplySchema>;
/** Long poll of a gateway at a directory. */
export type WatchRequest = z.infer<typeof watchRequestSchema>;
/** Asks a directory for its latest configuration. */
export type DocumentRequest = z.infer<typeof documentRequestSchema>;
/** A compressed configuration for transfer between daemons. */
export type PackedDocument = z.infer<typeof packedDocumentSchema>;
/**
 * Identifier of one incarnation of a backend server. A server that restarts under the same name has lost its state. Since
 * the identifier includes the start time, state that is kept by incarnation (placements, pauses, connections, sequence
 * numbers) starts afresh, and late messages of the previous incarnation can't be attributed to the new one.
 */
export function incarnationOf(name: string, startedAt: number | undefined): string {
    return startedAt === undefined ? name : `${name}@${startedAt}`;
}

/** Version of a backend server's software; empty if it reports none. */
export function softwareVersionOf(server: Pick<ServerAnnouncement, "softwareVersion">): string {
    return server.softwareVersion ?? "";
}

/** Name of a backend server on the wire. */
export function serverName(server: Pick<ServerAnnouncement, "id" | "name">): string {
    return server.name ?? server.id;
}

/** Changes since the cursor of a watch request. */
export type WatchUpdate = z.infer<typeof watchUpdateSchema>;
/** Fractions of events that stall on the links from other failure domains. */
export type LinkStalls = z.infer<typeof linkStallsSchema>;
/** Request for placement of a run on engines of a pool. */
export type PlacementRequest = z.infer<typeof placementRequestSchema>;
/** Results of one gateway's calls to one backend server of a plain service. */
export type ServerCalls = z.infer<typeof serverCallsSchema>;
/** The engines granted to a run, or the reason for a refusal. */
export type PlacementDecision = z.infer<typeof placementDecisionSchema>;
/** Message of a gateway to the leading directory about placement. */
export type PlacementMessage = z.infer<typeof placementMessageSchema>;
/** Any message of a gateway to the leading directory. */
export type LeaderMessage = PlacementMessage | AllowanceMessage | ServerLimitMessage;
/** Reply of a directory to a message about placement. */
export type PlacementReply = z.infer<typeof placementReplySchema>;
/** Request of a directory to the leader about the configuration document. */
export type DocumentCall = z.infer<typeof documentCallSchema>;
/** Any message of a gateway or directory to a directory. */
export type DirectoryMessage = z.infer<typeof directoryMessageSchema>;
/** Result of a request to store or read the configuration document. */
export type DocumentAnswer = z.infer<typeof documentAnswerSchema>;
