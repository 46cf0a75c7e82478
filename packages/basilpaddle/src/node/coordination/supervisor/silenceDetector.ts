/**
 * Finds keys without a heartbeat for a timeout. Time counts from the last heartbeat, but not from before the first check
 * of the key.
 */
export class SilenceDetector {
    private firstSeen = new Map<string, number>();

    static create(): SilenceDetector {
        return new SilenceDetector();
    }

    /** Discards the times of the first checks, so that every key gets a full timeout from the next check on. */
    reset(): void {
        this.firstSeen.clear();
    }

    /** Checks the expected keys with their last heartbeats, and returns those that were silent for the whole timeout. */
    silentKeys(
        lastHeartbeats: ReadonlyMap<string, number | undefined>,
        timeout: number,
        now: number,
    ): ReadonlySet<string> {
        const nextFirstSeen = new Map<string, number>();
        const silent = new Set<string>();
        for (const [key, receivedAt] of lastHeartbeats) {
            const measuredSince = this.firstSeen.get(key) ?? now;
            nextFirstSeen.set(key, measuredSince);
            if (now - Math.max(measuredSince, receivedAt ?? measuredSince) >= timeout) {
                silent.add(key);
            }
        }
        this.firstSeen = nextFirstSeen;
        return silent;
    }
}
