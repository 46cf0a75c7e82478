import { expect } from "chai";
import { type CrashOutcome, type CrashPattern, CrashSimulation } from "../crashSimulation.js";

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Three crashes quarantine a request, and three more runs of it may be in progress or follow as trials. */
const maxCrashesPerRequest = 6;

function simulateSeeds(pattern: CrashPattern, poisonRequests: number): CrashOutcome[] {
    return seeds.map(seed => {
        return CrashSimulation.simulate({
            seed,
            milliseconds: 180_000,
            requestsPerSecond: 13,
            pattern,
            poisonRequests,
        });
    });
}

function wronglyQuarantinedFraction(outcomes: readonly CrashOutcome[]): number {
    const sum = (of: (outcome: CrashOutcome) => number): number => outcomes.reduce((all, one) => all + of(one), 0);
    return sum(({ wronglyQuarantined }) => wronglyQuarantined) / sum(({ affected }) => affected);
}

// Guards against quarantining requests that didn't cause the crashes. A crashing engine loses twenty runs, and callers retry
// these into the next crash. In a rolling series of crashes, a resumed stream lost three engines, 3.9, 1.4 and 1.0 s after its
// runs started, and was quarantined for ten minutes: its log line `request` had `heldBack` with three servers. Every crash had
// the same weight, regardless of the progress of the run.
describe("requests that are only affected by crashes", () => {
    for (const [pattern, maxFraction] of [["single", 0], ["third", 0.001], ["rolling", 0.001]] as const) {
        it(`are hardly ever quarantined when engines crash independently of requests: ${pattern}`, function() {
            this.timeout(30_000);
            const outcomes = simulateSeeds(pattern, 0);
            expect(Math.max(...outcomes.map(({ affected }) => affected))).to.be.greaterThan(0);
            expect(wronglyQuarantinedFraction(outcomes)).to.be.at.most(maxFraction);
        });
    }

    it("are hardly ever quarantined when other requests cause crashes as well", function() {
        this.timeout(30_000);
        expect(wronglyQuarantinedFraction(simulateSeeds("third", 3))).to.be.at.most(0.001);
    });
});

describe("requests that crash engines", () => {
    for (const pattern of ["none", "rolling"] as const) {
        it(`crash only a few engines each, however often they are sent; independent crashes: ${pattern}`, function() {
            this.timeout(30_000);
            const crashes = simulateSeeds(pattern, 3).flatMap(({ crashesPerPoisonRequest }) => crashesPerPoisonRequest);
            expect(Math.min(...crashes)).to.be.greaterThan(0);
            expect(Math.max(...crashes)).to.be.at.most(maxCrashesPerRequest);
        });
    }
});
