import type { Day } from "../places/day.js";
import type { PoolOutcome } from "../places/outcome.js";
import { type Difference, differenceOf, meanOf } from "./difference.js";
import type { Player, Task } from "./player.js";
import type { Variant } from "./variant.js";

/** Figures of an outcome that variants are compared by; of the longest tenth of the prompts and third of the answers, those in time. */
export const measures = [
    "worth",
    "worstWindows",
    "inTime",
    "late",
    "unserved",
    "lost",
    "readAgain",
    "turnedAway",
    "longPrompts",
    "longAnswers",
] as const;
/** A figure of an outcome. */
export type Measure = typeof measures[number];

/** What is played: each day under each variant with each seed. */
export type Experiment = {
    readonly days: readonly { readonly name: string; readonly day: Day; }[];
    /** The first one is what the others are measured against. */
    readonly variants: readonly Variant[];
    readonly seeds: readonly number[];
};

/** One measure of one day under one variant. */
export type Comparison = {
    readonly day: string;
    readonly variant: string;
    readonly measure: Measure;
    readonly mean: number;
    /** To the first variant, pair by pair; undefined for that one itself. */
    readonly difference: Difference | undefined;
};

/** Plays an experiment and compares its variants. */
export async function playExperiment(
    { days, variants, seeds }: Experiment,
    player: Player,
    onPlayed: () => void = () => undefined,
): Promise<readonly Comparison[]> {
    const tasks = days.flatMap(({ day }) => {
        return variants.flatMap(variant => seeds.map((seed): Task => ({ day, variant, seed })));
    });
    const outcomes = await player.play(tasks, onPlayed);
    return days.flatMap(({ name }, dayNumber) => {
        const first = dayNumber * variants.length * seeds.length;
        const byVariant = variants.map((_, number) => {
            return outcomes.slice(first + number * seeds.length, first + (number + 1) * seeds.length);
        });
        return variants.flatMap((variant, number) => {
            return measures.map(measure => compare(name, variant, measure, byVariant[0]!, byVariant[number]!));
        });
    });
}

function compare(
    day: string,
    variant: Variant,
    measure: Measure,
    before: readonly PoolOutcome[],
    after: readonly PoolOutcome[],
): Comparison {
    const of = (outcomes: readonly PoolOutcome[]): number[] => outcomes.map(outcome => valueOf(outcome, measure));
    return {
        day,
        variant: variant.name,
        measure,
        mean: meanOf(of(after)),
        difference: before === after ? undefined : differenceOf(of(before), of(after)),
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
