import type { CrashPhase, PromptPartRules } from "../../protocol/index.js";

/** One observation of a part of prompts: a crash under it, or an answer begun on it. */
export type Observation =
    | { readonly kind: "crash"; readonly at: number; readonly phase: CrashPhase; readonly request: string | undefined; }
    | { readonly kind: "begun"; readonly at: number; };

/** State of the test after all observations. */
export type TestResult = {
    /** Logarithm of the likelihood ratio, guilty against innocent; above 0 the part is suspected. */
    readonly suspicion: number;
    /** Number of times that the part was found guilty after the quarantine before had ended; 0 if it is innocent now. */
    readonly convictions: number;
    /** End of the quarantine, on the clock of the observations; `-Infinity` if there is none. */
    readonly quarantinedUntil: number;
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

    /** Evaluates observations in any order. */
    evaluate(observations: readonly Observation[]): TestResult {
        const requests = new Set<string>();
        let suspicion = 0;
        let convictions = 0;
        let quarantinedUntil = -Infinity;
        let lastCrashAt = -Infinity;
        for (const observation of [...observations].sort((one, other) => one.at - other.at)) {
            const { at } = observation;
            if (observation.kind === "begun") {
                suspicion = Math.max(this.minSuspicion, suspicion + this.answerWeight);
                if (suspicion <= 0) {
                    convictions = 0;
                    quarantinedUntil = -Infinity;
                }
                continue;
            }
            if (at - lastCrashAt < this.rules.simultaneous) {
                continue;
            }
            lastCrashAt = at;
            const { request, phase } = observation;
            suspicion += this.crashWeight * (phase === "early" ? 1 : this.rules.lateWeight)
                * (request !== undefined && requests.has(request) ? this.rules.repeatedWeight : 1);
            requests.add(request ?? "");
            if (suspicion >= this.limit && at > quarantinedUntil) {
                quarantinedUntil = at + this.firstHold * growthFactor ** convictions;
                convictions += 1;
            }
        }
        return { suspicion, convictions, quarantinedUntil };
    }
}
