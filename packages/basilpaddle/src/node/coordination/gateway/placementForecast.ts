import type { TypicalRequest } from "./stagePlan.js";

/** Time for which a run occupies its engine, assumed until runs have ended. */
const initialAllocationMilliseconds = 3_000;
/** Weight of one run in the moving averages. */
const meanWeight = 0.05;
/** Minimum weight of one run in the typical request, and the number of runs before the typical request is available. */
const requestMeanWeight = 0.01;
const minRuns = 100;
/** Time from the end of a prefill to the first event at the gateway, and from there to the caller. */
const firstEventOverheadMilliseconds = 60;
/** Bounds of the ratio of actual to expected prefill time: one delayed prefill must not make all forecasts too late. */
const minDelayFactor = 0.5;
const maxDelayFactor = 4;

/** Forecasts how long a request waits for its placement, and then for its first event, from past requests. */
export class PlacementForecast {
    private meanAllocationTime = initialAllocationMilliseconds;
    /** Moving average of the ratio of actual to expected prefill time. */
    private delayFactor = 1;
    private meanRequest: TypicalRequest | undefined;
    private runs = 0;

    static create(): PlacementForecast {
        return new PlacementForecast();
    }

    /** Records the resources that a successful run used in the pool. */
    recordRun(run: TypicalRequest): void {
        this.meanAllocationTime += meanWeight * (run.allocationTime - this.meanAllocationTime);
        this.runs += 1;
        const { meanRequest } = this;
        const updatedMean = (previous: number, latest: number): number =>
            previous + Math.max(requestMeanWeight, 1 / this.runs) * (latest - previous);
        this.meanRequest = meanRequest === undefined ? run : {
            prefillTime: updatedMean(meanRequest.prefillTime, run.prefillTime),
            allocationTime: updatedMean(meanRequest.allocationTime, run.allocationTime),
            cacheTokens: updatedMean(meanRequest.cacheTokens, run.cacheTokens),
        };
    }

    /** Mean resources of a request in the pool; undefined until enough runs have ended. */
    typicalRequest(): TypicalRequest | undefined {
        return this.runs < minRuns ? undefined : this.meanRequest;
    }

    /** Mean tokens of KV cache of a request in the pool; undefined until a run has ended. */
    meanCacheTokens(): number | undefined {
        return this.meanRequest?.cacheTokens;
    }

    /** Records the expected and the actual duration of a prefill, in milliseconds. */
    recordPrefill(expected: number, actual: number): void {
        if (expected > 0) {
            const ratio = Math.min(maxDelayFactor, Math.max(minDelayFactor, actual / expected));
            this.delayFactor += meanWeight * (ratio - this.delayFactor);
        }
    }

    /**
     * Expected milliseconds until `tokens` more than are free now have been freed, in a pool or engine of the given capacity.
     * 0 if `tokens` isn't positive, infinite if the capacity is 0.
     */
    expectedWait(tokens: number, capacity: number): number {
        return capacity === 0 ? Number.POSITIVE_INFINITY : Math.max(0, tokens) * this.meanAllocationTime / capacity;
    }

    /** Tokens of KV cache that runs free in a millisecond in a pool of the given capacity, while it is full. */
    tokensFreedPerMillisecond(capacity: number): number {
        return capacity / Math.max(1, this.meanAllocationTime);
    }

    /** Expected milliseconds of a prefill, corrected by the recent ratio of actual to expected time. */
    expectedPrefillTime(prefillTime: number): number {
        return prefillTime * this.delayFactor;
    }

    /** Expected milliseconds from the placement to the first event, for the given prefill time. */
    firstEventDelay(prefillTime: number): number {
        return firstEventOverheadMilliseconds + this.expectedPrefillTime(prefillTime);
    }
}
