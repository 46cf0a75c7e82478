import type { TypicalRequest } from "./stagePlan.js";

/** Assumed time for which a run occupies its engine until runs have ended. */
const initialHoldMilliseconds = 3_000;
/** Weight of one run in the moving averages. */
const meanWeight = 0.05;
/** Minimum weight of one run in the typical request, and the number of runs before the typical request is available. */
const requestMeanWeight = 0.01;
const minimumRuns = 100;
/** Time from the end of a prefill to the first event at the gateway, and from there to the caller. */
const firstEventOverheadMilliseconds = 60;
/** Bounds of the ratio of actual to expected prefill time: one delayed prefill must not make all others appear late. */
const minimumDelayFactor = 0.5;
const maximumDelayFactor = 4;

/** Forecasts how long a request waits for its placement, and then for its first event, from past requests. */
export class PlacementForecast {
    private meanHoldTime = initialHoldMilliseconds;
    /** Moving average of the ratio of actual to expected prefill time. */
    private delayFactor = 1;
    private meanRequest: TypicalRequest | undefined;
    private runs = 0;

    static create(): PlacementForecast {
        return new PlacementForecast();
    }

    /** Records the resources that a successful run used in the pool. */
    noteRun(run: TypicalRequest): void {
        this.meanHoldTime += meanWeight * (run.holdTime - this.meanHoldTime);
        this.runs += 1;
        const { meanRequest } = this;
        const mean = (before: number, now: number): number =>
            before + Math.max(requestMeanWeight, 1 / this.runs) * (now - before);
        this.meanRequest = meanRequest === undefined ? run : {
            prefillTime: mean(meanRequest.prefillTime, run.prefillTime),
            holdTime: mean(meanRequest.holdTime, run.holdTime),
            cacheTokens: mean(meanRequest.cacheTokens, run.cacheTokens),
        };
    }

    /** Mean resources of a request in the pool; undefined until enough runs have ended. */
    typicalRequest(): TypicalRequest | undefined {
        return this.runs < minimumRuns ? undefined : this.meanRequest;
    }

    /** Records the expected and the actual duration of a prefill, in milliseconds. */
    notePrefill(expected: number, taken: number): void {
        if (expected > 0) {
            const delay = Math.min(maximumDelayFactor, Math.max(minimumDelayFactor, taken / expected));
            this.delayFactor += meanWeight * (delay - this.delayFactor);
        }
    }

    /** Expected milliseconds until the given tokens, in addition to those free now, are freed in a pool of the given capacity. */
    wait(tokens: number, capacity: number): number {
        return capacity === 0 ? Number.POSITIVE_INFINITY : Math.max(0, tokens) * this.meanHoldTime / capacity;
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
