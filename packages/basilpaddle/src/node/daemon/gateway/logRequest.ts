import { loggedPromptParts } from "../../coordination/index.js";
import type { Logger, Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** Counts a request that has ended, and logs it. `path`: its steps; `version`: that of the configuration in force. */
export function logRequest(
    { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics; },
    request: CallerRequest,
    path: readonly string[],
    version: number,
): void {
    const outcome = request.outcome();
    const milliseconds = Math.round(request.age());
    const { route } = request;
    const labels = { kind: route.kind, outcome: outcome?.end ?? "open" };
    metrics.count("basilpaddle_requests_total", labels);
    metrics.observe("basilpaddle_request_milliseconds", milliseconds, labels);
    if (outcome?.end === "brokenOff") {
        // A message of its own: where many requests end at once, lines of the message below are dropped.
        logger.warn("an answer was broken off", {
            request: request.attempt,
            route: route.name,
            cause: outcome.cause,
            milliseconds,
            path,
        });
    }
    logger.info("request", {
        request: request.attempt,
        content: request.digest,
        promptParts: loggedPromptParts(request.promptParts),
        route: route.name,
        organisation: request.identity.organisation?.name,
        charge: request.charge,
        configuration: version,
        ...outcome,
        milliseconds,
        path: request.unreadFor > 0 ? [`unread ${Math.round(request.unreadFor)}`, ...path] : path,
    });
}
