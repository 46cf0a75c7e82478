import type { RunWriting } from "../../protocol/index.js";
import { type EngineSpeed, type EventTime, medianOf } from "./engineSpeed.js";

/** Ratio of the fastest to the slowest engine from which on speeds are taken into account, and below which no longer. */
const unevenRatio = 1.5;
const evenRatio = 1.3;
/** Time for which computed speeds are used: computing them for 1,000 engines takes longer than a placement. */
const refreshMilliseconds = 200;
/** An engine of unknown speed gets at most this many times the mean share. */
export const maxUnknownShare = 1.25;
/** Relative speeds are limited to this range, so that a wrong report can't move all runs to one engine. */
const minSpeed = 0.1;
const maxSpeed = 10;

/** Assumed relative growth of the time per event with each run of an engine, and the bounds of what is learned. */
const assumedGrowth = 0.012;
const maxGrowth = 0.05;
/** Weight of the assumed growth, as a sum of squared differences in runs. */
const assumedGrowthWeight = 200;
/** Fraction of what was learned that remains after a further report. */
const growthRetention = 0.999;
/** Weight of one report in an engine's means, from which differences are counted. */
const engineMeanWeight = 0.1;
/** Reports that differ more than this from the engine's mean, as a logarithm, are of another speed rather than another load. */
const maxLogDifference = 0.25;

/** Speeds of a pool's engines at one time, relative to their median. */
export type RelativeSpeeds = {
    /** Whether the speeds differ so much that they are taken into account. */
    readonly isUneven: boolean;
    /** By engine; engines that are missing have `unknownSpeed`. */
    readonly speeds: ReadonlyMap<string, number>;
    readonly unknownSpeed: number;
    /** Speed of an engine that takes an equal share of the runs. */
    readonly meanSpeed: number;
    /** Median milliseconds per event at an engine without other runs; undefined while no speed is known. */
    readonly eventTime: number | undefined;
    /** Relative growth of the time per event with each run. */
    readonly growth: number;
};

type EngineMeans = { runs: number; logTime: number; };

/** Compares the speeds of a pool's engines at the same number of runs. */
export class PoolSpeeds {
    private readonly engines = new Map<string, EngineSpeed>();
    private readonly means = new Map<string, EngineMeans>();
    private squaredRuns = 0;
    private runsTimesLog = 0;
    private uneven = false;
    private current: RelativeSpeeds | undefined;
    private computedAt = Number.NEGATIVE_INFINITY;

    static create(): PoolSpeeds {
        return new PoolSpeeds();
    }

    /** Forgets the engines that aren't in the list. */
    retain(ids: ReadonlySet<string>): void {
        for (const id of [...this.engines.keys()].filter(engine => !ids.has(engine))) {
            this.engines.delete(id);
            this.means.delete(id);
            this.current = undefined;
        }
    }

    /** Records the writing of a run at an engine that has `runs` in total. Invalid values are ignored. */
    recordWriting(id: string, speed: EngineSpeed, writing: RunWriting, runs: number, now: number): void {
        const sample = speed.recordWriting(writing, runs, now);
        if (sample !== undefined) {
            this.engines.set(id, speed);
            this.learnGrowth(id, runs, Math.log(sample.eventTime));
        }
    }

    /** Speeds at the given time, computed every `refreshMilliseconds`. */
    relative(now: number): RelativeSpeeds {
        if (this.current === undefined || now - this.computedAt >= refreshMilliseconds) {
            this.current = this.compute(now);
            this.computedAt = now;
        }
        return this.current;
    }

    private compute(now: number): RelativeSpeeds {
        const growth = this.growth();
        const times = new Map<string, EventTime>();
        for (const [id, speed] of this.engines) {
            const time = speed.eventTime(growth, now);
            if (time !== undefined) {
                times.set(id, time);
            }
        }
        if (times.size === 0) {
            this.uneven = false;
            return { isUneven: false, speeds: new Map(), unknownSpeed: 1, meanSpeed: 1, eventTime: undefined, growth };
        }
        const values = [...times.values()];
        // Quartiles rather than medians: among many equal engines under load, some median is always far off.
        const ratio = Math.max(...values.map(({ low }) => low)) / Math.min(...values.map(({ high }) => high));
        this.uneven = ratio >= (this.uneven ? evenRatio : unevenRatio);
        const eventTime = medianOf(values.map(({ median }) => median));
        const speeds = new Map([...times].map(([id, { median }]) => {
            return [id, Math.min(maxSpeed, Math.max(minSpeed, eventTime / median))] as const;
        }));
        const meanSpeed = [...speeds.values()].reduce((sum, speed) => sum + speed, 0) / speeds.size;
        const unknownSpeed = Math.min(1, maxUnknownShare * meanSpeed);
        return { isUneven: this.uneven, speeds, unknownSpeed, meanSpeed, eventTime, growth };
    }

    /** Growth of the logarithm of the time per event with each run. */
    private growth(): number {
        const slope = (this.runsTimesLog + assumedGrowth * assumedGrowthWeight)
            / (this.squaredRuns + assumedGrowthWeight);
        return Math.min(maxGrowth, Math.max(0, slope));
    }

    /** Learns from differences within one engine: between engines, speed and load vary together. */
    private learnGrowth(id: string, runs: number, logTime: number): void {
        const means = this.means.get(id);
        if (means === undefined) {
            this.means.set(id, { runs, logTime });
            return;
        }
        const logDifference = logTime - means.logTime;
        const runsDifference = runs - means.runs;
        if (Math.abs(logDifference) <= maxLogDifference) {
            this.squaredRuns = this.squaredRuns * growthRetention + runsDifference ** 2;
            this.runsTimesLog = this.runsTimesLog * growthRetention + runsDifference * logDifference;
        }
        means.runs += engineMeanWeight * runsDifference;
        means.logTime += engineMeanWeight * logDifference;
    }
}
