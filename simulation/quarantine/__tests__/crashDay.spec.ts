import { expect } from "chai";
import { type CrashOutcome, type CrashPattern, CrashPlay } from "../crashDay.js";

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Three engines may end under a request, and three more runs of it may be under way or be tries. */
const mostCrashes = 6;

function days(pattern: CrashPattern, deadly: number): CrashOutcome[] {
    return seeds.map(seed => {
        return CrashPlay.play({ seed, milliseconds: 180_000, requestsPerSecond: 13, pattern, deadly });
    });
}

function part(outcomes: readonly CrashOutcome[]): number {
    const sum = (of: (outcome: CrashOutcome) => number): number => outcomes.reduce((all, one) => all + of(one), 0);
    return sum(({ innocentHeld }) => innocentHeld) / sum(({ hit }) => hit);
}

// An engine that crashes takes twenty runs along, and callers bring what they lost again, into the next crash. Where engines
// crashed in turn, a stream that went on elsewhere met three of them, 3.9, 1.4 and 1.0 s after its runs began, and was held back for
// ten minutes: `heldBack` with three servers in its line `request`. Each crash counted alike, however far the run had come.
describe("requests that are only hit by crashes", () => {
    for (const [pattern, most] of [["single", 0], ["third", 0.001], ["rolling", 0.001]] as const) {
        it(`are hardly ever held back where engines crash by themselves: ${pattern}`, function() {
            this.timeout(30_000);
            const outcomes = days(pattern, 0);
            expect(Math.max(...outcomes.map(({ hit }) => hit))).to.be.greaterThan(0);
            expect(part(outcomes)).to.be.at.most(most);
        });
    }

    it("are hardly ever held back beside requests that cause them", function() {
        this.timeout(30_000);
        expect(part(days("third", 3))).to.be.at.most(0.001);
    });
});

describe("requests that crash engines", () => {
    for (const pattern of ["none", "rolling"] as const) {
        it(`cost a few engines each, however often they come: engines crash by themselves ${pattern}`, function() {
            this.timeout(30_000);
            const crashes = days(pattern, 3).flatMap(({ crashesOfEach }) => crashesOfEach);
            expect(Math.min(...crashes)).to.be.greaterThan(0);
            expect(Math.max(...crashes)).to.be.at.most(mostCrashes);
        });
    }
});
