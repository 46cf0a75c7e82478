import type { RelativeSpeeds } from "./poolSpeeds.js";

/** What a score is computed from, for one engine that has room for the run. */
export type ScoredLoad = {
    readonly id: string;
    /** Relative to the pool's median. */
    readonly speed: number;
    readonly runs: number;
    readonly allocatedTokens: number;
    /** Expected tokens that its runs have still to write. */
    readonly remainingTokens: number;
};

/** The run to be placed. */
export type ScoredRun = { readonly attempt: string; readonly answerTokens: number; readonly cacheTokens: number; };

/** Times of a pool: milliseconds per token at an engine of median speed without other runs, and its growth with each run. */
export type TokenTimes = Pick<RelativeSpeeds, "growth" | "meanSpeed"> & {
    readonly tokenTime: number;
    /** Tokens of KV cache that may be allocated at each engine. */
    readonly capacityTokens: number;
};

/** Scores the decode engines of a pool with uneven speeds. */
export abstract class EngineScore {
    /** Score penalties in milliseconds in the order of the engines; the lowest is the best. */
    abstract penalties(engines: readonly ScoredLoad[], run: ScoredRun, times: TokenTimes): readonly number[];
}

/** Milliseconds per token at an engine with the given number of runs. */
export function tokenTimeAt(
    { speed }: Pick<ScoredLoad, "speed">,
    runs: number,
    { tokenTime, growth }: TokenTimes,
): number {
    return tokenTime / speed * Math.exp(growth * runs);
}
