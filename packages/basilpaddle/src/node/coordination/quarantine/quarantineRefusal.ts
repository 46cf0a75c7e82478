import type { Refusal } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { CrashDetector, RequestAttempt } from "./crashDetector.js";
import { isPromptPartName } from "./promptPart.js";
import { describeCrashes } from "./quarantinedRequests.js";

/** The reason that callers receive and that loss reports match. `digest`: what is quarantined, the request or a part of its prompt. */
export function quarantineReason(digest: string): string {
    const suspect = isPromptPartName(digest) ? "a part of this prompt" : "this request";
    return `backend servers ended under ${suspect}; it is held back`;
}

/**
 * The refusal of a quarantined request, with the time until it may be sent; undefined if it may be sent now. Check it
 * before each send, since other daemons may have reported crashes in the meantime.
 */
export function quarantineRefusal(
    crashes: CrashDetector,
    requestAttempt: RequestAttempt,
    logger: Logger,
): Refusal | undefined {
    const status = crashes.quarantineStatus(requestAttempt);
    if (status === undefined) {
        return undefined;
    }
    logger.info("refused a quarantined request", {
        request: requestAttempt.attempt,
        content: status.digest,
        crashes: describeCrashes(status.crashes),
    });
    return {
        code: "heldBack",
        outcome: "notRun",
        message: quarantineReason(status.digest),
        retryAfter: Math.ceil(status.left),
    };
}
