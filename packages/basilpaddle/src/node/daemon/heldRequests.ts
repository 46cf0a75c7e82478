import type { Hold, Quarantine } from "../coordination/index.js";
import type { CrashRecord } from "../protocol/index.js";
import type { Logger, Metrics } from "../utils/index.js";

/** Logs which of the requests that there is news of are held back now, with what speaks against them. */
export function logHolds(
    quarantine: Quarantine,
    news: readonly CrashRecord[],
    now: number,
    logger: Logger,
): void {
    for (const { digest } of news) {
        const hold = quarantine.hold(digest, now);
        if (hold !== undefined) {
            const { left, crashes } = hold;
            logger.warn("a request is held back", {
                content: digest,
                for: Math.round(left),
                crashes: crashTexts(crashes),
            });
        }
        else if (!quarantine.isSuspected(digest)) {
            logger.info("nothing is held against a request any more", { content: digest });
        }
    }
}

/** Sets the gauge of requests that are held back. */
export function measureHolds(quarantine: Quarantine, now: number, metrics: Metrics): void {
    metrics.gauge("basilpaddle_requests_held_back", quarantine.held(now).length);
}

/** The backend servers that ended, and how many milliseconds ago. */
export function crashTexts(crashes: Hold["crashes"]): string[] {
    return crashes.map(({ server, age, early }) => `${server} ${Math.round(age)}${early ? " early" : ""}`);
}
