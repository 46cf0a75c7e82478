import { expect } from "chai";
import { prefillTimeout } from "../prefilledPrompt.js";

const usualRequest = { remainingTime: () => 14_000, metadata: { promptTokens: 3_200 } };

// Guards against late requests at an unresponsive engine while others are idle: its connections stay open without an answer,
// and the prefill of any prompt timed out only after a second.
describe("the prefill timeout", () => {
    it("leaves time for the prefill of a usual prompt at another engine before its target", () => {
        const forecast = 120;
        expect(prefillTimeout(usualRequest, forecast) + 2 * forecast).to.be.below(900);
    });

    it("is longer if prompts queue, and never exceeds the maximum or the remaining time", () => {
        expect(prefillTimeout(usualRequest, 230)).to.be.above(prefillTimeout(usualRequest, 120));
        expect(prefillTimeout(usualRequest, 2_000)).to.equal(prefillTimeout(usualRequest, undefined));
        expect(prefillTimeout({ ...usualRequest, remainingTime: () => 90 }, 120)).to.equal(90);
    });

    it("tolerates an engine that takes four times as long as forecast", () => {
        expect(prefillTimeout(usualRequest, 112)).to.be.above(4 * 112);
    });
});
