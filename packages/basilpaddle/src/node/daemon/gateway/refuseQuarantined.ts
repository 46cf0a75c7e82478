import { type CrashDetector, describeCrashes, isPromptPartName, quarantineReason } from "../../coordination/index.js";
import type { Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";

/**
 * Refuses a quarantined request, or fails it if it has already run; returns whether it did. Call it before each send and as
 * early as possible, so that no work is spent on a request that must not run.
 */
export function refuseQuarantined(
    { crashes, metrics }: { readonly crashes: CrashDetector; readonly metrics: Metrics; },
    request: CallerRequest,
    hasRun: boolean,
    trace: string[],
): boolean {
    const quarantine = crashes.quarantineStatus(request);
    if (quarantine === undefined) {
        return false;
    }
    metrics.count("basilpaddle_held_back_refusals_total");
    const { digest, crashes: countedCrashes, left } = quarantine;
    const part = isPromptPartName(digest) ? [digest] : [];
    trace.push(`heldBack (${[...part, ...describeCrashes(countedCrashes)].join(", ")})`);
    if (hasRun || request.hasAnswerBegun()) {
        request.fail(502, quarantineReason(digest));
    }
    else {
        request.refuse(left, quarantineReason(digest));
    }
    return true;
}
