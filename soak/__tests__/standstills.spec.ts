import { expect } from "chai";
import { Invariants } from "../invariants.js";
import { freeKey } from "../organisations.js";
import { createPlan } from "../plan.js";

describe("the invariant of standstills", () => {
    /** A gateway stands still from 10 to 12 s. */
    const isViolated = (
        sentAt: number,
        endedAt: number,
        { kind = "resumable" as "resumable" | "once", gateway = "g", beside = "pauseGateway" } = {},
    ): boolean => {
        const invariants = Invariants.create();
        invariants.disturb("standStill", 10_000)(12_000);
        invariants.disturb(beside, 10_000)(12_000);
        invariants.standstills.begun("g", 10_000)(12_000);
        const request = invariants.requestSent("a", kind, gateway, sentAt, freeKey);
        invariants.requestEnded(request, { kind: "cut", cause: "cut", status: 200 }, endedAt);
        return invariants.checkRequests().some(({ invariant }) => invariant === "a standstill breaks no stream off");
    };

    // Guards against streams that are let off since their gateway stood still, though their engine went on.
    it("is violated by a stream that is broken off at a gateway that stood still and runs again", () => {
        expect(isViolated(9_900, 12_010)).to.equal(true);
    });

    it("allows what the limit ended, what stood still until shortly before it, and what another fault may have cut", () => {
        expect(isViolated(9_900, 14_890)).to.equal(false);
        expect(isViolated(7_900, 12_010)).to.equal(false);
        expect(isViolated(9_900, 12_010, { beside: "crashBackend" })).to.equal(false);
        expect(isViolated(9_900, 12_010, { gateway: "h" })).to.equal(false);
        expect(isViolated(9_900, 12_010, { kind: "once" })).to.equal(false);
    });

    it("is tried by plans that have standstills beside their other faults, which stay the same", () => {
        const { faults } = createPlan(4, { standstills: 3 });
        expect(faults.filter(({ kind }) => kind !== "standStill")).to.deep.equal(createPlan(4).faults);
        const standstills = faults.filter(({ kind }) => kind === "standStill");
        expect(standstills).to.have.length(3);
        expect(standstills.every(({ lasts }) => lasts >= 1_300 && lasts <= 3_000)).to.equal(true);
    });
});
