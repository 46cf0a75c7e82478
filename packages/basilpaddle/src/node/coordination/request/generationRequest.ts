import type { Generation, Refusal, StoredAnswer } from "../../protocol/index.js";
import type { RunIdentity } from "./run.js";

/** A model request, validated and resolved against the configuration. */
export type GenerationRequest = {
    readonly requestId: string;
    readonly pool: string;
    readonly organisation: string;
    /** Digest of the request's content, as computed by `digestOf`: identical requests have the same digest. */
    readonly digest: string;
    readonly generation: Generation;
    readonly promptTokens: number;
    readonly prefixes: readonly string[];
    readonly blockTokens: number;
    readonly expectedTokens: number;
    /** Monotonic milliseconds. */
    readonly receivedAt: number;
    readonly deadlineAt: number;
    readonly targets: { readonly firstToken: number; readonly perToken: number; };
    /** Set only for a non-idempotent request, which runs at most once. */
    readonly run: RunIdentity | undefined;
};

/** How a request ended. */
export type RequestEnd =
    | { readonly kind: "finished"; readonly tokens: number; }
    | { readonly kind: "replayed"; readonly answer: StoredAnswer; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };
