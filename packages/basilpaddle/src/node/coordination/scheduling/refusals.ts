import type { RefusalCode, SchedulingDecision, SchedulingRequest } from "../../protocol/index.js";

/** Creates the refusal of a scheduling request for which nothing was started. `retryAfter` is in milliseconds. */
export function refuse(
    request: SchedulingRequest,
    code: RefusalCode,
    message: string,
    retryAfter: number | undefined,
): SchedulingDecision {
    return {
        kind: "refused",
        attempt: request.attempt,
        refusal: {
            code,
            outcome: "notRun",
            message,
            ...retryAfter === undefined ? {} : { retryAfter: Math.max(1, Math.round(retryAfter)) },
        },
    };
}
