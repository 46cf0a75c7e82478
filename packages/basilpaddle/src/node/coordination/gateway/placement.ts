import type { PlacementDecision, PlacementRequest } from "../../protocol/index.js";
import type { EnginePair } from "./enginePool.js";

/** A request with the engines that were granted to it, until its run has ended. */
export type Placement = EnginePair & {
    readonly request: PlacementRequest;
    readonly placedAt: number;
    /** Expected milliseconds of the prefill, sent to the gateway. */
    readonly readingWithin?: number;
    isPrefilled: boolean;
};

/** The decision that tells a gateway of a placement. */
export function placedDecision(placement: Placement): PlacementDecision {
    const { request, prefill, decode, readingWithin } = placement;
    return { kind: "placed", attempt: request.attempt, prefill, decode, readingWithin };
}
