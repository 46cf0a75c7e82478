import { z } from "zod";
import { type Outcome, outcomes, type Refusal, type RefusalCode, refusalStatus } from "./refusal.js";

/** HTTP headers between callers and entry daemons, in lower case as Node.js provides them. */
export const callerHeaders = {
    key: "idempotency-key",
    /** `true` marks a request as non-idempotent; a caller can't override a route that is marked non-idempotent. */
    nonIdempotent: "basilpaddle-non-idempotent",
    /** Deadline for the whole answer in milliseconds; can only shorten that of the route. */
    deadline: "basilpaddle-deadline-ms",
    /** Set by the platform's load balancer. */
    organisation: "basilpaddle-organisation",
    requestId: "basilpaddle-request-id",
    outcome: "basilpaddle-outcome",
    /** `true` on an answer that is replayed from an earlier request with the same key. */
    replayed: "basilpaddle-replayed",
} as const;

/** Organisation of requests that don't name one. */
export const anonymousOrganisation = "anonymous";
/** Maximum number of answer tokens if the caller sets no limit. */
export const defaultMaxTokens = 1_024;
/** Highest value that a caller may set for the maximum number of answer tokens. */
export const maxTokensLimit = 131_072;

const maxTokens = z.int().min(1).max(maxTokensLimit).nullish();
const commonFields = {
    /** A model, or a model with one of its adapters as `model:adapter`. */
    model: z.string().min(1).max(255),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: maxTokens,
    n: z.literal(1, "only one choice per request is supported").nullish(),
    temperature: z.number().min(0).max(2).nullish(),
    top_p: z.number().min(0).max(1).nullish(),
    stop: z.union([z.string(), z.array(z.string()).max(16)]).nullish(),
    seed: z.int().nullish(),
};

/** Body of POST /v1/chat/completions. Additional fields are passed to the engine as sampling parameters. */
export const chatRequestSchema = z.looseObject({
    ...commonFields,
    messages: z.array(z.looseObject({
        role: z.enum(["system", "developer", "user", "assistant", "tool"]),
        content: z.union([
            z.string(),
            z.array(z.looseObject({ type: z.literal("text", "only text parts are supported"), text: z.string() })),
        ]),
    })).min(1),
    max_completion_tokens: maxTokens,
});

/** Body of POST /v1/completions. */
export const completionRequestSchema = z.looseObject({ ...commonFields, prompt: z.string() });

/** Names of outcomes in responses to callers. */
export const wireOutcomes: Readonly<Record<Outcome, string>> = {
    notRun: "not_run",
    failedAfterStarting: "failed_after_starting",
    unknown: "unknown",
};

/** Body of every error response. */
export const errorBodySchema = z.object({
    error: z.object({
        code: z.enum(Object.keys(refusalStatus) as [RefusalCode, ...RefusalCode[]]),
        outcome: z.enum(outcomes.map(outcome => wireOutcomes[outcome]) as [string, ...string[]]),
        message: z.string(),
        /** Seconds after which a retry may succeed. */
        retry_after: z.number().min(0).optional(),
        request_id: z.string().optional(),
    }),
});

/** Body of POST /v1/chat/completions. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
/** Body of POST /v1/completions. */
export type CompletionRequest = z.infer<typeof completionRequestSchema>;
/** Body of every error response. */
export type ErrorBody = z.infer<typeof errorBodySchema>;

/** Creates the error response body for a refusal. */
export function errorBody(refusal: Refusal, requestId: string | undefined): ErrorBody {
    return {
        error: {
            code: refusal.code,
            outcome: wireOutcomes[refusal.outcome],
            message: refusal.message,
            retry_after: refusal.retryAfter === undefined ? undefined : refusal.retryAfter / 1_000,
            request_id: requestId,
        },
    };
}
