import { hashToFraction, type Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { LoopMonitor } from "./loopMonitor.js";
import { firstEventTimeout } from "./placementRequest.js";

/** Retry-After of a request that waited unread beyond its time, and the range over which callers' returns are spread. */
const minRetryAfterMilliseconds = 100;
const retryAfterSpreadMilliseconds = 300;
/** Cause of a request that is refused since its time passed while the event loop lagged. */
export const overdueCause = "its caller's time passed while this gateway's event loop lagged";

/** Counts a request that isn't sent because the event loop lagged. */
export function countUnsent(metrics: Metrics, cause: "callerGone" | "timeOver"): void {
    metrics.count("basilpaddle_requests_unsent_for_loop_lag_total", { cause });
}

/**
 * Ends a request that was read while the event loop lagged, if its caller has left or must have left by now; returns whether it did. It
 * has not run. Called before anything is spent on it.
 */
export async function refuseOverdue(loop: LoopMonitor, request: CallerRequest, metrics: Metrics): Promise<boolean> {
    await loop.processPending(() => request.checkDisconnected());
    if (request.checkDisconnected()) {
        countUnsent(metrics, "callerGone");
        return true;
    }
    if (!isOverdue(request)) {
        return false;
    }
    countUnsent(metrics, "timeOver");
    request.refuse(
        minRetryAfterMilliseconds + hashToFraction(request.attempt) * retryAfterSpreadMilliseconds,
        overdueCause,
    );
    return true;
}

function isOverdue(request: CallerRequest): boolean {
    const { route } = request;
    return request.remainingTime() <= 0 || route.prompts && request.age() >= firstEventTimeout(route);
}
