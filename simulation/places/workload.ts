import { type Randomness, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** A span in which requests come at so many times the usual rate. */
export type Burst = { readonly at: number; readonly lasts: number; readonly times: number; };

/** Requests of one pool, as its operators describe them. */
export type Workload = {
    /** Usual requests a second. */
    readonly rate: number;
    /** Milliseconds of the whole. */
    readonly length: number;
    readonly bursts: readonly Burst[];
    /** Mean tokens of a prompt, and the spread of its logarithm. */
    readonly promptTokens: number;
    readonly promptSpread: number;
    readonly mostPromptTokens: number;
    /** Requests of another kind among them, whose prompts are longer. */
    readonly longPrompts?: { readonly part: number; readonly tokens: number; };
    /** Mean tokens of an answer, and the spread of its logarithm. */
    readonly answerTokens: number;
    readonly answerSpread: number;
    readonly mostAnswerTokens: number;
    /** Spread of the logarithm of the callers' guess of their answers' tokens. */
    readonly guessSpread: number;
    /** Milliseconds from the first attempt to the first event that are in time. */
    readonly target: number;
};

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
