import { expect } from "chai";
import { route } from "../../../coordination/gateway/__tests__/fakes.js";
import type { CallerRequest } from "../callerRequest.js";
import { placeDemand } from "../placeDemand.js";

const gateway = { name: "g", failureDomain: "a" };

/** A request of the age, 14 s long at the most, whose answer has begun or not. */
function request(age: number, begun: boolean): CallerRequest {
    const facts = { attempt: "r", deadlineWithin: 14_000, promptTokens: 3_000, maxTokens: 1_000, expectedTokens: 800 };
    const left = 14_000 - age;
    const parts = { attempt: "r", facts, route: route({ target: 900 }), age: () => age, left: () => left };
    return { ...parts, hasBegun: () => begun } as unknown as CallerRequest;
}

describe("what a request needs of a pool", () => {
    it("is room for its prompt and its likely answer, within its target and its caller's patience", () => {
        const demand = placeDemand(request(100, false), "pool", gateway, []);
        expect(demand).to.include({ cacheTokens: 3_800, targetWithin: 800, patienceWithin: 3_500, resumed: false });
    });

    // Symptom: streams that may go on elsewhere are cut when their engine crashes, once they are four seconds old.
    // Sequence: the run is lost; the request asks for a place, and is told that its caller's patience is over.
    // Cause: the patience for the first event was counted, though the caller has had events and waits for the next.
    it("is a place within the patience for the next event, where the answer has begun", () => {
        const demand = placeDemand(request(6_000, true), "pool", gateway, []);
        expect(demand).to.include({ patienceWithin: 2_000, resumed: true });
        expect(placeDemand(request(13_000, true), "pool", gateway, []).patienceWithin).to.equal(1_000);
    });
});
