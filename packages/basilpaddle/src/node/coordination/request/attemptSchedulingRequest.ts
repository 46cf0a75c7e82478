import type { SchedulingRequest } from "../../protocol/index.js";
import type { AttemptContext } from "./attemptContext.js";

/** Builds the scheduling request of an attempt. Its time limits are what remains of them now, in milliseconds. */
export function schedulingRequestOf(
    context: AttemptContext,
    attempt: string,
    avoid: readonly string[],
): SchedulingRequest {
    const { parts, work, written } = context;
    const now = parts.clock.monotonic();
    return {
        attempt,
        owner: parts.control.session(),
        pool: work.pool,
        model: work.generation.model,
        version: work.generation.version,
        adapter: work.generation.adapter,
        organisation: work.organisation,
        failureDomain: parts.failureDomain,
        promptTokens: work.promptTokens,
        maxTokens: work.generation.maxTokens,
        expectedTokens: work.expectedTokens,
        prefixes: [...work.prefixes],
        blockTokens: work.blockTokens,
        priority: work.generation.priority,
        firstTokenWithin: work.targets.firstToken - (now - work.receivedAt),
        deadlineWithin: work.deadlineAt - now,
        alreadySent: written.tokens,
        once: work.run !== undefined,
        avoid: [...avoid, ...parts.marks.leavingInPool(parts.control.view(), work.pool)],
    };
}
