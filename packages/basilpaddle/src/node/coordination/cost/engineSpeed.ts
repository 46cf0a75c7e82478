import type { RunWriting } from "../../protocol/index.js";

/** Prefill time per prompt token assumed until an engine has completed prefills. */
export const defaultPrefillMillisecondsPerToken = 0.035;
/** Weight of one prefill in the moving average of the time per token. */
const tokenTimeWeight = 0.1;
/** A prefill that takes longer than expected by this factor was delayed by something else; it isn't averaged. */
const outlierFactor = 4;

/** Reports of runs that are kept for each engine, and the number without which its speed isn't known. */
const maxSamples = 24;
const minSamples = 3;
/**
 * Reports of this period determine the speed, or the latest `minSamples` of them if there are fewer. Gateways report each run
 * once a second: after a change of the speed, the reports of one period are soon mostly of the time after it.
 */
const windowMilliseconds = 1_200;
/** Age from which a report says nothing about an engine any more. */
const maxAgeMilliseconds = 10_000;
/** Fewer intervals between events than this are noise. */
const minEvents = 3;
const quartile = 0.25;
/** Bounds of a valid report: gateways report every second, and no engine writes more than one event in ten microseconds. */
const maxWritingMilliseconds = 60_000;
const minEventMilliseconds = 0.01;

/**
 * Milliseconds per event of an engine: the median of the reports, which ignores single streams that were preempted or delayed
 * on a link, and their quartiles, as the range in which it probably is.
 */
export type EventTime = { readonly median: number; readonly low: number; readonly high: number; };

/** One report of a run: the time per event, and the number of runs at the engine. */
export type WritingSample = { readonly at: number; readonly eventTime: number; readonly runs: number; };

/** Speed of one incarnation of an engine, as observed: the prefill time per token, and the time per event of its streams. */
export class EngineSpeed {
    private millisecondsPerToken = defaultPrefillMillisecondsPerToken;
    private samples: WritingSample[] = [];

    static create(): EngineSpeed {
        return new EngineSpeed();
    }

    /** Milliseconds of prefill for each prompt token. */
    get prefillMillisecondsPerToken(): number {
        return this.millisecondsPerToken;
    }

    /** Records the duration of a prefill that had no other one beside it, in milliseconds for each token. */
    recordPrefill(observed: number): void {
        if (observed < outlierFactor * this.millisecondsPerToken) {
            this.millisecondsPerToken += tokenTimeWeight * (observed - this.millisecondsPerToken);
        }
    }

    /** Records the writing of a run beside `runs` in total; returns undefined if the values are invalid or too few. */
    recordWriting({ events, milliseconds }: RunWriting, runs: number, now: number): WritingSample | undefined {
        const eventTime = milliseconds / events;
        const isValid = Number.isFinite(events) && events >= minEvents && milliseconds > 0
            && milliseconds <= maxWritingMilliseconds && eventTime >= minEventMilliseconds;
        if (!isValid) {
            return undefined;
        }
        const sample = { at: now, eventTime, runs };
        this.samples = [...this.samples.slice(1 - maxSamples), sample];
        return sample;
    }

    /**
     * Milliseconds per event, converted to an empty engine; undefined if too little was observed recently. `growth`: relative
     * growth of the time with each run.
     */
    eventTime(growth: number, now: number): EventTime | undefined {
        const valid = this.samples.filter(({ at }) => now - at <= maxAgeMilliseconds);
        if (valid.length < minSamples) {
            return undefined;
        }
        const recent = valid.filter(({ at }) => now - at <= windowMilliseconds);
        const used = recent.length >= minSamples ? recent : valid.slice(-minSamples);
        const times = used.map(({ eventTime, runs }) => eventTime * Math.exp(-growth * runs))
            .sort((one, other) => one - other);
        return {
            median: medianOf(times),
            low: times[Math.floor(quartile * times.length)]!,
            high: times[times.length - 1 - Math.floor(quartile * times.length)]!,
        };
    }
}

/** Median of at least one value. */
export function medianOf(values: readonly number[]): number {
    const sorted = [...values].sort((one, other) => one - other);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
