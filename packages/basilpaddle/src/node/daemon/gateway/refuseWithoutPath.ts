import { hashToFraction } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { endUnserved, type Refusal } from "./refusal.js";
import type { ServerPaths } from "./serverPaths.js";

/** Minimum Retry-After of a gateway without a path to backend servers, and the range over which callers' returns are spread. */
const minRetryAfterMilliseconds = 300;
const retryAfterSpreadMilliseconds = 700;
/** Cause of a request that is refused because no path leads to the backend servers. */
const noPathCause = "this gateway reaches no backend server, and no relay helps";

/** Why a request can't be sent while no path leads to backend servers; undefined if one does. */
export function pathRefusal(paths: ServerPaths, request: CallerRequest): Refusal | undefined {
    if (!paths.hasNoPath()) {
        return undefined;
    }
    const spread = hashToFraction(request.attempt) * retryAfterSpreadMilliseconds;
    return { comeBackIn: minRetryAfterMilliseconds + spread, cause: noPathCause };
}

/** Refuses a request at once, or fails it if it has already run, while no path leads to backend servers; returns whether it did. */
export function refuseWithoutPath(paths: ServerPaths, request: CallerRequest, hasRun: boolean): boolean {
    const refusal = pathRefusal(paths, request);
    if (refusal !== undefined) {
        endUnserved(request, hasRun, refusal);
    }
    return refusal !== undefined;
}
