import { LRUCache } from "lru-cache";

const maxPools = 1_000;
const smoothingFactor = 0.05;

/** Estimates the number of tokens of an answer by an exponential moving average over the answers of its pool. */
export class ExpectedTokens {
    private readonly means = new LRUCache<string, number>({ max: maxPools });

    static create(): ExpectedTokens {
        return new ExpectedTokens();
    }

    /** Adds the length of a finished answer to the average. */
    record(pool: string, tokens: number): void {
        const mean = this.means.get(pool);
        this.means.set(pool, mean === undefined ? tokens : mean + smoothingFactor * (tokens - mean));
    }

    /** The estimated length in tokens, at most what the caller allows. */
    estimate(pool: string, maxTokens: number): number {
        const mean = this.means.get(pool) ?? maxTokens;
        return Math.max(1, Math.min(maxTokens, Math.round(mean)));
    }
}
