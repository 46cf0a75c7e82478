import { expect } from "chai";
import { RunRejections } from "../runRejections.js";

// Guards against prefill engines that are paused in turn during a burst, so that most answers are late: some decode engines
// become slow and stay full, and each run that they reject is blamed on its prefill engine. The response doesn't say
// whether the decode engine is full or the KV cache isn't available.
describe("blame for a rejected run", () => {
    it("falls on a decode engine that rejects runs of several prefill engines", () => {
        const rejections = RunRejections.create();
        const faultyEngines = ["p1", "p2", "p3", "p1"].map((prefill, at) =>
            rejections.recordRejection(prefill, "full", at)
        );
        expect(faultyEngines).to.deep.equal(["full", "full", "full", "full"]);
    });

    it("falls on a prefill engine whose runs are rejected by several decode engines", () => {
        const rejections = RunRejections.create();
        const faultyEngines = ["d1", "d2", "d3"].map((decode, at) =>
            rejections.recordRejection("expiring", decode, at)
        );
        expect(faultyEngines).to.deep.equal(["d1", "expiring", "expiring"]);
    });

    it("falls on the decode engine if it ran the prefill itself", () => {
        expect(RunRejections.create().recordRejection(undefined, "d", 0)).to.equal("d");
    });

    it("doesn't count rejections older than the window", () => {
        const rejections = RunRejections.create();
        rejections.recordRejection("expiring", "d1", 0);
        expect(rejections.recordRejection("expiring", "d2", 5_000)).to.equal("d2");
    });
});
