import type { Comparison, Measure } from "./experiment.js";

const fractionDigits = 3;
const columnWidth = 14;

/** Formats the comparisons of one metric as a text table with one line for each day and variant. */
export function tableOf(comparisons: readonly Comparison[], measure: Measure): readonly string[] {
    const rows = comparisons.filter(comparison => comparison.measure === measure);
    const widthOf = (textOf: (row: Comparison) => string): number =>
        Math.max(0, ...rows.map(row => textOf(row).length)) + 2;
    const dayWidth = widthOf(row => row.day);
    const variantWidth = widthOf(row => row.variant);
    return rows.map(row => {
        const mean = formatMean(row).padEnd(columnWidth);
        return `${row.day.padEnd(dayWidth)}${row.variant.padEnd(variantWidth)}${measure} ${mean}${
            formatDifference(row)
        }`
            .trimEnd();
    });
}

/** Formats the mean of a comparison. */
export function formatMean({ mean }: Comparison): string {
    return mean.toFixed(fractionDigits);
}

/** Formats the difference of a comparison with its interval; empty for the first variant. */
export function formatDifference({ difference }: Comparison): string {
    if (difference === undefined) {
        return "";
    }
    const { mean, interval, isSeen } = difference;
    if (interval === undefined) {
        return `${formatSigned(mean)}, too few seeds to tell`;
    }
    const bounds = `${formatSigned(mean)} (${formatSigned(interval[0])} to ${formatSigned(interval[1])})`;
    return isSeen ? bounds : `${bounds}, no difference seen`;
}

function formatSigned(value: number): string {
    return `${value < 0 ? "" : "+"}${value.toFixed(fractionDigits)}`;
}
