import { type Randomness, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Workload } from "./day.js";

/** A generated request. */
export type EmulatedRequest = {
    readonly name: string;
    readonly at: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly estimatedAnswerTokens: number;
};

/** Prompt tokens that one answer token counts as in the worth of a request. */
const answerTokenWeight = 10;
const fixedWorthFraction = 0.3;
const millisecondsInSecond = 1_000;

/** Generates all requests of a workload, with exponential intervals. Deterministic for a given seed. */
export function generateRequests(workload: Workload, seed: number): EmulatedRequest[] {
    const random = SeededRandomness.create(seed);
    const requests: EmulatedRequest[] = [];
    for (let at = 0;;) {
        const times = workload.bursts.find(burst => burst.at <= at && at < burst.at + burst.lasts)?.times ?? 1;
        at += -Math.log(1 - random.fraction()) * millisecondsInSecond / (workload.rate * times);
        if (at >= workload.length) {
            return requests;
        }
        const { promptSpread, mostPromptTokens, answerTokens, answerSpread, mostAnswerTokens, longPrompts } = workload;
        const isLong = longPrompts !== undefined && random.fraction() < longPrompts.part;
        const promptTokens = isLong ? longPrompts.tokens : workload.promptTokens;
        const answer = logNormalSample(random, answerTokens, answerSpread, mostAnswerTokens);
        requests.push({
            name: `r-${requests.length}`,
            at,
            promptTokens: logNormalSample(random, promptTokens, promptSpread, mostPromptTokens),
            answerTokens: answer,
            estimatedAnswerTokens: Math.round(answer * Math.exp(workload.guessSpread * standardNormalSample(random))),
        });
    }
}

/** Worth of a request that is served in time, relative to a request of mean size; part of it is independent of the size. */
export function worth(request: EmulatedRequest, workload: Workload): number {
    const size = request.promptTokens + answerTokenWeight * request.answerTokens;
    return fixedWorthFraction
        + (1 - fixedWorthFraction) * size / (workload.promptTokens + answerTokenWeight * workload.answerTokens);
}

function logNormalSample(random: Randomness, mean: number, deviation: number, maxValue: number): number {
    const sample = mean * Math.exp(deviation * standardNormalSample(random) - deviation * deviation / 2);
    return Math.max(1, Math.round(Math.min(maxValue, sample)));
}

function standardNormalSample(random: Randomness): number {
    return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
}
