import { z } from "zod";
import { crashRecordSchema, crashReportSchema } from "./crash.js";

const identifier = z.string().min(1).max(200);
/** A configuration's text, deflated. A thousand routes are 220 KB: a third of a second of a small host's link. */
const packedSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "bytes are expected");

/** What a backend server says of itself, as a directory passes it on. */
export const announcedSchema = z.object({
    /** Identifier of this incarnation; a restart has another one, as `incarnationOf` gives it. */
    id: identifier,
    /** What the backend server calls itself on its wire, where several incarnations share that. @default id */
    name: identifier.optional(),
    /** Unix milliseconds of its start, where it tells them. */
    startedAt: z.int().min(0).optional(),
    service: identifier,
    /** "IP:PORT". An address may be used again by another incarnation, of another service even. */
    address: z.string(),
    failureDomain: z.string(),
    /** Requests that it works on at once. */
    slots: z.int().min(0),
    /** `silent`: the directory that heard it last has heard nothing for several heartbeats. */
    state: z.enum(["ready", "draining", "left", "silent"]),
    /** Only engines have one. */
    stage: z.enum(["prefill", "decode"]).optional(),
    /** Rises with each heartbeat; the newest word counts, whichever way it came. */
    sequence: z.int().min(0),
});

/** What a gateway asks a directory for: whatever it doesn't have yet. Held open until there is something. */
export const watchSchema = z.object({
    kind: z.literal("watch"),
    gateway: identifier,
    /** Version of the configuration that the gateway has; -1 without one. */
    version: z.int(),
    /** The directory's incarnation that `cursor` belongs to. */
    incarnation: z.string(),
    /** Announcements up to this number are known. */
    cursor: z.int().min(0),
    /** Whether a newer configuration should come with the answer; each gateway gets it from one directory only. */
    wantsDocument: z.boolean(),
    /** Directories watch each other too, and aren't counted as gateways. */
    observer: z.boolean(),
    /** Repeats that the gateway borrowed within the last window, by service. @default none */
    borrowed: z.array(z.object({ service: identifier, count: z.int().min(0) })).optional(),
    /** Requests under which servers ended are known up to this number. @default 0 */
    crashCursor: z.int().min(0).optional(),
});

/** Asks a directory for the newest configuration that it knows, whether or not it is the newest of all. */
export const documentRequestSchema = z.object({ kind: z.literal("document") });

/** What has changed since. */
export const watchedSchema = z.object({
    incarnation: z.string(),
    cursor: z.int().min(0),
    /** Version of the newest configuration that this directory knows; -1 without one. */
    version: z.int(),
    document: z.object({ version: z.int(), packed: packedSchema }).optional(),
    announced: z.array(announcedSchema),
    /** Names of the directories that vote, and of their leader, as far as this one knows. */
    members: z.array(z.string()),
    /** Where this directory stands. */
    failureDomain: z.string(),
    leader: z.string().optional(),
    /** Gateways that this directory heard of within the last seconds, or knew of before a restart. */
    gateways: z.int().min(0),
    /** Backend servers of plain services that get no work, by what all gateways tell the leader; only it says so. @default none */
    ejected: z.array(identifier).optional(),
    /** Whether that count can be trusted: all that there are have had the time to come. @default false */
    gatewaysSettled: z.boolean().optional(),
    /** The number that such requests are now known up to, and those that changed since. @default 0, and none */
    crashCursor: z.int().min(0).optional(),
    crashes: z.array(crashRecordSchema).optional(),
});

/** A configuration as its author sent it. */
export const documentSchema = z.object({ version: z.int(), packed: packedSchema });

/** Parts of the events that stall on the links from other failure domains to one gateway, as it saw them of late. */
export const linkStallsSchema = z.array(z.object({ failureDomain: z.string(), rate: z.number().min(0).max(1) }));

/** A request for a place at the engines of a pool. */
export const placeDemandSchema = z.object({
    attempt: identifier,
    gateway: identifier,
    service: identifier,
    failureDomain: z.string(),
    /** Prompt tokens, and tokens of KV cache that the run will likely come to hold. */
    promptTokens: z.int().min(0),
    cacheTokens: z.int().min(0),
    /** Rank, 0 first. */
    priority: z.int().min(0),
    /** Milliseconds left to the target of the first event, and until the caller stops waiting for it. */
    targetWithin: z.number(),
    patienceWithin: z.number(),
    /** Engines to leave out because they failed this request before. */
    avoid: z.array(identifier),
    /** Where the run was interrupted and its caller already has a part: it goes before all that hasn't begun. */
    resumed: z.boolean(),
    /** What the gateway saw of its links. @default no stalls */
    linkStalls: linkStallsSchema.optional(),
});

/** A place, or why there is none. */
export const placeDecisionSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("placed"),
        attempt: identifier,
        /** Left out where no engine of that stage is ready: the decode engine then reads the prompt itself. */
        prefill: identifier.optional(),
        decode: identifier,
        /** Milliseconds in which the prompt should be read, others before it included; left out where nobody can tell. */
        readingWithin: z.number().optional(),
    }),
    /** It can't be served in time: come back after so many milliseconds. */
    z.object({ kind: z.literal("refused"), attempt: identifier, reason: z.string(), comeBackIn: z.number() }),
]);

