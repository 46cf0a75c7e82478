import { type Randomness, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Workload } from "./day.js";

/** One caller's request. */
export type EmulatedRequest = {
    readonly name: string;
    readonly at: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly guessedTokens: number;
};

/** Tokens of answer count as much as so many of a prompt in a request's worth. */
const answerWeight = 10;
const fixedWorth = 0.3;
const millisecondsInSecond = 1_000;

/** Draws all requests of a workload; the same seed gives the same. */
export function drawRequests(workload: Workload, seed: number): EmulatedRequest[] {
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
        const answer = spread(random, answerTokens, answerSpread, mostAnswerTokens);
        requests.push({
            name: `r-${requests.length}`,
            at,
            promptTokens: spread(random, promptTokens, promptSpread, mostPromptTokens),
            answerTokens: answer,
            guessedTokens: Math.round(answer * Math.exp(workload.guessSpread * normal(random))),
        });
    }
}

/** What a request is worth in time, against a mean one of the workload. */
export function worth(request: EmulatedRequest, workload: Workload): number {
    const size = request.promptTokens + answerWeight * request.answerTokens;
    return fixedWorth + (1 - fixedWorth) * size / (workload.promptTokens + answerWeight * workload.answerTokens);
}

function spread(random: Randomness, mean: number, deviation: number, most: number): number {
    const drawn = mean * Math.exp(deviation * normal(random) - deviation * deviation / 2);
    return Math.max(1, Math.round(Math.min(most, drawn)));
}

function normal(random: Randomness): number {
    return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
}
