/**
 * Longest Retry-After, unless the allowance is used up for longer. Later retries are spread anew from the earliest time on, so that
 * callers don't all return at the end.
 */
const maxRetryAfterMilliseconds = 8_000;
/** Minimum time over which retries are spread. */
const minSpreadMilliseconds = 2_000;
/** Distance of two retries, as a fraction of that time, if one request uses up more than all of it: no two coincide. */
const goldenFraction = 0.618;

/** Spreads the retries of refused callers one after the other. */
export class RetrySpread {
    /** Latest time at which a refused caller was told to retry. */
    private lastRetryAt = 0;

    private constructor() {}

    static create(): RetrySpread {
        return new RetrySpread();
    }

    /**
     * Milliseconds until the next refused caller may retry. `earliest`: time at which the first one may. `step`: milliseconds in
     * which the cost of the request flows in.
     */
    next(earliest: number, step: number, now: number): number {
        const spread = Math.max(minSpreadMilliseconds, now + maxRetryAfterMilliseconds - earliest);
        const lastOffset = Math.max(0, this.lastRetryAt - earliest);
        const offset = step > spread
            ? (lastOffset + goldenFraction * spread) % spread
            : lastOffset + step > spread
            ? 0
            : lastOffset + step;
        this.lastRetryAt = earliest + offset;
        return this.lastRetryAt - now;
    }

    /** Forgets the retries so far. */
    reset(): void {
        this.lastRetryAt = 0;
    }
}
