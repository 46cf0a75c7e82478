import { type CrashWatch, describeCrashes, quarantineReason } from "../../coordination/index.js";
import type { Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";

/**
 * Turns a request away, or ends it where it has run, if backend servers ended under it. To be asked before each sending,
 * as early as it can be: nothing is spent on a request that must not run. Tells whether it did.
 */
export function refuseHeld(
    { crashes, metrics }: { readonly crashes: CrashWatch; readonly metrics: Metrics; },
    request: CallerRequest,
    hasRun: boolean,
    trace: string[],
): boolean {
    const hold = crashes.hold(request);
    if (hold === undefined) {
        return false;
    }
    metrics.count("basilpaddle_held_back_refusals_total");
    trace.push(`heldBack (${describeCrashes(hold.crashes).join(", ")})`);
    if (hasRun || request.hasBegun()) {
        request.fail(502, quarantineReason);
    }
    else {
        request.refuse(hold.left, quarantineReason);
    }
    return true;
}
