import {
    CompletionScore,
    completionTime,
    EngineScore,
    type ScoredLoad,
    type ScoredRun,
    tokenTimeAt,
    type TokenTimes,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import { hashToFraction } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Penalty of a full engine over an empty one, as among equal engines. */
const loadPenaltyMilliseconds = 60;
/** Weight of the remaining work against the time to the first event. */
const workWeight = 0.05;
/** Penalty of the engines that weren't drawn; they are used only if no drawn one remains. */
const notDrawnMilliseconds = 1e6;

/** The score that is used among equal engines: allocated tokens, whatever the speed. */
class LoadScore extends EngineScore {
    override penalties(engines: readonly ScoredLoad[], _run: ScoredRun, times: TokenTimes): readonly number[] {
        return engines.map(({ allocatedTokens }) => loadPenaltyMilliseconds * allocatedTokens / times.capacityTokens);
    }
}

/** Draws two engines for each run and prefers the one with less expected remaining work. */
class TwoChoicesScore extends EngineScore {
    override penalties(engines: readonly ScoredLoad[], run: ScoredRun, times: TokenTimes): readonly number[] {
        const drawn = new Set(
            engines.map(({ id }) => ({ id, rank: hashToFraction(run.attempt + id) }))
                .sort((one, other) => one.rank - other.rank).slice(0, 2).map(({ id }) => id),
        );
        return engines.map(engine => {
            const remaining = engine.remainingTokens * tokenTimeAt(engine, engine.runs + 1, times);
            return workWeight * (remaining + completionTime(engine, run, times))
                + (drawn.has(engine.id) ? 0 : notDrawnMilliseconds);
        });
    }
}

/** Names of the scores for engines of uneven speed that experiments compare. */
export const unevenScoreNames = ["load", "completion", "twoChoices"] as const;
/** Name of a score for engines of uneven speed. */
export type UnevenScoreName = typeof unevenScoreNames[number];

/** The score with the given name. */
export function unevenScore(name: UnevenScoreName): EngineScore {
    switch (name) {
        case "load":
            return new LoadScore();
        case "completion":
            return CompletionScore.create();
        case "twoChoices":
            return new TwoChoicesScore();
    }
}
