import { hashToFraction } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ServerPaths } from "./serverPaths.js";

/** Retry-After of a gateway that reaches no backend server, spread so that callers don't return together. */
const minRetryAfterMilliseconds = 300;
const retryAfterSpreadMilliseconds = 700;
/** Cause of a request that is refused because no path leads to the backend servers. */
const cutOffCause = "this gateway reaches no backend server, and no relay helps";

/** Refuses a request at once, or fails it if it has already run, while no path leads to backend servers; returns whether it did. */
export function refuseCutOff(paths: ServerPaths, request: CallerRequest, hasRun: boolean): boolean {
    if (!paths.isCutOff()) {
        return false;
    }
    if (hasRun || request.hasAnswerBegun()) {
        request.fail(502, cutOffCause);
    }
    else {
        const spread = hashToFraction(request.attempt) * retryAfterSpreadMilliseconds;
        request.refuse(minRetryAfterMilliseconds + spread, cutOffCause);
    }
    return true;
}
