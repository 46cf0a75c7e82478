import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Draws from the pairs from which the interval is taken; more change its third digit only. */
const draws = 2_000;
/** Part of the draws that lies outside of the interval, both sides together. */
const outside = 0.05;
/** Pairs below which an interval says nothing. */
const leastPairs = 3;
const seed = 1;

/** How much one variant differs from another on the same seeds. */
export type Difference = {
    readonly mean: number;
    /** Bounds between which the mean lies with 95 in 100; undefined with too few pairs. */
    readonly interval: readonly [number, number] | undefined;
    /** Whether the interval leaves zero out. */
    readonly isSeen: boolean;
};

/** Compares pair by pair: what one seed gave under one variant with what it gave under the other. */
export function differenceOf(before: readonly number[], after: readonly number[]): Difference {
    if (before.length !== after.length || before.length === 0) {
        throw new Error("a difference needs as many figures of one variant as of the other");
    }
    const changes = after.map((value, position) => value - before[position]!);
    const mean = meanOf(changes);
    if (changes.length < leastPairs) {
        return { mean, interval: undefined, isSeen: false };
    }
    const random = SeededRandomness.create(seed);
    const means = Array.from({ length: draws }, () => {
        return meanOf(changes.map(() => changes[random.integer(0, changes.length - 1)]!));
    }).sort((one, other) => one - other);
    const cut = Math.floor(draws * outside / 2);
    const interval = [means[cut]!, means[draws - 1 - cut]!] as const;
    return { mean, interval, isSeen: interval[0] > 0 || interval[1] < 0 };
}

/** The mean of some figures. */
export function meanOf(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
