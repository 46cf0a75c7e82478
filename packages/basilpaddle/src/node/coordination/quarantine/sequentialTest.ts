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

/** State of the test after all observations. */
export type TestResult = {
    /** Logarithm of the likelihood ratio, guilty against innocent; above 0 the part is suspected. */
    readonly suspicion: number;
    /** Number of times that the part was found guilty after the quarantine before had ended; 0 if it is innocent now. */
    readonly convictions: number;
    /** End of the quarantine, on the clock of the observations; `-Infinity` if there is none. */
    readonly quarantinedUntil: number;
};

/** State of the test after some observations. */
type TestState = {
    suspicion: number;
    convictions: number;
    quarantinedUntil: number;
    lastCrashAt: number;
    readonly requests: Set<string>;
};

/** Factor by which each further conviction lengthens the quarantine. */
const growthFactor = 4;

/**
 * Wald's sequential probability ratio test of whether a part of prompts crashes engines. The order of the observations in time
 * counts, not that of their arrival, so that all daemons come to the same result.
 */
export class SequentialTest {
    private readonly crashWeight: number;
    private readonly answerWeight: number;
    private readonly limit: number;
    private readonly minSuspicion: number;

    private constructor(private readonly rules: PromptPartRules, private readonly firstHold: number) {
        const { guiltyCrashRate, innocentCrashRate, likelihoodRatio, countedAnswers } = rules;
        this.crashWeight = Math.log(guiltyCrashRate / innocentCrashRate);
        this.answerWeight = Math.log((1 - guiltyCrashRate) / (1 - innocentCrashRate));
        this.limit = Math.log(likelihoodRatio);
        this.minSuspicion = this.answerWeight * countedAnswers;
    }

    /** `firstHold`: duration of the first quarantine in milliseconds. */
    static create(rules: PromptPartRules, firstHold: number): SequentialTest {
        return new SequentialTest(rules, firstHold);
    }

    /** Evaluates observations, which may be in any order. */
    evaluate(observations: readonly Observation[]): TestResult {
        const state: TestState = {
            suspicion: 0,
            convictions: 0,
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
        const { suspicion, convictions, quarantinedUntil } = state;
        return { suspicion, convictions, quarantinedUntil };
    }

    private addAnswer(state: TestState): void {
        state.suspicion = Math.max(this.minSuspicion, state.suspicion + this.answerWeight);
        if (state.suspicion <= 0) {
            state.convictions = 0;
            state.quarantinedUntil = -Infinity;
        }
    }

    private addCrash(state: TestState, crash: ObservedCrash): void {
        const { at, request } = crash;
        if (at - state.lastCrashAt < this.rules.simultaneous) {
            return;
        }
        state.lastCrashAt = at;
        state.suspicion += this.weightOf(crash, request !== undefined && state.requests.has(request));
        if (request !== undefined) {
            state.requests.add(request);
        }
        if (state.suspicion >= this.limit && at > state.quarantinedUntil) {
            state.quarantinedUntil = at + this.firstHold * growthFactor ** state.convictions;
            state.convictions += 1;
        }
    }

    private weightOf({ phase, share }: ObservedCrash, isRepeated: boolean): number {
        const { lateWeight, repeatedWeight, innocentCrashRate } = this.rules;
        const rarity = share === undefined ? 1 : Math.min(1, Math.log(share) / Math.log(innocentCrashRate));
        return this.crashWeight * rarity * (phase === "early" ? 1 : lateWeight) * (isRepeated ? repeatedWeight : 1);
    }
}
