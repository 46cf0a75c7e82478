import type { Generation, KeptAnswer, Refusal } from "../../protocol/index.js";
import type { RunIdentity } from "./run.js";

/** A model request, checked and resolved against the configuration. */
export type Work = {
    readonly requestId: string;
    readonly pool: string;
    readonly organisation: string;
    /** Names what it holds, as `digestOf` does: the same whenever the same request comes. */
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
    /** Only of a non-idempotent request: it runs at most once. */
    readonly run: RunIdentity | undefined;
};

/** How a request ended. */
export type RequestEnd =
    | { readonly kind: "finished"; readonly tokens: number; }
    | { readonly kind: "replayed"; readonly answer: KeptAnswer; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };
