import { EngineScore, type ScoredLoad, type ScoredRun, tokenTimeAt, type TokenTimes } from "./engineScore.js";

/**
 * Weight of the time for which runs occupy their engines, against the time to the first event. A longer run delays first
 * events only by the KV cache that it holds, and only while requests wait for it.
 */
const occupationWeight = 0.05;
/**
 * Score penalty of a full engine over an empty one. It is higher than among equal engines: a fast engine would otherwise be
 * filled to its last token before a slow one is used, and preempt runs whose answers are longer than expected.
 */
const loadPenaltyMilliseconds = 180;

/** Scores engines by the expected end of the run there, and by the delay that it adds to the runs beside it. */
export class CompletionScore extends EngineScore {
    static create(): CompletionScore {
        return new CompletionScore();
    }

    override penalties(engines: readonly ScoredLoad[], run: ScoredRun, times: TokenTimes): readonly number[] {
        return engines.map(engine => {
            const occupation = completionTime(engine, run, times) + addedDelay(engine, times);
            const load = engine.allocatedTokens / Math.max(1, times.capacityTokens);
            return occupationWeight * occupation + loadPenaltyMilliseconds * load;
        });
    }
}

/** Expected milliseconds of a run at an engine, beside its present runs. */
export function completionTime(engine: ScoredLoad, run: ScoredRun, times: TokenTimes): number {
    return run.answerTokens * tokenTimeAt(engine, engine.runs + 1, times);
}

/** Milliseconds by which a further run delays those of the engine, over all of them. */
function addedDelay(engine: ScoredLoad, times: TokenTimes): number {
    const { runs, remainingTokens } = engine;
    return remainingTokens * (tokenTimeAt(engine, runs + 1, times) - tokenTimeAt(engine, runs, times));
}
