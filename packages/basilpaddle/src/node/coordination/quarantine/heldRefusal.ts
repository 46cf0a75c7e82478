import type { Refusal } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { Arrived, CrashWatch } from "./crashWatch.js";
import { crashTexts } from "./heldRequests.js";

/** The reason that callers are given, and that accounts of losses show. */
export const heldReason = "backend servers ended under this request; it is held back";

/**
 * Why a request may not be sent to any backend server now, with the time until it may; undefined where it may. To be asked
 * before each sending, since other daemons learn of crashes meanwhile.
 */
export function heldRefusal(crashes: CrashWatch, arrived: Arrived, logger: Logger): Refusal | undefined {
    const hold = crashes.hold(arrived);
    if (hold === undefined) {
        return undefined;
    }
    logger.info("a request was refused since backend servers ended under it", {
        request: arrived.attempt,
        content: arrived.digest,
        crashes: crashTexts(hold.crashes),
    });
    return { code: "heldBack", outcome: "notRun", message: heldReason, retryAfter: Math.ceil(hold.left) };
}
