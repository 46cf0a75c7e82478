import type { Day } from "../places/day.js";
import type { PoolOutcome } from "../places/outcome.js";
import { type Difference, differenceOf, meanOf } from "./difference.js";
import type { Task, TaskRunner } from "./taskRunner.js";
import type { Variant } from "./variant.js";

/**
 * Metrics of an outcome by which variants are compared. `longPrompts` and `longAnswers` are the fractions of requests in time
 * among the longest tenth of the prompts and the longest third of the answers.
 */
export const measures = [
    "worth",
    "worstWindows",
    "inTime",
    "late",
    "unserved",
    "lost",
    "finish",
    "readAgain",
    "turnedAway",
    "longPrompts",
    "longAnswers",
] as const;
/** A metric of an outcome. */
export type Measure = typeof measures[number];

/** An experiment: simulates every day under every variant with every seed. */
export type Experiment = {
    readonly days: readonly { readonly name: string; readonly day: Day; }[];
    /** The first one is the baseline of the comparisons. */
    readonly variants: readonly Variant[];
    readonly seeds: readonly number[];
};

/** One metric of one day under one variant. */
export type Comparison = {
    readonly day: string;
    readonly variant: string;
    readonly measure: Measure;
    readonly mean: number;
    /** Difference from the baseline, paired by seed; undefined for the baseline itself. */
    readonly difference: Difference | undefined;
};

/** Runs an experiment and compares its variants with the baseline. `onTaskDone` is called after each simulated day. */
export async function runExperiment(
    { days, variants, seeds }: Experiment,
    runner: TaskRunner,
    onTaskDone: () => void = () => undefined,
): Promise<readonly Comparison[]> {
    const tasks = days.flatMap(({ day }) => {
        return variants.flatMap(variant => seeds.map((seed): Task => ({ day, variant, seed })));
    });
    const outcomes = await runner.run(tasks, onTaskDone);
    return days.flatMap(({ name }, dayIndex) => {
        const dayOffset = dayIndex * variants.length * seeds.length;
        const outcomesByVariant = variants.map((_, variantIndex) => {
            return outcomes.slice(
                dayOffset + variantIndex * seeds.length,
                dayOffset + (variantIndex + 1) * seeds.length,
            );
        });
        return variants.flatMap((variant, variantIndex) => {
            return measures.map(measure =>
                compare(name, variant, measure, outcomesByVariant[0]!, outcomesByVariant[variantIndex]!)
            );
        });
    });
}

function compare(
    day: string,
    variant: Variant,
    measure: Measure,
    baselineOutcomes: readonly PoolOutcome[],
    variantOutcomes: readonly PoolOutcome[],
): Comparison {
    const valuesOf = (outcomes: readonly PoolOutcome[]): number[] => outcomes.map(outcome => valueOf(outcome, measure));
    return {
        day,
        variant: variant.name,
        measure,
        mean: meanOf(valuesOf(variantOutcomes)),
        difference: baselineOutcomes === variantOutcomes
            ? undefined
            : differenceOf(valuesOf(baselineOutcomes), valuesOf(variantOutcomes)),
    };
}

function valueOf(outcome: PoolOutcome, measure: Measure): number {
    switch (measure) {
        case "longPrompts":
            return outcome.byPrompt[2];
        case "longAnswers":
            return outcome.bySize[2];
        default:
            return outcome[measure];
    }
}
