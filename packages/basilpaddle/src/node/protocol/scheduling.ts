import { z } from "zod";
import { loadReportSchema } from "./backend.js";
import { incarnationSchema } from "./command.js";
import { identifierSchema } from "./identity.js";
import { refusalSchema } from "./refusal.js";

/** Request of an entry daemon to a pool's scheduler for engines. */
export const schedulingRequestSchema = z.object({
    /** Identifier of this attempt; each attempt of the same request has its own. */
    attempt: identifierSchema,
    /** Entry daemon that runs the attempt and releases its engines. */
    owner: incarnationSchema,
    pool: identifierSchema,
    model: identifierSchema,
    /** Version that both engines must run, by `servedVersion` of the owner's view; any if omitted. */
    version: identifierSchema.optional(),
    adapter: identifierSchema.optional(),
    organisation: identifierSchema,
    /** The entry daemon's failure domain. */
    failureDomain: identifierSchema,
    promptTokens: z.int().min(0),
    /** Maximum and expected number of answer tokens. */
    maxTokens: z.int().min(1),
    expectedTokens: z.int().min(1),
    /** Chained hashes of the prompt's blocks, the longest prefix last. */
    prefixes: z.array(z.string()),
    /** Prompt tokens per block of `prefixes`. */
    blockTokens: z.int().min(1),
    priority: z.int(),
    /** Milliseconds left when sent: until the target of the first token, and until the deadline of the whole answer. */
    firstTokenWithin: z.number(),
    deadlineWithin: z.number(),
    /** Tokens that the caller has already received from an earlier attempt. */
    alreadySent: z.int().min(0).default(0),
    /** Whether no retry is possible once an engine ran any of it; it isn't assigned a slot that may already be in use. */
    once: z.boolean().default(false),
    /** Engines to avoid because an earlier attempt failed on them. */
    avoid: z.array(identifierSchema).default([]),
});

/** The engines reserved for an attempt, or its refusal. */
export const schedulingDecisionSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("assigned"),
        attempt: identifierSchema,
        prefill: identifierSchema,
        decode: identifierSchema,
        /** Fencing token of the scheduler's lease; 0 if the entry daemon decided locally. */
        fence: z.int().min(0),
        /** Prompt tokens expected to be in the prefill engine's cache. */
        expectedReuse: z.int().min(0),
    }),
    z.object({ kind: z.literal("refused"), attempt: identifierSchema, refusal: refusalSchema }),
]);

/** Progress report of an attempt; the scheduler releases the engines that the attempt no longer needs at this stage. */
export const progressSchema = z.object({
    attempt: identifierSchema,
    stage: z.enum(["prefilling", "prefilled", "transferred", "firstToken", "finished", "cancelled", "failed"]),
    /** Answer tokens generated so far. */
    tokens: z.int().min(0).default(0),
    /** With `prefilled`: prompt tokens that the engine reports as reused from its cache. */
    reusedTokens: z.int().min(0).optional(),
    /** With `failed`: the engine that failed. */
    failedEngine: identifierSchema.optional(),
});

/** The engines reserved for an attempt, as known to its entry daemon; a new scheduler rebuilds its state from these. */
export const engineHoldingSchema = z.object({
    demand: schedulingRequestSchema,
    prefill: identifierSchema,
    decode: identifierSchema,
    stage: progressSchema.shape.stage,
    tokens: z.int().min(0),
});

/** Load reports that an entry daemon forwards to the scheduler. */
export const loadRelaySchema = z.array(loadReportSchema);

/** Request of an entry daemon to a pool's scheduler for engines. */
export type SchedulingRequest = z.infer<typeof schedulingRequestSchema>;
/** The engines reserved for an attempt, or its refusal. */
export type SchedulingDecision = z.infer<typeof schedulingDecisionSchema>;
/** Progress report of an attempt. */
export type Progress = z.infer<typeof progressSchema>;
/** The engines reserved for an attempt, as known to its entry daemon. */
export type EngineAllocation = z.infer<typeof engineHoldingSchema>;
