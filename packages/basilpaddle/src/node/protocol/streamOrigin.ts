import { z } from "zod";
import { identifierSchema } from "./identity.js";

const milliseconds = z.number().min(0);

/** Maximum number of origins in one report. */
export const maxReportedOrigins = 500;

/** Maximum number of versions of a service that a query names. */
export const maxVersionsPerQuery = 100;

/** The software version that a stream is bound to before its first event: only engines of that version may continue it. */
export const streamOriginSchema = z.object({
    service: identifierSchema,
    /** The caller's attempt that the first event was sent in. */
    attempt: identifierSchema,
    /** Software version of its engine; empty if that announces none. */
    version: z.string().max(200),
    /**
     * Number of versions that the stream was bound to, this one included: 1, unless none of its first version's engines was left
     * before the first event. The highest one applies.
     */
    binding: z.int().min(1),
    /** Milliseconds for which its caller may still resume it. */
    keepFor: milliseconds,
});

/** Report of a gateway to every directory: origins of streams that it has begun. */
export const originReportSchema = z.object({
    kind: z.literal("origins"),
    origins: z.array(streamOriginSchema).max(maxReportedOrigins),
});

/** Reply to an origin report: it is recorded. */
export const originsNotedSchema = z.object({ kind: z.literal("noted") });

const softwareVersion = z.string().max(200);

/** A software version that is established, which means that more than half of the directories knew it, and milliseconds since then. */
export const establishedVersionSchema = z.object({ version: softwareVersion, age: milliseconds });

/** Query of a gateway to every directory: where a stream began, and which versions a service had. */
export const originQuerySchema = z.object({
    kind: z.literal("origin"),
    service: identifierSchema,
    /** The attempt that began the stream; absent if the caller doesn't name it. */
    attempt: identifierSchema.optional(),
    /** Milliseconds within which the stream must have begun. */
    within: milliseconds,
    /** Versions that the gateway sees served: the directory records them, and answers with those that it would know after a restart. */
    served: z.array(softwareVersion).max(maxVersionsPerQuery).optional(),
    /** Versions that are established for this gateway, for others that reach few directories. */
    established: z.array(establishedVersionSchema).max(maxVersionsPerQuery).optional(),
});

/** Answer to an origin query. */
export const originReplySchema = z.object({
    kind: z.literal("origin"),
    /** The version that began the stream, the binding's number, and milliseconds since it was reported; absent if this directory doesn't know it. */
    found: z.object({ version: z.string(), binding: z.int().min(1), age: milliseconds }).optional(),
    /** Software versions that engines of the service had within the query's time. */
    versions: z.array(z.string()),
    /** Whether this directory knows all versions of that time. */
    complete: z.boolean(),
    /** Versions that are established for a gateway. */
    established: z.array(establishedVersionSchema).optional(),
});

/** Which software versions the engines of each service had, as a directory keeps it across a restart. */
export const storedVersionHistorySchema = z.object({
    /** Milliseconds before the time of storing for which all versions are known. */
    coversLast: milliseconds,
    /** Versions, with milliseconds since each was last seen. */
    seen: z.array(z.object({ service: identifierSchema, version: z.string(), age: milliseconds })),
});

/** The software version that began a stream. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>;
/** Report of a gateway to every directory: origins of streams that it has begun. */
export type OriginReport = z.infer<typeof originReportSchema>;
/** Reply to an origin report. */
export type OriginsNoted = z.infer<typeof originsNotedSchema>;
/** Query of a gateway to every directory. */
export type OriginQuery = z.infer<typeof originQuerySchema>;
/** A software version that is established. */
export type EstablishedVersion = z.infer<typeof establishedVersionSchema>;
/** Answer to an origin query. */
export type OriginReply = z.infer<typeof originReplySchema>;
/** Which software versions the engines of each service had, as a directory keeps it across a restart. */
export type StoredVersionHistory = z.infer<typeof storedVersionHistorySchema>;
