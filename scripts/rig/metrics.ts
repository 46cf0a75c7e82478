import type { Arrival } from "./deployments.js";

/** Result of one request. */
export type Outcome = {
    readonly arrival: Arrival;
    readonly end: "answered" | "refused" | "failed" | "cancelled" | "lost" | "open";
    /** Milliseconds to the first token, and the mean time of each later token. */
    readonly firstToken: number | undefined;
    readonly perToken: number | undefined;
    /** Milliseconds from arrival to a refusal. */
    readonly refusedAfter: number | undefined;
};

/** A prefill whose result produced no first token. */
export type WastedPrefill = { readonly reason: string; readonly tokens: number; readonly milliseconds: number; };

/** Metrics of one run. Ratios are between 0 and 1. */
export type RunMetrics = {
    readonly requests: number;
    readonly good: number;
    readonly goodput: number;
    readonly answered: number;
    readonly refused: number;
    readonly refusedLate: number;
    readonly failed: number;
    readonly wasted: number;
    readonly wastedTokens: number;
    readonly wasteReasons: Readonly<Record<string, number>>;
    readonly idlePrefill: number;
    readonly idleSlots: number;
    readonly fairness: number;
    readonly firstTokenP50: number;
    readonly firstTokenP99: number;
    /** Tokens per second of answers that met both targets. Unlike goodput, refusing long answers doesn't raise it. */
    readonly goodTokens: number;
};

/** Milliseconds after which a refusal counts as late. */
const lateRefusalDelay = 500;
/** Organisations with fewer requests are excluded from fairness: a single request would change the result too much. */
const minComparedRequests = 40;

/** Computes the metrics of one run. */
export function computeMetrics(
    outcomes: readonly Outcome[],
    wastedPrefills: readonly WastedPrefill[],
    run: {
        readonly targets: { readonly firstToken: number; readonly perToken: number; };
        readonly milliseconds: number;
        /** Milliseconds of prefill over the whole run; wasted time is given as a ratio of it. */
        readonly prefillBusy: number;
        readonly idlePrefill: number;
        readonly idleSlots: number;
    },
): RunMetrics {
    const isGood = (outcome: Outcome): boolean =>
        outcome.end === "answered"
        && (outcome.firstToken ?? Infinity) <= run.targets.firstToken
        && (outcome.perToken ?? Infinity) <= run.targets.perToken;
    // Requests that their callers cancelled don't measure the policy, whatever their result.
    const counted = outcomes.filter(outcome => outcome.arrival.cancelsAt === undefined || outcome.end === "answered");
    const good = counted.filter(isGood);
    const count = (end: Outcome["end"]): number => counted.filter(outcome => outcome.end === end).length;
    const firstTokens = counted.flatMap(outcome => outcome.firstToken ?? []).sort((one, other) => one - other);
    const timeByReason: Record<string, number> = {};
    for (const waste of wastedPrefills) {
        timeByReason[waste.reason] = (timeByReason[waste.reason] ?? 0)
            + waste.milliseconds / Math.max(1, run.prefillBusy);
    }
    return {
        requests: counted.length,
        good: good.length,
        goodput: good.length / counted.length,
        answered: count("answered"),
        refused: count("refused"),
        refusedLate: counted.filter(outcome => (outcome.refusedAfter ?? 0) > lateRefusalDelay).length,
        failed: count("failed") + count("lost"),
        wasted: wastedPrefills.reduce((sum, waste) => sum + waste.milliseconds, 0) / Math.max(1, run.prefillBusy),
        wastedTokens: wastedPrefills.reduce((sum, waste) => sum + waste.tokens, 0),
        wasteReasons: timeByReason,
        idlePrefill: run.idlePrefill,
        idleSlots: run.idleSlots,
        fairness: fairness(counted, isGood),
        firstTokenP50: firstTokens[Math.floor(firstTokens.length / 2)] ?? NaN,
        firstTokenP99: firstTokens[Math.floor(firstTokens.length * 0.99)] ?? NaN,
        goodTokens: 1_000 * good.reduce((sum, outcome) => sum + outcome.arrival.outputTokens, 0) / run.milliseconds,
    };
}

/**
 * Lowest ratio of requests served well to the organisation's max-min fair share: an equal share of all that were served well, or
 * everything that the organisation requested if that is less.
 */
function fairness(outcomes: readonly Outcome[], isGood: (outcome: Outcome) => boolean): number {
    const requested = new Map<string, number>();
    const served = new Map<string, number>();
    for (const outcome of outcomes) {
        const { organisation } = outcome.arrival;
        requested.set(organisation, (requested.get(organisation) ?? 0) + 1);
        served.set(organisation, (served.get(organisation) ?? 0) + (isGood(outcome) ? 1 : 0));
    }
    let remainingServed = [...served.values()].reduce((sum, count) => sum + count, 0);
    let remainingOrganisations = [...requested.entries()].sort((one, other) => one[1] - other[1]);
    let minRatio = 1;
    while (remainingOrganisations.length > 0) {
        const [organisation, demand] = remainingOrganisations[0]!;
        const fairShare = Math.min(demand, remainingServed / remainingOrganisations.length);
        remainingServed -= fairShare;
        remainingOrganisations = remainingOrganisations.slice(1);
        if (demand >= minComparedRequests) {
            minRatio = Math.min(minRatio, (served.get(organisation) ?? 0) / fairShare);
        }
    }
    return minRatio;
}

/** Computes median, minimum and maximum. */
export function spread(
    values: readonly number[],
): { readonly median: number; readonly min: number; readonly max: number; } {
    const sorted = [...values].sort((one, other) => one - other);
    return { median: sorted[Math.floor(sorted.length / 2)]!, min: sorted[0]!, max: sorted.at(-1)! };
}
