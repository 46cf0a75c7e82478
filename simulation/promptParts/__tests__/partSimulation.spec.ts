import { expect } from "chai";
import { partDays } from "../day.js";
import { type PartOutcome, simulateParts } from "../partSimulation.js";
import { ways } from "../ways.js";

const seeds = [1, 2, 3, 4, 5];
/** Engines that may end under one part, requests with it that may come late, and the share of harmless ones that must go on. */
const maxCrashes = 8;
const maxLate = 3;
const minBegun = 0.9;
/** Difference that is noise in the share of the harmless requests that begin. */
const noise = 0.01;

function simulate(day: string, way: keyof typeof ways): PartOutcome[] {
    return seeds.map(seed => simulateParts(partDays[day]!, ways[way]!, seed));
}

const meanBegun = (outcomes: readonly PartOutcome[]): number =>
    outcomes.reduce((sum, { begun }) => sum + begun, 0) / outcomes.length;

// Guards against parts of prompts that crash one engine after the other, and against harmless requests that are refused for them.
describe("emulated days with a part of prompts that crashes engines", function() {
    this.timeout(30_000);

    for (
        const day of [
            "usual",
            "slow",
            "poisonFirst",
            "twoParts",
            "sometimes",
            "afterTwoEvents",
            "oneFirstPart",
            "besideOthers",
        ]
    ) {
        it(`end few engines, and harmless requests go on: ${day}`, () => {
            for (const { crashes, late, begun } of simulate(day, "sequential")) {
                expect(crashes).to.be.within(1, maxCrashes * partDays[day]!.poisonParts);
                expect(late).to.be.at.most(maxLate);
                expect(begun).to.be.at.least(minBegun);
            }
        });
    }
});

// Guards against parts that are quarantined because engines crash of another cause.
describe("emulated days on which engines crash of another cause", function() {
    this.timeout(30_000);

    for (const day of ["noneSingle", "noneThird", "noneRolling", "noneAll"]) {
        it(`quarantine no part, and as many requests begin as without: ${day}`, () => {
            const outcomes = simulate(day, "sequential");
            expect(outcomes.map(({ wronglyQuarantined }) => wronglyQuarantined)).to.deep.equal(seeds.map(() => 0));
            expect(meanBegun(outcomes)).to.be.at.least(meanBegun(simulate(day, "wholeRequests")) - noise);
        });
    }
});
