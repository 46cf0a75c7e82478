import type { RequestParts } from "./parts.js";
import { pause } from "./scope.js";

/** How long to wait for engines that are in the scheduler's view but not yet in this daemon's view. */
const maxViewLagMilliseconds = 1_000;
/** How long to wait for the view to be confirmed, which an election of control daemons delays. */
const maxElectionMilliseconds = 1_000;
/** Interval at which the confirmation is polled. */
const confirmationPollMilliseconds = 25;

type Parts = Pick<RequestParts, "clock" | "control">;

/** Waits until the view contains the engines, for a bounded time: they may be gone if the view is ahead of the scheduler's. */
export async function untilEnginesKnown(
    { control, clock }: Parts,
    ids: readonly string[],
    signal: AbortSignal,
): Promise<void> {
    const isBehind = (): boolean => ids.some(id => (control.view().backends[id]?.state ?? "gone") === "gone");
    if (!isBehind()) {
        return;
    }
    const caughtUpController = new AbortController();
    const unsubscribe = control.onView(() => {
        if (!isBehind()) {
            caughtUpController.abort();
        }
    });
    await pause(clock, maxViewLagMilliseconds, AbortSignal.any([caughtUpController.signal, signal]));
    unsubscribe();
}

/** Waits until this daemon's view is confirmed, for at most the duration of an election. Returns whether it is. */
export async function untilViewConfirmed({ control, clock }: Parts, signal: AbortSignal): Promise<boolean> {
    const until = clock.monotonic() + maxElectionMilliseconds;
    while (!control.mayStart() && clock.monotonic() < until && !signal.aborted) {
        await pause(clock, confirmationPollMilliseconds, signal);
    }
    return control.mayStart();
}
