import { expect } from "chai";
import { readingLimit } from "../readPrompt.js";

const usual = { left: () => 14_000, facts: { promptTokens: 3_200 } };

// Symptom: whatever is sent to an engine that has gone dark is late, though others are idle.
// Sequence: its connections stay open and it answers nothing; the reading is given up after a second, for any prompt.
describe("the time for the reading of a prompt", () => {
    it("leaves a usual prompt the time to be read elsewhere before its target", () => {
        const forecast = 120;
        expect(readingLimit(usual, forecast) + 2 * forecast).to.be.below(900);
    });

    it("is longer where prompts queue, and never longer than at the worst load", () => {
        expect(readingLimit(usual, 230)).to.be.above(readingLimit(usual, 120));
        expect(readingLimit(usual, 2_000)).to.equal(readingLimit(usual, undefined));
        expect(readingLimit({ ...usual, left: () => 90 }, 120)).to.equal(90);
    });

    it("bears an engine that is four times as slow as foreseen once", () => {
        expect(readingLimit(usual, 112)).to.be.above(4 * 112);
    });
});
