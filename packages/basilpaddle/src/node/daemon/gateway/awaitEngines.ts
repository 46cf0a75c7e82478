import type { InstanceTable } from "../../coordination/index.js";
import type { Clock } from "../../utils/index.js";
import type { PlacementGrant } from "./placementClient.js";

/** How long to wait for the announcement of a placed engine, and the interval of checking for it. */
const timeoutMilliseconds = 500;
const pollMilliseconds = 20;

/**
 * Waits until the engines of a grant are known here or have ended, or the timeout expires. The leader may already have an
 * announcement that this gateway hasn't received, because it hasn't reached the directory that sends it.
 */
export async function awaitEngines(
    { instances, clock }: { readonly instances: InstanceTable; readonly clock: Clock; },
    grant: PlacementGrant,
    isDisconnected: () => boolean,
): Promise<void> {
    const deadline = clock.monotonic() + timeoutMilliseconds;
    const hasUnknownEngine = (): boolean => {
        return [grant.decode, grant.prefill].some(id => {
            return id !== undefined && instances.get(id) === undefined && !instances.hasEnded(id);
        });
    };
    while (hasUnknownEngine() && clock.monotonic() < deadline && !isDisconnected()) {
        await new Promise<void>(resolve => clock.after(pollMilliseconds, resolve));
    }
}
