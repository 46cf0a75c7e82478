import type { RequestDependencies } from "./requestDependencies.js";
import { pause } from "./scope.js";

/** Maximum wait for engines that are in the scheduler's view but not yet in this daemon's view. */
const maxViewLagMilliseconds = 1_000;
/** Maximum wait for the confirmation of the view, which an election of control daemons delays. */
const maxElectionMilliseconds = 1_000;
/** Interval at which the confirmation is polled. */
const confirmationPollMilliseconds = 25;

type ViewWaitOptions = Pick<RequestDependencies, "clock" | "control">;

/**
 * Waits until the view contains the engines. The wait is bounded: if the view is newer than the scheduler's, the engines may
 * have been removed already.
 */
export async function waitForEngines(
    { control, clock }: ViewWaitOptions,
    ids: readonly string[],
    signal: AbortSignal,
): Promise<void> {
    const isAnyMissing = (): boolean => ids.some(id => (control.view().backends[id]?.state ?? "gone") === "gone");
    if (!isAnyMissing()) {
        return;
    }
    const foundController = new AbortController();
    const unsubscribe = control.onView(() => {
        if (!isAnyMissing()) {
            foundController.abort();
        }
    });
    await pause(clock, maxViewLagMilliseconds, AbortSignal.any([foundController.signal, signal]));
    unsubscribe();
}

/** Waits until this daemon's view is confirmed, for at most `maxElectionMilliseconds`. Returns whether it is confirmed. */
export async function waitForConfirmedView({ control, clock }: ViewWaitOptions, signal: AbortSignal): Promise<boolean> {
    const deadline = clock.monotonic() + maxElectionMilliseconds;
    while (!control.mayStart() && clock.monotonic() < deadline && !signal.aborted) {
        await pause(clock, confirmationPollMilliseconds, signal);
    }
    return control.mayStart();
}
