import { expect } from "chai";
import { Invariants } from "../invariants.js";
import { freeKey, freeOrganisation } from "../organisations.js";
import type { CallerEnd } from "../soakRequest.js";
import { longAttempt } from "../texts.js";

const signalAt = 10_000;
const attempt = longAttempt("a");
const noStatus: CallerEnd = { kind: "cut", cause: "socket hang up" };
const inAnswer: CallerEnd = { ...noStatus, status: 200 };

describe("the invariant of planned stops", () => {
    const isViolated = (name: string, sentAt: number, endedAt: number, end: CallerEnd, hasRun = true): boolean => {
        const invariants = Invariants.create();
        invariants.stops.signalled("g", signalAt);
        const request = invariants.requestSent(name, "once", "g", sentAt, freeKey);
        request.wholeAt = sentAt;
        if (hasRun) {
            invariants.runStarted({ attempt: name, organisation: freeOrganisation, key: undefined }, "s", sentAt)(
                endedAt,
            );
        }
        invariants.requestEnded(request, end, endedAt);
        return invariants.checkRequests().some(({ invariant }) => invariant === "no request is cut off");
    };

    // Guards against planned stops that cut what they took late, or without a status.
    it("is violated by a request that came late, that has no status, or that ended before the end of the grace period", () => {
        expect(isViolated(attempt, signalAt + 3_001, signalAt + 7_400, inAnswer)).to.equal(true);
        expect(isViolated(attempt, signalAt + 2_000, signalAt + 7_400, noStatus)).to.equal(true);
        expect(isViolated(attempt, signalAt + 2_000, signalAt + 5_000, inAnswer)).to.equal(true);
        expect(isViolated(attempt, signalAt + 4_000, signalAt + 4_600, noStatus, false)).to.equal(true);
        expect(isViolated("a1", signalAt + 2_000, signalAt + 7_400, inAnswer)).to.equal(true);
    });

    it("allows an answer that began early to be broken off at the end, and a request to cross the closing of its connection", () => {
        expect(isViolated(attempt, signalAt + 3_000, signalAt + 7_400, inAnswer)).to.equal(false);
        expect(isViolated(attempt, signalAt + 4_000, signalAt + 4_100, noStatus, false)).to.equal(false);
    });
});
