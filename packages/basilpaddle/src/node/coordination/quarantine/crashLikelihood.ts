import type { CrashPhase, PromptPartRules } from "../../protocol/index.js";

/** A crash under a part of prompts; `request`: digest of the request that ran; `share`: share of the prompts that hold the part. */
export type ObservedCrash = {
    readonly kind: "crash";
    readonly at: number;
    readonly phase: CrashPhase;
    readonly request: string | undefined;
    readonly share: number | undefined;
};

/** One observation of a part of prompts: a crash under it, or an answer begun on it. */
export type Observation = ObservedCrash | { readonly kind: "begun"; readonly at: number; };

/** What all observations of a part show. */
export type PartLikelihood = {
    /** Logarithm of the likelihood ratio, harmful against harmless; above 0 the part is suspected. */
    readonly logRatio: number;
    /** Number of quarantines, each after the one before had ended; 0 if the part is harmless by now. */
    readonly quarantineCount: number;
    /** End of the quarantine, on the clock of the observations; `-Infinity` if there is none. */
    readonly quarantinedUntil: number;
};

/** What some of the observations show. */
type LikelihoodState = {
    logRatio: number;
    quarantineCount: number;
    quarantinedUntil: number;
    lastCrashAt: number;
    readonly requests: Set<string>;
};

/** Factor by which each further quarantine is longer. */
const quarantineGrowthFactor = 4;

/**
 * Wald's sequential probability ratio test of whether a part of prompts crashes engines. The order of the observations in time
 * counts, not that of their arrival, so that all daemons come to the same result.
 */
export class CrashLikelihood {
    private readonly crashWeight: number;
    private readonly answerWeight: number;
    private readonly limit: number;
    private readonly minLogRatio: number;

    private constructor(private readonly rules: PromptPartRules, private readonly firstHold: number) {
        const { harmfulCrashRate, harmlessCrashRate, likelihoodRatio, countedAnswers } = rules;
        this.crashWeight = Math.log(harmfulCrashRate / harmlessCrashRate);
        this.answerWeight = Math.log((1 - harmfulCrashRate) / (1 - harmlessCrashRate));
        this.limit = Math.log(likelihoodRatio);
        this.minLogRatio = this.answerWeight * countedAnswers;
    }

    /** `firstHold`: duration of the first quarantine in milliseconds. */
    static create(rules: PromptPartRules, firstHold: number): CrashLikelihood {
        return new CrashLikelihood(rules, firstHold);
    }

    /** Evaluates observations, which may be in any order. */
    evaluate(observations: readonly Observation[]): PartLikelihood {
        const state: LikelihoodState = {
            logRatio: 0,
            quarantineCount: 0,
            quarantinedUntil: -Infinity,
            lastCrashAt: -Infinity,
            requests: new Set(),
        };
        for (const observation of [...observations].sort((one, other) => one.at - other.at)) {
            if (observation.kind === "begun") {
                this.addAnswer(state);
            }
            else {
                this.addCrash(state, observation);
            }
        }
        const { logRatio, quarantineCount, quarantinedUntil } = state;
        return { logRatio, quarantineCount, quarantinedUntil };
    }

    private addAnswer(state: LikelihoodState): void {
        state.logRatio = Math.max(this.minLogRatio, state.logRatio + this.answerWeight);
        if (state.logRatio <= 0) {
            state.quarantineCount = 0;
            state.quarantinedUntil = -Infinity;
        }
    }

    private addCrash(state: LikelihoodState, crash: ObservedCrash): void {
        const { at, request } = crash;
        if (at - state.lastCrashAt < this.rules.simultaneous) {
            return;
        }
        state.lastCrashAt = at;
        state.logRatio += this.weightOf(crash, request !== undefined && state.requests.has(request));
        if (request !== undefined) {
            state.requests.add(request);
        }
        if (state.logRatio >= this.limit && at > state.quarantinedUntil) {
            state.quarantinedUntil = at + this.firstHold * quarantineGrowthFactor ** state.quarantineCount;
            state.quarantineCount += 1;
        }
    }

    private weightOf({ phase, share }: ObservedCrash, isRepeated: boolean): number {
        const { lateWeight, repeatedWeight, harmlessCrashRate } = this.rules;
        const rarity = share === undefined ? 1 : Math.min(1, Math.log(share) / Math.log(harmlessCrashRate));
        return this.crashWeight * rarity * (phase === "early" ? 1 : lateWeight) * (isRepeated ? repeatedWeight : 1);
    }
}
