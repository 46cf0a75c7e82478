import { z } from "zod";
import { identifierSchema } from "./identity.js";

const milliseconds = z.number().min(0);

/** Maximum number of crashes that are stored and reported for one request. */
export const maxRecordedCrashes = 8;

/** Maximum number of begun answers that are stored and reported for one part of prompts. */
export const maxRecordedAnswers = 12;

/**
 * When a part of prompts is quarantined: a sequential test of the answers begun on it against the crashes under it. Crashes within
 * `simultaneous` count as one.
 */
export const promptPartRulesSchema = z.object({
    /** Fraction of the runs with a harmful part under which the engine crashes, at least. */
    harmfulCrashRate: z.number().positive().lt(1).default(0.4),
    /**
     * Fraction of the runs with a harmless part that are hit early by a crash, at most; while many engines crash, hardly more are. A crash
     * under a part that a larger share of the begun streams holds weighs less: some request with it is on most engines.
     */
    harmlessCrashRate: z.number().positive().lt(1).default(0.1),
    /** How many times as likely the observations must be with a harmful part as with a harmless one. */
    likelihoodRatio: z.number().gt(1).default(15),
    /**
     * Number of answers, begun before the crashes, that speak for a part. More aren't counted: its content may crash only the
     * engines of a version that was rolled out a moment ago.
     */
    countedAnswers: z.int().min(0).max(maxRecordedAnswers).default(8),
    /**
     * Weight of a crash shortly after the first part of the answer, as a fraction of that of a crash before it: runs are exposed to
     * unrelated crashes for longer.
     */
    lateWeight: z.number().positive().max(1).default(0.7),
    /** Weight of a further crash under the same request, as a fraction: that request's own content may be what crashes engines. */
    repeatedWeight: z.number().min(0).max(1).default(0.5),
    /** Milliseconds within which crashes of several servers count as one: they have a common cause, such as a loss of power. */
    simultaneous: z.number().min(0).default(20),
    /** Milliseconds of writing after which an answer has begun. */
    begunAfter: z.number().min(0).default(250),
}).refine(({ harmfulCrashRate, harmlessCrashRate }) => harmfulCrashRate > harmlessCrashRate, {
    error: "harmfulCrashRate has to be above harmlessCrashRate",
});

/** When a part of prompts is quarantined. */
export type PromptPartRules = z.infer<typeof promptPartRulesSchema>;

/** When a request is quarantined because backend servers crashed while running it. The same for all daemons of a deployment. */
export const quarantineRulesSchema = z.object({
    /**
     * Threshold for crashes of phase `whole`. One may have an unrelated cause, and a second may be a coincidence. A request is
     * quarantined once its crashes of all phases, each counted as a fraction of its phase's threshold, add up to 1.
     */
    crashes: z.int().min(1).default(3),
    /**
     * Threshold for crashes before the first part of the answer. Lower, since runs are in this phase only briefly, so that
     * an unrelated crash rarely coincides with it.
     */
    earlyCrashes: z.int().min(1).default(2),
    /**
     * Threshold for crashes after the first part of the answer. Higher, since every run on an engine is exposed to unrelated
     * crashes for as long as the run lasts.
     */
    lateCrashes: z.int().min(1).default(5),
    /**
     * Duration of the first quarantine in milliseconds. It quadruples, up to a day, for each further crash of phase `whole`.
     * Other crashes count in proportion to their thresholds, and the sum is rounded to a whole number.
     */
    firstHold: z.number().positive().default(600_000),
    /** When a part that several prompts share is quarantined. */
    promptParts: promptPartRulesSchema.prefault({}),
});

/** When a request is quarantined, and for how long. */
export type QuarantineRules = z.infer<typeof quarantineRulesSchema>;

/** Progress of a run: before or after the first part of its answer, or `whole` for requests that are answered in one piece. */
export const crashPhases = ["early", "late", "whole"] as const;
/** Progress of a run when its server crashed. */
export type CrashPhase = typeof crashPhases[number];

/** A crash of a backend server while it was running a request. */
export const crashSchema = z.object({
    /** The incarnation that crashed. */
    server: identifierSchema,
    phase: z.enum(crashPhases),
    /** Milliseconds since the crash. An age rather than a timestamp, since the clocks of hosts differ. */
    age: milliseconds,
    /** In the record of a part of prompts: digest of the request that ran. @default not known */
    request: identifierSchema.optional(),
    /**
     * In the record of a part of prompts: share of the newest begun streams whose prompts hold it, at the daemon that reports the
     * crash. @default small
     */
    share: z.number().min(0).max(1).optional(),
});

/** An answer that a backend server began to write. */
export const begunAnswerSchema = z.object({
    /** Identifier of the attempt. */
    attempt: identifierSchema,
    age: milliseconds,
});

/** Crash history of a request that backend servers crashed while running, or of a part of prompts. */
export const crashRecordSchema = z.object({
    /** Digest of the request, as computed by `digestOf`, or the part's name, as computed by `promptPartName`. */
    digest: identifierSchema,
    crashes: z.array(crashSchema).max(maxRecordedCrashes),
    /** Milliseconds since it was answered completely or released by an operator; earlier crashes don't count. */
    clearedAge: milliseconds.optional(),
    /** In the record of a part of prompts: answers begun on it, which speak for it. @default none */
    begun: z.array(begunAnswerSchema).max(maxRecordedAnswers).optional(),
});

/** Crash histories that gateways and directories send to each other. */
export const crashReportSchema = z.object({
    kind: z.literal("crashes"),
    records: z.array(crashRecordSchema),
});

/** Query for changed crash histories: the cursor of the querying daemon, and the records that it contributes. */
export const crashQuerySchema = z.object({
    /** Instance of the crash history that `cursor` refers to; changes when the daemon restarts. */
    source: z.string(),
    cursor: z.int().min(0),
    records: z.array(crashRecordSchema),
});

/** Crash histories that changed since the cursor of a query. */
export const crashUpdateSchema = crashQuerySchema;

/** A crash of a backend server while it was running a request. */
export type Crash = z.infer<typeof crashSchema>;
/** An answer that a backend server began to write. */
export type BegunAnswer = z.infer<typeof begunAnswerSchema>;
/** Crash history of a request that backend servers crashed while running, or of a part of prompts. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;
/** Query for changed crash histories: the cursor of the querying daemon, and the records that it contributes. */
export type CrashQuery = z.infer<typeof crashQuerySchema>;
/** Crash histories that changed since the cursor of a query. */
export type CrashUpdate = z.infer<typeof crashUpdateSchema>;
/** Crash histories that gateways and directories send to each other. */
export type CrashReport = z.infer<typeof crashReportSchema>;
