import type { ServerResponse } from "node:http";
import { pause } from "../../coordination/request/index.js";
import type { Clock } from "../../utils/index.js";

/**
 * Waits until the caller has received the whole answer, so that a drain doesn't end before the last answer is sent. The
 * connection of a caller that reads nothing for `stalledReader` milliseconds is destroyed; otherwise it could keep the
 * daemon from ever shutting down.
 */
export async function waitUntilFlushed(response: ServerResponse, stalledReader: number, clock: Clock): Promise<void> {
    const end = new AbortController();
    response.once("close", () => end.abort());
    response.once("finish", () => end.abort());
    while (response.writableEnded && !response.writableFinished && !response.destroyed) {
        const previousLength = response.writableLength;
        await pause(clock, stalledReader, end.signal);
        if (!end.signal.aborted && response.writableLength >= previousLength) {
            response.destroy();
        }
    }
}
