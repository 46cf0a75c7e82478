import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { LastRequest } from "./openRequests.js";

/** Logs when the signal to stop may have come at the earliest, and by how many milliseconds the event loop was late at most before. */
export function logStop(
    { logger, metrics, clock }: { readonly logger: Logger; readonly metrics: Metrics; readonly clock: Clock; },
    signalledAt: number,
    lateness: number,
): void {
    const signalledWithin = Math.round(clock.monotonic() - signalledAt);
    metrics.gauge("basilpaddle_stop_signal_age_milliseconds", signalledWithin);
    logger.info("the grace period begins", { signalledWithin, lateness: Math.round(lateness) });
}

/**
 * Logs and counts the requests that were open when the grace period was over. `duration`: milliseconds that it took; `lateness`:
 * milliseconds by which the event loop was late at most meanwhile.
 */
export function logLastRequests(
    { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics; },
    requests: readonly LastRequest[],
    { duration, lateness }: { readonly duration: number; readonly lateness: number; },
): void {
    const after = Math.round(duration);
    const cut = requests.filter(({ answered }) => !answered).length;
    logger.info("closing", { open: requests.length, cut, after, lateness: Math.round(lateness) });
    requests.forEach(request => {
        const { phase, end } = request;
        metrics.count("basilpaddle_requests_ended_by_shutdown_total", { phase, end });
        // Milliseconds from the start of the shutdown until the request was read; less than 0 if it was read before.
        logger.warn("the shutdown ended a request", { ...request, readAfter: after - request.age });
    });
}
