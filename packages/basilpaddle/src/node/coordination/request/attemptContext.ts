import type { Refusal, RefusalCode } from "../../protocol/index.js";
import type { Answer, EndReason } from "./answer.js";
import type { GenerationRequest } from "./generationRequest.js";
import type { Lifecycle } from "./lifecycle.js";
import type { OutcomeTracker } from "./outcomeTracker.js";
import type { RequestDependencies } from "./requestDependencies.js";
import type { RequestScope } from "./scope.js";

/** How an attempt ended. */
export type AttemptEnd =
    | { readonly kind: "answered"; readonly reason: EndReason; }
    /** The whole request was stopped: see `StopReason`. */
    | { readonly kind: "stopped"; }
    /** No engines were assigned. */
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | {
        readonly kind: "failed";
        readonly code: RefusalCode;
        readonly message: string;
        /** The engine that the next attempt avoids; undefined if another attempt can't help. */
        readonly engine: string | undefined;
        /** Why a healthy decode engine rejected the import: it has no free slot, or the prefill's result was evicted. */
        readonly benignRefusal?: "full" | "evicted";
    };

/** State that all attempts of one request share. */
export type AttemptContext = {
    readonly options: RequestDependencies;
    readonly request: GenerationRequest;
    readonly answer: Answer;
    readonly scope: RequestScope;
    readonly lifecycle: Lifecycle;
    readonly outcomeTracker: OutcomeTracker;
    /** Tokens written to the caller so far, by all attempts. */
    readonly written: { tokens: number; promptTokens: number; firstTokenAt: number | undefined; lastTokenAt: number; };
};
