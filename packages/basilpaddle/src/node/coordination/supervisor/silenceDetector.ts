/** Finds keys without a heartbeat for a timeout, counted at the earliest from when the detector first saw the key. */
export class SilenceDetector {
    private firstSeen = new Map<string, number>();

    static create(): SilenceDetector {
        return new SilenceDetector();
    }

    /** Discards the start times, so that every key gets a full timeout from the next check on. */
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
        for (const [key, heardAt] of lastHeartbeats) {
            const startedAt = this.firstSeen.get(key) ?? now;
            nextFirstSeen.set(key, startedAt);
            if (now - Math.max(startedAt, heardAt ?? startedAt) >= timeout) {
                silent.add(key);
            }
        }
        this.firstSeen = nextFirstSeen;
        return silent;
    }
}
