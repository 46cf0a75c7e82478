import type { PlaceDemand } from "../../protocol/index.js";

/** Milliseconds that a run is expected to hold its place until runs have ended. */
const usualHold = 3_000;
/** Weight of one run in the running mean. */
const step = 0.05;
/** Milliseconds from the place to the first event, beside the reading of the prompt. */
const firstEventOverhead = 60;
/** Milliseconds to read one prompt token. */
const tokenTime = 0.035;

/** Forecasts how long a demand waits for its place, from how fast places become free. */
export class PlaceForecast {
    private hold = usualHold;

    static create(): PlaceForecast {
        return new PlaceForecast();
    }

    /** Notes how long a run held its place. */
    ended(milliseconds: number): void {
        this.hold += step * (milliseconds - this.hold);
    }

    /** Milliseconds until so many tokens beyond those free now have become free in a pool of the capacity. */
    wait(tokens: number, capacity: number): number {
        return capacity === 0 ? Number.POSITIVE_INFINITY : Math.max(0, tokens) * this.hold / capacity;
    }

    /** Milliseconds from the place to the first event. */
    beforeFirstEvent(demand: PlaceDemand): number {
        return firstEventOverhead + demand.promptTokens * tokenTime;
    }
}
