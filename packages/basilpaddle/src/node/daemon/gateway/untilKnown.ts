import type { InstanceTable } from "../../coordination/index.js";
import type { Clock } from "../../utils/index.js";
import type { Place } from "./placesClient.js";

/** Milliseconds for word of a placed engine to come, and between two looks. */
const patience = 500;
const poll = 20;

/**
 * Waits until the engines of a place are known here, or have ended: the leader may have heard of one a moment earlier,
 * from a directory that this gateway has yet to reach.
 */
export async function untilKnown(
    { instances, clock }: { readonly instances: InstanceTable; readonly clock: Clock; },
    place: Place,
    isGone: () => boolean,
): Promise<void> {
    const until = clock.monotonic() + patience;
    const missing = (): boolean => {
        return [place.decode, place.prefill].some(id => {
            return id !== undefined && instances.get(id) === undefined && !instances.hasEnded(id);
        });
    };
    while (missing() && clock.monotonic() < until && !isGone()) {
        await new Promise<void>(resolve => clock.after(poll, resolve));
    }
}
