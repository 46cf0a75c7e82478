import type { RequestParts } from "./parts.js";
import { pause } from "./scope.js";

/** Milliseconds for which engines are waited for that the scheduler's view has and this daemon's doesn't yet. */
const viewLag = 1_000;
/** Milliseconds for which a confirmation is waited for, and between two looks. */
const longestElection = 1_000;
const confirmationPause = 25;

type Parts = Pick<RequestParts, "clock" | "control">;

/** Waits until the view names the engines, but not for long: they may be gone by a view that is ahead. */
export async function untilEnginesKnown(
    { control, clock }: Parts,
    ids: readonly string[],
    signal: AbortSignal,
): Promise<void> {
    const isBehind = (): boolean => ids.some(id => (control.view().backends[id]?.state ?? "gone") === "gone");
    if (!isBehind()) {
        return;
    }
    const caughtUp = new AbortController();
    const unfollow = control.onView(() => {
        if (!isBehind()) {
            caughtUp.abort();
        }
    });
    await pause(clock, viewLag, AbortSignal.any([caughtUp.signal, signal]));
    unfollow();
}

/** Waits until this daemon's view is confirmed, at most for as long as an election takes; gives whether it is. */
export async function untilViewConfirmed({ control, clock }: Parts, signal: AbortSignal): Promise<boolean> {
    const until = clock.monotonic() + longestElection;
    while (!control.mayStart() && clock.monotonic() < until && !signal.aborted) {
        await pause(clock, confirmationPause, signal);
    }
    return control.mayStart();
}
