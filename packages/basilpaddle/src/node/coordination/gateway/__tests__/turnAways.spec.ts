import { expect } from "chai";
import { TurnAways } from "../turnAways.js";

// Symptom: in a burst the engines that read prompts stand still by turns, and most answers come late.
// Sequence: some decode engines turn slow and stay full; each run that they turn away is blamed on the engine that had
// read its prompt.
// Cause: the answer doesn't say whether there is no room or the KV cache can't be had.
describe("blame for a run that was turned away", () => {
    it("falls on a decode engine that turns away what several engines have read", () => {
        const turnAways = TurnAways.create();
        const blamed = ["p1", "p2", "p3", "p1"].map((prefill, at) => turnAways.blame(prefill, "full", at));
        expect(blamed).to.deep.equal(["full", "full", "full", "full"]);
    });

    it("falls on a prefill engine whose prompts several decode engines turn away", () => {
        const turnAways = TurnAways.create();
        const blamed = ["d1", "d2", "d3"].map((decode, at) => turnAways.blame("lapsing", decode, at));
        expect(blamed).to.deep.equal(["d1", "lapsing", "lapsing"]);
    });

    it("falls on the decode engine where it read the prompt itself", () => {
        expect(TurnAways.create().blame(undefined, "d", 0)).to.equal("d");
    });

    it("forgets after a while", () => {
        const turnAways = TurnAways.create();
        turnAways.blame("lapsing", "d1", 0);
        expect(turnAways.blame("lapsing", "d2", 5_000)).to.equal("d2");
    });
});
