import type { Randomness } from "../../utils/index.js";

/** How long after its prefill a result is assumed to be retained. Engines may evict it within a second. */
const resultRetentionMilliseconds = 500;
/** Mean delay before each retry. Their sum is less than `resultRetentionMilliseconds`. */
const meanDelaysMilliseconds = [25, 50, 100, 200] as const;
/** Mean delay before each later retry of an unbounded backoff, which ends when the engine reports the eviction. */
const steadyMeanDelayMilliseconds = 100;

/** Retry delays for importing a finished prefill into a decode engine that rejected it because it was full. */
export class ImportBackoff {
    private retryCount = 0;

    private constructor(
        private readonly retryUntil: number,
        private readonly randomness: Randomness,
        private readonly isUnbounded: boolean,
    ) {}

    /** Times in monotonic milliseconds. After `latest` the import is useless to the answer. */
    static create(prefilledAt: number, latest: number, randomness: Randomness): ImportBackoff {
        return new ImportBackoff(Math.min(prefilledAt + resultRetentionMilliseconds, latest), randomness, false);
    }

    /**
     * For a prefill that may not be repeated: retries until `latest`. The caller stops when the engine reports the
     * eviction.
     */
    static untilEvicted(latest: number, randomness: Randomness): ImportBackoff {
        return new ImportBackoff(latest, randomness, true);
    }

    /** Milliseconds to wait before the next retry; undefined if no retry is left or the next one would be too late. */
    nextDelay(now: number): number | undefined {
        const meanDelay = meanDelaysMilliseconds[this.retryCount]
            ?? (this.isUnbounded ? steadyMeanDelayMilliseconds : undefined);
        if (meanDelay === undefined) {
            return undefined;
        }
        this.retryCount++;
        // Jitter: requests rejected by the same full engine would otherwise all retry at the same instant.
        const delay = meanDelay * (0.5 + this.randomness.fraction());
        return now + delay < this.retryUntil ? delay : undefined;
    }
}
