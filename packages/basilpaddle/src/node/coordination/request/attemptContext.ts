import type { Refusal, RefusalCode } from "../../protocol/index.js";
import type { Answer, EndReason } from "./answer.js";
import type { Lifecycle } from "./lifecycle.js";
import type { RequestParts } from "./parts.js";
import type { RequestScope } from "./scope.js";
import type { Trace } from "./trace.js";
import type { Work } from "./work.js";

/** How an attempt ended. */
export type AttemptEnd =
    | { readonly kind: "answered"; readonly reason: EndReason; }
    /** The request itself was stopped. */
    | { readonly kind: "stopped"; }
    /** No engines were to be had. */
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | {
        readonly kind: "failed";
        readonly code: RefusalCode;
        readonly message: string;
        /** The engine to avoid next time; none where another attempt can't help. */
        readonly engine: string | undefined;
        /** What a decode engine proved that is no fault of its own: it has no free slot, or the prefill's result is gone. */
        readonly proof?: "full" | "evicted";
    };

/** What the attempts of one request share. */
export type AttemptContext = {
    readonly parts: RequestParts;
    readonly work: Work;
    readonly answer: Answer;
    readonly scope: RequestScope;
    readonly lifecycle: Lifecycle;
    readonly trace: Trace;
    /** Tokens written to the caller so far, by all attempts. */
    readonly written: { tokens: number; promptTokens: number; firstAt: number | undefined; lastAt: number; };
};
