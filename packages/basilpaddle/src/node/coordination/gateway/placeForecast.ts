import type { UsualRequest } from "./stagePlan.js";

/** Milliseconds that a run is expected to hold its place until runs have ended. */
const usualHold = 3_000;
/** Weight of one run in the running means. */
const step = 0.05;
/** Weight of one run in what is told of a usual request, and the runs after which it says something. */
const usualStep = 0.01;
const runsObserved = 100;
/** Milliseconds from a prompt that has been read to the first event at the caller's gateway, and for the way to the caller. */
const firstEventOverhead = 60;
/** Bounds of how much longer readings take than they should: one that was held up must not make all others look late. */
const leastDelay = 0.5;
const mostDelay = 4;

/** Forecasts how long a demand waits for its place, and then for its first event, from what others had to wait. */
export class PlaceForecast {
    private hold = usualHold;
    /** How many times longer readings took of late than the engines' own times say. */
    private delay = 1;
    private usual: UsualRequest | undefined;
    private runs = 0;

    static create(): PlaceForecast {
        return new PlaceForecast();
    }

    /** Notes a run that ended well: how long it held its place, and what it took of the pool. */
    ended(run: UsualRequest): void {
        this.hold += step * (run.holdTime - this.hold);
        this.runs += 1;
        const { usual } = this;
        const mean = (before: number, now: number): number =>
            before + Math.max(usualStep, 1 / this.runs) * (now - before);
        this.usual = usual === undefined ? run : {
            readingTime: mean(usual.readingTime, run.readingTime),
            holdTime: mean(usual.holdTime, run.holdTime),
            cacheTokens: mean(usual.cacheTokens, run.cacheTokens),
        };
    }

    /** What a request takes of the pool on the mean; undefined until enough of them have been seen. */
    usualRequest(): UsualRequest | undefined {
        return this.runs < runsObserved ? undefined : this.usual;
    }

    /** Notes how long the reading of a prompt should have taken, and how long it took. */
    read(expected: number, taken: number): void {
        if (expected > 0) {
            const delay = Math.min(mostDelay, Math.max(leastDelay, taken / expected));
            this.delay += step * (delay - this.delay);
        }
    }

    /** Milliseconds until so many tokens beyond those free now have become free in a pool of the capacity. */
    wait(tokens: number, capacity: number): number {
        return capacity === 0 ? Number.POSITIVE_INFINITY : Math.max(0, tokens) * this.hold / capacity;
    }

    /** Milliseconds that a reading will likely take, where by the engine's own times it should take so long. */
    reading(readingTime: number): number {
        return readingTime * this.delay;
    }

    /** Milliseconds from the place to the first event, where the reading should take so long. */
    firstEventAfter(readingTime: number): number {
        return firstEventOverhead + this.reading(readingTime);
    }
}
