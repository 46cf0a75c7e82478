import { z } from "zod";
import { identifierSchema } from "./identity.js";

/** Paths of an engine's HTTP interface, relative to its announced `url`. */
export const enginePath = {
    prefill: "/engine/v1/prefill",
    import: "/engine/v1/import",
    decode: "/engine/v1/decode",
    cancel: "/engine/v1/cancel",
    order: "/engine/v1/order",
    state: "/engine/v1/state",
    load: "/engine/v1/load",
} as const;

/** HTTP statuses with which an engine's refusal is accepted as proof that nothing was run. */
export const engineRefusalStatuses: ReadonlySet<number> = new Set([409, 429, 503]);

/** Generation parameters of a run on an engine. */
export const generationSchema = z.object({
    model: identifierSchema,
    /** Version to run; any warm version if omitted. Must be the same for prefill and decode of one attempt. */
    version: identifierSchema.optional(),
    adapter: identifierSchema.optional(),
    /** The whole prompt as text; the entry daemon joins chat messages. */
    prompt: z.string(),
    /** Maximum number of answer tokens. */
    maxTokens: z.int().min(1),
    /** Lower values run first if the engine supports priorities. */
    priority: z.int().default(100),
    /** Sampling parameters, passed through unchanged. */
    sampling: z.record(z.string(), z.unknown()).default({}),
});

/** POST /engine/v1/prefill */
export const prefillRequestSchema = z.object({ attempt: identifierSchema, generation: generationSchema });
/** Answer to a prefill, sent when it has completed. The result may be evicted within a second. */
export const prefillAnswerSchema = z.object({
    /** Identifies the exported KV cache on that engine. */
    handle: identifierSchema,
    promptTokens: z.int().min(0),
    /** Prompt tokens reused from the prefix cache. */
    reusedTokens: z.int().min(0).default(0),
    bytes: z.int().min(0),
});

/** POST /engine/v1/import: the decode engine fetches the KV cache from the prefill engine. */
export const importRequestSchema = z.object({
    attempt: identifierSchema,
    source: z.object({ url: z.url(), handle: identifierSchema }),
    generation: generationSchema,
});
/** Answer to an import, sent when the cache is transferred and a slot reserved. */
export const importAnswerSchema = z.object({ bytes: z.int().min(0) });

/** POST /engine/v1/decode: answers with one JSON object per line. Offset 0 starts decoding; a higher offset resumes it. */
export const decodeRequestSchema = z.object({ attempt: identifierSchema, offset: z.int().min(0).default(0) });
/** A line of the decode stream. */
export const decodeLineSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("token"), offset: z.int().min(0), text: z.string() }),
    z.object({ kind: z.literal("end"), offset: z.int().min(0), reason: z.enum(["stop", "length"]) }),
    z.object({ kind: z.literal("error"), message: z.string() }),
]);

/** POST /engine/v1/cancel: releases all resources allocated to the attempt; idempotent. */
export const cancelRequestSchema = z.object({ attempt: identifierSchema });
/** `released` is also true if the engine never knew the attempt. */
export const cancelAnswerSchema = z.object({ released: z.boolean() });

/** An order to an engine. */
export const orderSchema = z.discriminatedUnion("action", [
    z.object({
        action: z.literal("load"),
        model: identifierSchema,
        version: identifierSchema,
        adapters: z.array(identifierSchema),
    }),
    z.object({ action: z.literal("unload"), model: identifierSchema, version: identifierSchema }),
    z.object({ action: z.literal("changeRole"), role: z.enum(["prefill", "decode"]) }),
]);
/** POST /engine/v1/order */
export const orderRequestSchema = z.object({ orderId: identifierSchema, fence: z.int().min(0), order: orderSchema });
/** `refused`: the fencing token is older than one that the engine has seen, or the order can't be executed. */
export const orderAnswerSchema = z.object({
    outcome: z.enum(["done", "started", "refused"]),
    highestFence: z.int().min(0),
    message: z.string().default(""),
});

/** GET /engine/v1/state: role, models and active attempts of an engine, read before the first order of a new lease holder. */
export const engineStateSchema = z.object({
    id: identifierSchema,
    incarnation: z.int().min(0),
    role: z.enum(["prefill", "decode"]),
    models: z.array(z.object({
        name: identifierSchema,
        version: identifierSchema,
        adapters: z.array(identifierSchema).default([]),
        phase: z.enum(["loading", "warm", "unloading"]),
        /** Adapters being loaded for a warm version, which continues to serve requests. */
        loadingAdapters: z.array(identifierSchema).default([]),
    })),
    highestFence: z.int().min(0),
    active: z.array(identifierSchema),
});

/** Body of an answer with status 409, 429 or 503: the engine didn't run the request and has allocated nothing to it. */
export const engineRefusalSchema = z.object({
    /** Always true; its presence is the proof that nothing was run. */
    notRun: z.literal(true),
    code: z.enum(["full", "unknownModel", "leaving", "evicted", "fence", "badRequest"]),
    message: z.string(),
});

/** Generation parameters of a run on an engine. */
export type Generation = z.infer<typeof generationSchema>;
/** Answer to a prefill. */
export type PrefillAnswer = z.infer<typeof prefillAnswerSchema>;
/** A line of the decode stream. */
export type DecodeLine = z.infer<typeof decodeLineSchema>;
/** An order to an engine. */
export type Order = z.infer<typeof orderSchema>;
/** Answer to an order. */
export type OrderAnswer = z.infer<typeof orderAnswerSchema>;
/** Role, models and active attempts of an engine. */
export type EngineState = z.infer<typeof engineStateSchema>;
/** A refusal that proves that nothing was run. */
export type EngineRefusal = z.infer<typeof engineRefusalSchema>;
