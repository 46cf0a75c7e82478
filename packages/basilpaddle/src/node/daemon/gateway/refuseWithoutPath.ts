import { hashToFraction } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ServerPaths } from "./serverPaths.js";

/** Minimum Retry-After of a gateway without a path to backend servers, and the range over which callers' returns are spread. */
const minRetryAfterMilliseconds = 300;
const retryAfterSpreadMilliseconds = 700;
/** Cause of a request that is refused because no path leads to the backend servers. */
const noPathCause = "this gateway reaches no backend server, and no relay helps";

/** Refuses a request at once, or fails it if it has already run, while no path leads to backend servers; returns whether it did. */
export function refuseWithoutPath(paths: ServerPaths, request: CallerRequest, hasRun: boolean): boolean {
    if (!paths.hasNoPath()) {
        return false;
    }
    if (hasRun || request.hasAnswerBegun()) {
        request.fail(502, noPathCause);
    }
    else {
        const spread = hashToFraction(request.attempt) * retryAfterSpreadMilliseconds;
        request.refuse(minRetryAfterMilliseconds + spread, noPathCause);
    }
    return true;
}
