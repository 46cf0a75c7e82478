/** Result of a run at a decode engine. */
export type RunEnd =
    | { readonly kind: "done"; }
    /** It didn't run there; the prompt's KV cache may still exist. */
    | {
        readonly kind: "turnedAway";
        readonly cause: string;
        readonly unreachable: boolean;
        readonly lostOnPath: boolean;
    }
    /** It ran, or may have, and was cut off. */
    | { readonly kind: "lost"; readonly cause: string; }
    /** The engine answered with an error, which was forwarded. */
    | { readonly kind: "failureGiven"; };
