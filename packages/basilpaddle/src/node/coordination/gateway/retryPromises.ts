const intervalMilliseconds = 100;
/** Number of intervals that are looked through for capacity; it bounds the memory and the time for one request. */
const maxIntervals = 100;
/** Intervals that count as neighbours of one. */
const neighbourOffsets = [-2, -1, 1, 2] as const;

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
     * least promised, in the later half of the time until the latest. `tokensPerMillisecond`: tokens that become free in the pool.
     */
    promise({ tokens, earliest, latest, spread }: RefusedRetry, tokensPerMillisecond: number, now: number): number {
        this.dropBefore(Math.floor(now / intervalMilliseconds));
        const capacity = tokensPerMillisecond * intervalMilliseconds;
        const last = Math.max(now, latest);
        const halfway = (now + last) / 2;
        const served = Math.max(now, earliest);
        const withRoom = this.firstWithRoom(served, last, capacity - tokens);
        const from = withRoom === undefined ? halfway : served;
        const chosen = withRoom ?? this.leastPromised(halfway, last);
        this.promised.set(chosen, (this.promised.get(chosen) ?? 0) + tokens);
        const start = Math.max(from, chosen * intervalMilliseconds);
        const end = Math.min(last, (chosen + 1) * intervalMilliseconds);
        return start + spread * Math.max(0, end - start);
    }

    /** The first interval in which no more than `maxPromised` tokens are promised, or none at all. */
    private firstWithRoom(from: number, to: number, maxPromised: number): number | undefined {
        return intervalsOf(from, to).find(interval => {
            const used = this.promised.get(interval) ?? 0;
            return used === 0 || used <= maxPromised;
        });
    }

    /** The interval with the least promised; of several the one whose neighbours have the least. */
    private leastPromised(from: number, to: number): number {
        const promisedIn = (interval: number): number => this.promised.get(interval) ?? 0;
        const nearby = (interval: number): number =>
            neighbourOffsets.reduce((sum, offset) => sum + promisedIn(interval + offset), 0);
        return intervalsOf(from, to).reduce((least, interval) => {
            const difference = promisedIn(interval) - promisedIn(least);
            return difference < 0 || difference === 0 && nearby(interval) < nearby(least) ? interval : least;
        });
    }

    private dropBefore(interval: number): void {
        for (const known of this.promised.keys()) {
            if (known < interval) {
                this.promised.delete(known);
            }
        }
    }
}

/** Numbers of the intervals from one time to another, `maxIntervals` at most; none if the span is negative. */
function intervalsOf(from: number, to: number): readonly number[] {
    const first = Math.floor(from / intervalMilliseconds);
    const count = from > to ? 0 : Math.min(Math.floor(to / intervalMilliseconds) - first + 1, maxIntervals);
    return Array.from({ length: count }, (_, number) => first + number);
}
