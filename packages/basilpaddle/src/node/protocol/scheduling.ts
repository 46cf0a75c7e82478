import { z } from "zod";
import { loadReportSchema } from "./backend.js";
import { incarnationSchema } from "./command.js";
import { refusalSchema } from "./refusal.js";

const identifier = z.string().min(1).max(200);

/** What an entry daemon asks a pool's scheduler for. */
export const demandSchema = z.object({
    /** Identifier of this attempt; another attempt of the same request has another one. */
    attempt: identifier,
    /** Who drives the attempt and answers for what it holds. */
    owner: incarnationSchema,
    pool: identifier,
    model: identifier,
    /** Version that both engines must run, by `servedVersion` of the owner's view; any where left out. */
    version: identifier.optional(),
    adapter: identifier.optional(),
    organisation: identifier,
    /** The entry daemon's failure domain. */
    failureDomain: identifier,
    promptTokens: z.int().min(0),
    /** Most tokens of the answer, and what it will likely be. */
    maxTokens: z.int().min(1),
    expectedTokens: z.int().min(1),
    /** Chained hashes of the prompt's blocks, the longest prefix last. */
    prefixes: z.array(z.string()),
    /** Prompt tokens that one block of `prefixes` stands for. */
    blockTokens: z.int().min(1),
    priority: z.int(),
    /** Milliseconds left to the first token's target, and to the deadline of the whole answer, when sent. */
    firstTokenWithin: z.number(),
    deadlineWithin: z.number(),
    /** Tokens that the caller has already got from an earlier attempt. */
    alreadySent: z.int().min(0).default(0),
    /** Whether a second attempt is impossible once an engine ran anything: it gets no place that may prove to be taken. */
    once: z.boolean().default(false),
    /** Engines to avoid, because an earlier attempt failed on them. */
    avoid: z.array(identifier).default([]),
});

/** Engines reserved for an attempt, or its refusal. */
export const decisionSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("assigned"),
        attempt: identifier,
        prefill: identifier,
        decode: identifier,
        /** Fencing number of the scheduler's lease; 0 where an entry daemon chose alone. */
        fence: z.int().min(0),
        /** Prompt tokens expected to be found in the prefill engine's cache. */
        expectedReuse: z.int().min(0),
    }),
    z.object({ kind: z.literal("refused"), attempt: identifier, refusal: refusalSchema }),
]);

/** How an attempt gets on; it frees what is no longer held. */
export const progressSchema = z.object({
    attempt: identifier,
    stage: z.enum(["prefilling", "prefilled", "transferred", "firstToken", "finished", "cancelled", "failed"]),
    /** Tokens of the answer so far. */
    tokens: z.int().min(0).default(0),
    /** With `prefilled`: prompt tokens that the engine reports it reused. */
    reusedTokens: z.int().min(0).optional(),
    /** With `failed`: the engine that failed. */
    failedEngine: identifier.optional(),
});

/** What an entry daemon holds at engines; a new scheduler rebuilds itself from these. */
export const holdingSchema = z.object({
    demand: demandSchema,
    prefill: identifier,
    decode: identifier,
    stage: progressSchema.shape.stage,
    tokens: z.int().min(0),
});

/** Load reports that an entry daemon passes on to the scheduler. */
export const loadRelaySchema = z.array(loadReportSchema);

/** What an entry daemon asks a pool's scheduler for. */
export type Demand = z.infer<typeof demandSchema>;
/** Engines reserved for an attempt, or its refusal. */
export type Decision = z.infer<typeof decisionSchema>;
/** How an attempt gets on. */
export type Progress = z.infer<typeof progressSchema>;
/** What an entry daemon holds at engines. */
export type Holding = z.infer<typeof holdingSchema>;
