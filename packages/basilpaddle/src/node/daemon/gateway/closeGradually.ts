import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { CallerServer } from "./callerServer.js";
import type { GracePeriod } from "./gracePeriod.js";
import type { LoopMonitor } from "./loopMonitor.js";
import type { LastRequest, OpenRequests } from "./openRequests.js";
import type { Relaying } from "./relaying.js";
import { logLastRequests, logStop } from "./stopLog.js";

/** Interval of checking for open requests. */
const pollMilliseconds = 50;
/** How long the gateway accepts and reads what waits, before it looks again at its open requests. */
const readWaitingMilliseconds = 200;
/** How long the answers at the end of the grace period may take to reach their callers' connections. */
const lastAnswersMilliseconds = 250;
/** The part of it for requests that wait to be read. */
const lastReadsMilliseconds = 50;

/** What a gateway closes when it shuts down. */
export type ClosingGateway = {
    readonly callerServer: CallerServer;
    readonly relaying: Relaying;
    readonly requests: OpenRequests;
    readonly grace: GracePeriod;
    readonly loop: LoopMonitor;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Shuts a gateway down within `duration` milliseconds of a signal that came at `signalledAt` at the earliest; returns the requests that
 * were open at the end of the grace period. Its listener and connections for callers are closed then.
 */
export async function shutDown(
    closing: ClosingGateway,
    duration: number,
    signalledAt: number,
): Promise<readonly LastRequest[]> {
    const { callerServer, relaying, requests, grace, loop, clock } = closing;
    logStop(closing, signalledAt, loop.takeMaxLateness());
    grace.begin(duration, signalledAt);
    relaying.beginShutdown();
    callerServer.closeAfterResponses();
    await closeGradually(closing);
    const lastRequests = requests.remember(clock.monotonic());
    const elapsed = grace.elapsed();
    await answerRest(closing);
    logLastRequests(closing, lastRequests(), { duration: elapsed, lateness: loop.takeMaxLateness() });
    callerServer.closeAll();
    return lastRequests();
}

/**
 * Serves until the balancer has noticed that the gateway shuts down, then until no request and no used tunnel is open, or until
 * the grace period is over. It goes on listening: a refusal with a time to come back is better for a caller than a connection that
 * nobody takes. Requests that can't be expected to end in it are refused as soon as that is known.
 */
async function closeGradually(
    { callerServer, relaying, requests, grace, loop, clock }: ClosingGateway,
): Promise<void> {
    while (!grace.isOver()) {
        requests.forEachWhole(request => grace.refuse(request));
        // Closing over a connection or a request that the operating system holds would reset it.
        if (grace.isNoticed() && await loop.acceptPending(readWaitingMilliseconds)) {
            // A caller with an idle connection would send its next request here, and lose it when the gateway exits. Until the
            // balancer has noticed, such requests are answered, and their connections closed with the answer.
            callerServer.closeIdle();
            const usedTunnels = relaying.closeIdleTunnels();
            if (callerServer.openRequests() === 0 && usedTunnels === 0) {
                break;
            }
        }
        await pause(clock);
    }
}

/** Answers what is still open or waits to be read, and waits until the callers' connections have taken the answers. */
async function answerRest({ callerServer, requests, grace, loop, clock }: ClosingGateway): Promise<void> {
    const deadline = clock.monotonic() + lastAnswersMilliseconds;
    grace.endNow();
    await loop.acceptPending(lastReadsMilliseconds);
    callerServer.stopListening();
    requests.forEachWhole(request => grace.end(request));
    requests.refuseUnread();
    while (callerServer.openRequests() > 0 && clock.monotonic() < deadline) {
        await pause(clock);
    }
}

function pause(clock: Clock): Promise<void> {
    return new Promise(resolve => void clock.after(pollMilliseconds, resolve));
}
