import { type CrashDetector, describeCrashes, isPromptPartName, quarantineReason } from "../../coordination/index.js";
import type { Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { endUnserved, type Refusal } from "./refusal.js";

/**
 * Why a quarantined request must not run, undefined if it isn't quarantined. Ask before each send and as early as possible, so that no work
 * is spent on a request that must not run.
 */
export function quarantineRefusal(
    { crashes, metrics }: { readonly crashes: CrashDetector; readonly metrics: Metrics; },
    request: CallerRequest,
    trace: string[],
): Refusal | undefined {
    const quarantine = crashes.quarantineStatus(request);
    if (quarantine === undefined) {
        return undefined;
    }
    metrics.count("basilpaddle_held_back_refusals_total");
    const { digest, crashes: countedCrashes, left } = quarantine;
    const part = isPromptPartName(digest) ? [digest] : [];
    trace.push(`heldBack (${[...part, ...describeCrashes(countedCrashes)].join(", ")})`);
    return { comeBackIn: left, cause: quarantineReason(digest) };
}

/** Refuses a quarantined request, or fails it if it has already run; returns whether it did. */
export function refuseQuarantined(
    options: Parameters<typeof quarantineRefusal>[0],
    request: CallerRequest,
    hasRun: boolean,
    trace: string[],
): boolean {
    const refusal = quarantineRefusal(options, request, trace);
    if (refusal !== undefined) {
        endUnserved(request, hasRun, refusal);
    }
    return refusal !== undefined;
}
