const intervalMilliseconds = 100;
/** Number of intervals that are looked through for capacity; it bounds the memory and the time for one request. */
const maxIntervals = 100;

/** A refused request that is told when to retry. */
export type RefusedRetry = {
    /** Tokens of KV cache that it will need. */
    readonly tokens: number;
    /** When the requests ahead of it will have been served, and the latest time at which it may be told to retry. */
    readonly earliest: number;
    readonly latest: number;
    /** Where in its interval it retries, 0 to 1. */
    readonly spread: number;
};

/** Accounts for the capacity that refused requests were told to retry for, so that their retries find room. */
export class RetryPromises {
    /** Tokens that were promised, by number of the interval. */
    private readonly promised = new Map<number, number>();

    static create(): RetryPromises {
        return new RetryPromises();
    }

    /**
     * The time at which a refused request shall retry: in the first interval with enough capacity, else in the one with the
     * least promised. `tokensPerMillisecond`: tokens that become free in the pool.
     */
    promise({ tokens, earliest, latest, spread }: RefusedRetry, tokensPerMillisecond: number, now: number): number {
        this.dropBefore(Math.floor(now / intervalMilliseconds));
        const capacity = tokensPerMillisecond * intervalMilliseconds;
        const last = Math.max(now, latest);
        // If the backlog takes longer than the caller may be told to wait, the later half of that time is the best there is.
        const first = earliest <= last ? Math.max(now, earliest) : (now + last) / 2;
        const firstInterval = Math.floor(first / intervalMilliseconds);
        const lastInterval = Math.min(Math.floor(last / intervalMilliseconds), firstInterval + maxIntervals - 1);
        let chosen = firstInterval;
        for (let interval = firstInterval; interval <= lastInterval; interval++) {
            const used = this.promised.get(interval) ?? 0;
            if (used === 0 || used + tokens <= capacity) {
                chosen = interval;
                break;
            }
            if (used < this.promised.get(chosen)!) {
                chosen = interval;
            }
        }
        this.promised.set(chosen, (this.promised.get(chosen) ?? 0) + tokens);
        const start = Math.max(first, chosen * intervalMilliseconds);
        const end = Math.min(last, (chosen + 1) * intervalMilliseconds);
        return start + spread * Math.max(0, end - start);
    }

    private dropBefore(interval: number): void {
        for (const known of this.promised.keys()) {
            if (known < interval) {
                this.promised.delete(known);
            }
        }
    }
}
