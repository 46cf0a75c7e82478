import type { Decision, Demand, RefusalCode } from "../../protocol/index.js";

/** Creates the refusal of a scheduling request for which nothing was started. `retryAfter` is in milliseconds. */
export function refuse(
    request: Demand,
    code: RefusalCode,
    message: string,
    retryAfter: number | undefined,
): Decision {
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
