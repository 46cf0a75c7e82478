import { expect } from "chai";
import { arrivingRequest, requestAt } from "../waitingRequest.js";
import { typicalPlacementRequest } from "./fakes.js";

// Guards against engines that are taken for fast enough by the time that a request had left when it arrived.
describe("a request that waits for its placement", () => {
    it("has less time left for its whole answer the longer it waits", () => {
        const waiting = arrivingRequest(typicalPlacementRequest("one", { finishWithin: 5_000 }), 100);
        expect(requestAt(waiting, 1_100).finishWithin).to.equal(4_000);
    });

    it("stays as it is if it has no limit for its whole answer", () => {
        const waiting = arrivingRequest(typicalPlacementRequest("one"), 100);
        expect(requestAt(waiting, 1_100)).to.equal(waiting.request);
    });
});
