import type { LinkStalls, PlacementRequest } from "../../protocol/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** How long a caller waits for the first event, as a multiple of its target, and the minimum of that time. */
const firstEventTimeoutFactor = 4;
const minFirstEventTimeoutMilliseconds = 2_000;
/**
 * How long a caller waits for the next event of an answer that has begun. If the time counted from the request's arrival, a
 * run that was lost after some seconds would have no time left to resume on another engine, and its stream would be cut.
 */
const nextEventTimeoutMilliseconds = 2_000;
/** Expected length of an answer, as a fraction of its token limit, if the caller gives no estimate. */
const expectedAnswerFraction = 0.6;

/** A request's demand on a pool: KV cache for its prompt and answer, its target, and how long its caller will wait. */
export function placementRequest(
    request: CallerRequest,
    service: string,
    gateway: { readonly name: string; readonly failureDomain: string; },
    avoid: readonly string[],
    linkStalls: LinkStalls = [],
): PlacementRequest {
    const { facts, route } = request;
    const answer = Math.min(
        facts.maxTokens,
        facts.expectedTokens ?? Math.ceil(facts.maxTokens * expectedAnswerFraction),
    );
    const timeout = request.hasBegun()
        ? nextEventTimeoutMilliseconds
        : Math.max(minFirstEventTimeoutMilliseconds, firstEventTimeoutFactor * route.target) - request.age();
    return {
        attempt: request.attempt,
        gateway: gateway.name,
        service,
        failureDomain: gateway.failureDomain,
        promptTokens: facts.promptTokens,
        cacheTokens: facts.promptTokens + answer,
        priority: route.priority,
        targetWithin: route.target - request.age(),
        patienceWithin: Math.min(request.left(), timeout),
        avoid: [...avoid],
        resumed: request.hasBegun(),
        ...linkStalls.length === 0 ? {} : { linkStalls },
    };
}
