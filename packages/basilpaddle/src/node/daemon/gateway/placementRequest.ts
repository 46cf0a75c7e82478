import type { LinkStalls, PlacementRequest, TrafficRoute } from "../../protocol/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** How long a caller waits for the first event, as a multiple of its target, and the minimum of that time. */
const firstEventTimeoutFactor = 4;
const minFirstEventTimeoutMilliseconds = 2_000;
/**
 * How long a caller waits for the next event of an answer that has begun. Measured from the request's arrival, the timeout of
 * a run that is lost after some seconds would already have expired, and its stream would be cut off instead of resumed.
 */
const nextEventTimeoutMilliseconds = 2_000;
/** Expected length of an answer, as a fraction of its token limit, if the caller gives no estimate. */
const expectedAnswerFraction = 0.6;

/** Milliseconds for which a caller waits for the first event of a stream. */
export function firstEventTimeout({ target }: Pick<TrafficRoute, "target">): number {
    return Math.max(minFirstEventTimeoutMilliseconds, firstEventTimeoutFactor * target);
}

const newStream = { resumed: false, version: undefined };

/**
 * Builds a placement request: the KV cache for the prompt and the answer, the target, and how long the caller will wait.
 * `stream`: whether it continues a stream, and the software version that has to run it. `isPrioritised`: whether requests
 * of different priorities compete for the service's engines.
 */
export function placementRequest(
    request: CallerRequest,
    service: string,
    gateway: { readonly name: string; readonly failureDomain: string; },
    avoid: readonly string[],
    linkStalls: LinkStalls = [],
    stream: { readonly resumed: boolean; readonly version: string | undefined; } = newStream,
    isPrioritised = false,
): PlacementRequest {
    const { metadata, route } = request;
    const answer = Math.min(
        metadata.maxTokens,
        metadata.expectedTokens ?? Math.ceil(metadata.maxTokens * expectedAnswerFraction),
    );
    const timeout = request.hasAnswerBegun()
        ? nextEventTimeoutMilliseconds
        : firstEventTimeout(route) - request.age();
    return {
        attempt: request.attempt,
        gateway: gateway.name,
        service,
        failureDomain: gateway.failureDomain,
        promptTokens: metadata.promptTokens,
        cacheTokens: metadata.promptTokens + answer,
        priority: request.priority,
        targetWithin: route.target - request.age(),
        patienceWithin: Math.min(request.remainingTime(), timeout),
        avoid: [...avoid],
        resumed: stream.resumed || request.hasAnswerBegun(),
        ...stream.version === undefined ? {} : { version: stream.version },
        ...isPrioritised
            ? { organisation: request.identity.organisation?.name, deadlineWithin: request.remainingTime() }
            : {},
        ...linkStalls.length === 0 ? {} : { linkStalls },
        ...route.gap === undefined ? {} : { gap: route.gap },
        finishWithin: request.remainingTime(),
        content: request.digest,
    };
}
