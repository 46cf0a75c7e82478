import type { InstanceTable } from "../../coordination/index.js";
import type { Clock } from "../../utils/index.js";
import type { PlacementGrant } from "./placementClient.js";

/** How long to wait for the announcement of a placed engine, and the interval of checking for it. */
const timeoutMilliseconds = 500;
const pollMilliseconds = 20;

/**
 * Waits until the engines of a grant are known here or have ended, or the timeout expires: the leader may have received an
 * announcement earlier, from a directory that this gateway hasn't reached yet.
 */
export async function awaitEngines(
    { instances, clock }: { readonly instances: InstanceTable; readonly clock: Clock; },
    grant: PlacementGrant,
    isGone: () => boolean,
): Promise<void> {
    const until = clock.monotonic() + timeoutMilliseconds;
    const missing = (): boolean => {
        return [grant.decode, grant.prefill].some(id => {
            return id !== undefined && instances.get(id) === undefined && !instances.hasEnded(id);
        });
    };
    while (missing() && clock.monotonic() < until && !isGone()) {
        await new Promise<void>(resolve => clock.after(pollMilliseconds, resolve));
    }
}
