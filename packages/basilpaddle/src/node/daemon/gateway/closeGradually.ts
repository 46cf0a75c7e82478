import type { Clock } from "../../utils/index.js";
import type { CallerServer } from "./callerServer.js";
import type { Relaying } from "./relaying.js";

/** Time in which the balancer detects that a gateway shuts down: two probes a second apart, and a margin. */
const balancerNoticeMilliseconds = 2_800;
/** Interval of checking for open requests. */
const pollMilliseconds = 50;

/**
 * Serves until the balancer has noticed that the gateway shuts down, then until no request and no used tunnel is open, or until
 * `deadline`, in milliseconds of the monotonic clock.
 */
export async function closeGradually(
    callerServer: CallerServer,
    relaying: Relaying,
    deadline: number,
    clock: Clock,
): Promise<void> {
    const startedAt = clock.monotonic();
    let listening = true;
    while (clock.monotonic() < deadline) {
        if (listening && clock.monotonic() - startedAt > balancerNoticeMilliseconds) {
            listening = false;
            callerServer.stopListening();
        }
        if (!listening) {
            // A caller with an idle connection would send its next request here, and lose it when the gateway exits. Until the
            // balancer has noticed, such requests are answered, and their connections closed with the answer.
            callerServer.closeIdle();
        }
        const usedTunnels = listening ? 0 : relaying.closeIdleTunnels();
        if (!listening && callerServer.openRequests() === 0 && usedTunnels === 0) {
            break;
        }
        await new Promise<void>(resolve => clock.after(pollMilliseconds, resolve));
    }
}
