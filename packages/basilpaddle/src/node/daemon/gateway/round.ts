import type { PlacementOutcome } from "../../protocol/index.js";
import type { HeldPrompt } from "./heldPrompt.js";

/** How a round of a request ended: a placement, a prefill and a run. */
export type RoundEnd =
    /** The request has been answered, or its caller is gone. */
    | { readonly kind: "over"; }
    /** Nothing was answered; another round may follow. */
    | { readonly kind: "again"; }
    /** No further round is possible now. `comeBackIn`: milliseconds. */
    | { readonly kind: "refused"; readonly comeBackIn: number; readonly cause: string; }
    /** A run was lost, and none may follow. */
    | { readonly kind: "failed"; readonly status: 502 | 504; readonly cause: string; };

/** A round that is played while an earlier run is silent. */
export type SuccessorRound = {
    /** Ends the round: the earlier run was heard again, or the request has ended. */
    readonly signal: AbortSignal;
    /** Whether the earlier run goes on. */
    readonly isOpen: () => boolean;
    /** Called when another engine is sent the request: one of the two runs ends soon after. */
    readonly hasBegun: () => void;
    /** Ends the earlier run once another engine answers; resolves to false if that one is heard again, or has answered whole. */
    readonly takeOver: () => Promise<boolean>;
};

/** One round. `placement`: identifier of its placement. `successor`: what it continues, if an earlier run is silent. */
export type Round = {
    readonly placement: string;
    readonly signal: AbortSignal;
    readonly successor: SuccessorRound | undefined;
    /** What is left of its prompt at a prefill engine, for the next round beside the same run. */
    readonly prompt: HeldPrompt;
};

/** What to report on the placement's release, and how the round ended, which may take as long as a run that continues its own. */
export type RoundResult = { readonly outcome: PlacementOutcome; readonly end: RoundEnd | Promise<RoundEnd>; };
