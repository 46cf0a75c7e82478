import type { SchedulingRequest } from "../../protocol/index.js";
import type { AttemptContext } from "./attemptContext.js";

/** Builds the scheduling request of an attempt. Its time limits are the milliseconds that remain of them now. */
export function schedulingRequestOf(
    context: AttemptContext,
    attempt: string,
    avoid: readonly string[],
): SchedulingRequest {
    const { options, request, written } = context;
    const now = options.clock.monotonic();
    return {
        attempt,
        owner: options.control.session(),
        pool: request.pool,
        model: request.generation.model,
        version: request.generation.version,
        adapter: request.generation.adapter,
        organisation: request.organisation,
        failureDomain: options.failureDomain,
        promptTokens: request.promptTokens,
        maxTokens: request.generation.maxTokens,
        expectedTokens: request.expectedTokens,
        prefixes: [...request.prefixes],
        blockTokens: request.blockTokens,
        priority: request.generation.priority,
        firstTokenWithin: request.targets.firstToken - (now - request.receivedAt),
        deadlineWithin: request.deadlineAt - now,
        alreadySent: written.tokens,
        once: request.run !== undefined,
        avoid: [...avoid, ...options.leavingBackends.leavingInPool(options.control.view(), request.pool)],
    };
}