/** How the use of a place ended, as far as engines are to blame. */
export const placeEndSchema = z.object({
    /** The engine that failed it, if one did. */
    failed: identifier.optional(),
    /** The engine that turned the run away, if one did. */
    turnedAwayBy: identifier.optional(),
    /** The engine that had read the prompt of a run that was turned away. */
    readBy: identifier.optional(),
});

/** How the use of a place ended, as far as engines are to blame. */
export type PlaceEnd = z.infer<typeof placeEndSchema>;

/** How calls to one backend server of a plain service went at one gateway since it last told. */
export const serverCallsSchema = z.object({
    id: identifier,
    service: identifier,
    answered: z.int().min(0),
    /** Failed, broke off, were turned away, or have been open for far longer than usual. */
    failed: z.int().min(0),
});

/** What a gateway says to the directory that places: asks, tells that places are free again, or lists what it holds. */
export const placingSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("place"), demand: placeDemandSchema }),
    z.object({ kind: z.literal("withdraw"), attempt: identifier }),
    z.object({ kind: z.literal("prefilled"), attempt: identifier }),
    z.object({ kind: z.literal("release"), attempt: identifier, end: placeEndSchema }),
    /** Asks for one repeat of the service's allowance beyond the gateway's own part. */
    z.object({ kind: z.literal("borrow"), gateway: identifier, service: identifier }),
    /** Asks whether the asked directory leads and answers: a gateway that got no answer does so until it gets one. */
    z.object({ kind: z.literal("probe"), gateway: identifier }),
    /** How calls to plain services went. */
    z.object({ kind: z.literal("calls"), calls: z.array(serverCallsSchema) }),
    /** Another incarnation answered at the address of this one: it has ended, and nobody said so. */
    z.object({ kind: z.literal("ended"), instance: identifier }),
    z.object({
        kind: z.literal("holdings"),
        gateway: identifier,
        held: z.array(z.object({ demand: placeDemandSchema, decode: identifier })),
    }),
]);

/** What the directory that places answers; the others name the leader they know. */
export const placingAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("decided"), term: z.int(), decision: placeDecisionSchema }),
    /** Still in the queue: ask again. */
    z.object({ kind: z.literal("waiting"), term: z.int() }),
    z.object({ kind: z.literal("elsewhere"), leader: z.string().optional() }),
    /** Whether a repeat is lent. */
    z.object({ kind: z.literal("lent"), granted: z.boolean() }),
    /** The asked directory leads. */
    z.object({ kind: z.literal("leading"), term: z.int() }),
]);

/** What directories ask each other: to store or to read the document, where the asked one leads. */
export const documentCallSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("storeDocument"), version: z.int().min(0), content: z.string() }),
    z.object({ kind: z.literal("readDocument") }),
]);

/**
 * All that a directory is told or asked by gateways and other directories. It is checked once, by its kind: trying one schema
 * after the other costs several times as much, for each demand.
 */
export const directoryMessageSchema = z.discriminatedUnion("kind", [
    watchSchema,
    documentRequestSchema,
    placingSchema,
    documentCallSchema,
    crashReportSchema,
]);

/** What became of such a call. */
export const documentAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("stored") }),
    z.object({ kind: z.literal("read"), version: z.int(), content: z.string() }),
    /** Nobody can be sure now. */
    z.object({ kind: z.literal("unavailable"), reason: z.string() }),
]);

/** What a backend server says of itself. */
export type Announced = z.infer<typeof announcedSchema>;
/** What a gateway asks a directory for. */
export type Watch = z.infer<typeof watchSchema>;
/** Asks a directory for its newest configuration. */
export type DocumentRequest = z.infer<typeof documentRequestSchema>;
/** A configuration on its way between daemons. */
export type PackedDocument = z.infer<typeof documentSchema>;
/**
 * Identifier of one incarnation of a backend server. One that starts again under the name that it had holds and knows
 * nothing of before: with the start in the identifier, whatever is kept by incarnation (places, pauses, connections,
 * sequence numbers) begins anew with it, and word of the incarnation before can't be taken for its own.
 */
export function incarnationOf(name: string, startedAt: number | undefined): string {
    return startedAt === undefined ? name : `${name}@${startedAt}`;
}

/** What a backend server calls itself on its wire. */
export function serverName(server: Pick<Announced, "id" | "name">): string {
    return server.name ?? server.id;
}

/** What has changed since. */
export type Watched = z.infer<typeof watchedSchema>;
/** Parts of the events that stall on the links from other failure domains. */
export type LinkStalls = z.infer<typeof linkStallsSchema>;
/** A request for a place at the engines of a pool. */
export type PlaceDemand = z.infer<typeof placeDemandSchema>;
/** How calls to one backend server of a plain service went at one gateway. */
export type ServerCalls = z.infer<typeof serverCallsSchema>;
/** A place, or why there is none. */
export type PlaceDecision = z.infer<typeof placeDecisionSchema>;
/** What a gateway says to the directory that places. */
export type Placing = z.infer<typeof placingSchema>;
/** What the directory that places answers. */
export type PlacingAnswer = z.infer<typeof placingAnswerSchema>;
/** What directories ask each other about the document. */
export type DocumentCall = z.infer<typeof documentCallSchema>;
/** All that a directory is told or asked by gateways and other directories. */
export type DirectoryMessage = z.infer<typeof directoryMessageSchema>;
/** What became of such a call. */
export type DocumentAnswer = z.infer<typeof documentAnswerSchema>;
