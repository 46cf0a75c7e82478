import type { Comparison, Measure } from "./experiment.js";

const digits = 3;
const columnWidth = 14;

/** Writes the comparisons of one measure as a table for a person, a line for each day and variant. */
export function tableOf(comparisons: readonly Comparison[], measure: Measure): readonly string[] {
    const rows = comparisons.filter(comparison => comparison.measure === measure);
    const width = (of: (row: Comparison) => string): number => Math.max(0, ...rows.map(row => of(row).length)) + 2;
    const dayWidth = width(row => row.day);
    const variantWidth = width(row => row.variant);
    return rows.map(row => {
        const mean = meanText(row).padEnd(columnWidth);
        return `${row.day.padEnd(dayWidth)}${row.variant.padEnd(variantWidth)}${measure} ${mean}${differenceText(row)}`
            .trimEnd();
    });
}

/** The mean of a comparison, for a person. */
export function meanText({ mean }: Comparison): string {
    return mean.toFixed(digits);
}

/** The difference of a comparison with its interval, for a person; empty for the first variant. */
export function differenceText({ difference }: Comparison): string {
    if (difference === undefined) {
        return "";
    }
    const { mean, interval, isSeen } = difference;
    if (interval === undefined) {
        return `${signed(mean)}, too few seeds to tell`;
    }
    const bounds = `${signed(mean)} (${signed(interval[0])} to ${signed(interval[1])})`;
    return isSeen ? bounds : `${bounds}, no difference seen`;
}

function signed(value: number): string {
    return `${value < 0 ? "" : "+"}${value.toFixed(digits)}`;
}
