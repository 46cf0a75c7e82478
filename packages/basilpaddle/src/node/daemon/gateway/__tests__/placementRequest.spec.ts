import { expect } from "chai";
import { route } from "../../../coordination/gateway/__tests__/fakes.js";
import type { CallerRequest } from "../callerRequest.js";
import { placementRequest } from "../placementRequest.js";

const gateway = { name: "g", failureDomain: "a" };

/** A request of the given age with a deadline of 14 s, whose answer has begun or not. */
function request(age: number, begun: boolean): CallerRequest {
    const metadata = {
        attempt: "r",
        deadlineWithin: 14_000,
        promptTokens: 3_000,
        maxTokens: 1_000,
        expectedTokens: 800,
    };
    const remainingTime = 14_000 - age;
    const common = {
        attempt: "r",
        metadata,
        route: route({ target: 900 }),
        age: () => age,
        remainingTime: () => remainingTime,
    };
    return { ...common, hasAnswerBegun: () => begun } as unknown as CallerRequest;
}

describe("the placement request", () => {
    it("asks for room for the prompt and the expected answer, within the target and the caller's timeout", () => {
        const placement = placementRequest(request(100, false), "pool", gateway, []);
        expect(placement).to.include({ cacheTokens: 3_800, targetWithin: 800, patienceWithin: 3_500, resumed: false });
    });

    // Guards against cutting resumable streams that are more than four seconds old when their engine crashes: the placement
    // for resuming was refused since the caller's timeout had passed. That was the timeout of the first event, though the
    // caller had received events and was waiting for the next one.
    it("uses the timeout of the next event if the answer has begun", () => {
        const placement = placementRequest(request(6_000, true), "pool", gateway, []);
        expect(placement).to.include({ patienceWithin: 2_000, resumed: true });
        expect(placementRequest(request(13_000, true), "pool", gateway, []).patienceWithin).to.equal(1_000);
    });
});
