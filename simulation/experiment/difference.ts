import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Bootstrap resamples from which the interval is computed; more of them change only its third digit. */
const resampleCount = 2_000;
/** Fraction of the resamples outside the interval, on both sides together. */
const significanceLevel = 0.05;
/** Minimum number of pairs; an interval from fewer is meaningless. */
const minPairs = 3;
const resamplingSeed = 1;

/** Difference between two variants that ran with the same seeds. */
export type Difference = {
    readonly mean: number;
    /** 95% bootstrap confidence interval of the mean; undefined with too few pairs. */
    readonly interval: readonly [number, number] | undefined;
    /** Whether the interval excludes zero. */
    readonly isSeen: boolean;
};

/** Compares the values of two variants, paired by seed. @throws Error if their numbers of values differ or are zero */
export function differenceOf(before: readonly number[], after: readonly number[]): Difference {
    if (before.length !== after.length || before.length === 0) {
        throw new Error("a paired difference requires the same number of values for both variants, and at least one");
    }
    const differences = after.map((value, position) => value - before[position]!);
    const mean = meanOf(differences);
    if (differences.length < minPairs) {
        return { mean, interval: undefined, isSeen: false };
    }
    const random = SeededRandomness.create(resamplingSeed);
    const means = Array.from({ length: resampleCount }, () => {
        return meanOf(differences.map(() => differences[random.integer(0, differences.length - 1)]!));
    }).sort((one, other) => one - other);
    const excludedPerSide = Math.floor(resampleCount * significanceLevel / 2);
    const interval = [means[excludedPerSide]!, means[resampleCount - 1 - excludedPerSide]!] as const;
    return { mean, interval, isSeen: interval[0] > 0 || interval[1] < 0 };
}

/** The arithmetic mean. */
export function meanOf(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
