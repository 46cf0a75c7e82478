import { expect } from "chai";
import { type Exchange, lossOf, momentOf, ServerRuns, type Stop, wasReset } from "../exchange.js";

const stop: Stop = { gateway: 0, at: 10_000, endedAt: 17_500, wasKilled: false };
const common = { attempt: "a", gateway: 0, isBeside: false, beganAt: 0, endedAt: 17_400 } as const;
const cutExchange = (sentAt: number | undefined): Exchange => ({ ...common, sentAt, ending: "noStatus" });
const longRun = { beganAt: 0, endedAt: 17_400 };

describe("the rows of planned stops", () => {
    it("tell by the signal when a request was sent whole", () => {
        const sentAt = [9_999, 13_000, 13_001, undefined];
        const moments = sentAt.map(at => momentOf(cutExchange(at), stop));
        expect(moments).to.deep.equal(["before", "within 3 s", "later", "later"]);
        expect(momentOf(cutExchange(10_500), undefined)).to.equal("not stopped");
    });

    it("count as lost what was passed on late, or early at a server that had ended by the last sixth of the grace", () => {
        expect(lossOf(cutExchange(13_001), stop, longRun)).to.equal("lost");
        expect(lossOf(cutExchange(12_000), stop, { beganAt: 0, endedAt: 16_000 })).to.equal("lost");
        expect(lossOf(cutExchange(12_000), stop, longRun)).to.equal("allowed");
    });

    // Guards against requests that count as lost since a second run of theirs ended while the first one went on.
    it("count a request as at work until the last of its runs has ended", () => {
        const runs = ServerRuns.create(9_000);
        const [endFirst, endSecond] = [runs.begin(), runs.begin()];
        endSecond(13_600);
        expect(lossOf(cutExchange(9_500), stop, runs)).to.equal("allowed");
        endFirst(14_000);
        expect(lossOf(cutExchange(9_500), stop, runs)).to.equal("lost");
    });

    it("don't count as lost what never was whole, wasn't passed on, or got an answer", () => {
        expect(lossOf(cutExchange(undefined), stop, longRun)).to.equal(undefined);
        expect(lossOf(cutExchange(14_000), stop, undefined)).to.equal(undefined);
        expect(lossOf({ ...cutExchange(14_000), ending: "unknown" }, stop, longRun)).to.equal(undefined);
    });

    it("count as reset what was sent within 2.8 s, never passed on, and got no status", () => {
        expect([9_000, 12_800, 12_801, undefined].map(at => wasReset(cutExchange(at), stop, undefined)))
            .to.deep.equal([true, true, false, false]);
        expect(wasReset(cutExchange(12_000), stop, longRun)).to.equal(false);
        expect(wasReset({ ...cutExchange(12_000), ending: "refused" }, stop, undefined)).to.equal(false);
        expect(wasReset(cutExchange(12_000), undefined, undefined)).to.equal(false);
    });
});
