import type { LinkStalls, PlaceDemand } from "../../protocol/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** Times its target that a caller waits for the first event before it leaves, and the least such time in milliseconds. */
const patienceFactor = 4;
const leastPatience = 2_000;
/**
 * Milliseconds that a caller waits for the next event of an answer that has begun. Counted from the request's arrival, a
 * run that was lost after some seconds would have no time left to go on elsewhere, and its stream would be cut.
 */
const gapPatience = 2_000;
/** Part of the most tokens of an answer that is expected where its caller gives no guess. */
const usualAnswerPart = 0.6;

/** What a request needs of a pool: room for its prompt and its answer, and how long its caller waits for it. */
export function placeDemand(
    request: CallerRequest,
    service: string,
    gateway: { readonly name: string; readonly failureDomain: string; },
    avoid: readonly string[],
    linkStalls: LinkStalls = [],
): PlaceDemand {
    const { facts, route } = request;
    const answer = Math.min(facts.maxTokens, facts.expectedTokens ?? Math.ceil(facts.maxTokens * usualAnswerPart));
    const patience = request.hasBegun()
        ? gapPatience
        : Math.max(leastPatience, patienceFactor * route.target) - request.age();
    return {
        attempt: request.attempt,
        gateway: gateway.name,
        service,
        failureDomain: gateway.failureDomain,
        promptTokens: facts.promptTokens,
        cacheTokens: facts.promptTokens + answer,
        priority: route.priority,
        targetWithin: route.target - request.age(),
        patienceWithin: Math.min(request.left(), patience),
        avoid: [...avoid],
        resumed: request.hasBegun(),
        ...linkStalls.length === 0 ? {} : { linkStalls },
    };
}
