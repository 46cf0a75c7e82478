import { pause } from "../playground/harness/index.js";
import type { Callers } from "./callers.js";
import type { SoakDeployment } from "./deployment.js";
import type { Member } from "./member.js";

/** Streams that begin before a standstill, and the time until it: some of their events come before, others meanwhile. */
const streamsBeside = 16;
const beforeMilliseconds = 150;
/** Time from the signal of a stop to the standstill. */
const afterSignalMilliseconds = 100;
/** Lets a gateway stand still with streams in progress, while engines turn down to go on with them. `stop`: stops it before, if given. */
export async function standStill(
    gateway: Member,
    { backends }: SoakDeployment,
    callers: Callers,
    letStand: () => Promise<void>,
    stop: (() => Promise<void>) | undefined,
): Promise<void> {
    const streams = Array.from({ length: streamsBeside }, () => callers.sendRequest(gateway, "resumable"));
    await pause(beforeMilliseconds);
    const refusing = [...backends];
    refusing.forEach(backend => (backend.refusesToGoOn = true));
    const stopped = stop?.();
    await pause(stopped === undefined ? 0 : afterSignalMilliseconds);
    await letStand();
    await Promise.all([...streams, stopped]);
    refusing.forEach(backend => (backend.refusesToGoOn = false));
}
