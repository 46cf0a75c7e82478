import { expect } from "chai";
import type { Allowance } from "../../../protocol/index.js";
import { AllowanceLedger } from "../allowanceLedger.js";

const allowance: Allowance = { unit: "tokens", rate: 1_000, burst: 2_000, defaultCost: 100 };

/** Milliseconds until the retries of requests that are refused at the same time. */
function retryDelays(ledger: AllowanceLedger, count: number, cost: number, now: number): number[] {
    return Array.from({ length: count }, () => {
        const decision = ledger.charge("a", allowance, cost, now);
        return decision.granted ? Number.NaN : decision.comeBackIn;
    });
}

describe("the ledger of allowances", () => {
    it("admits the burst at once, then the rate", () => {
        const ledger = AllowanceLedger.create(1);
        const admitted = (now: number): boolean => ledger.charge("a", allowance, 500, now).granted;
        expect([0, 0, 0, 0, 0].map(admitted)).to.deep.equal([true, true, true, true, false]);
        expect([1, 2, 500, 501, 502, 1_002].map(admitted)).to.deep.equal([true, false, false, true, false, true]);
    });

    it("keeps organisations apart", () => {
        const ledger = AllowanceLedger.create(1);
        expect(ledger.charge("a", allowance, 2_000, 0).granted).to.equal(true);
        expect(ledger.charge("a", allowance, 1, 0).granted).to.equal(false);
        expect(ledger.charge("b", allowance, 2_000, 0).granted).to.equal(true);
    });

    it("admits a request that costs more than the burst, and makes the next one wait", () => {
        const ledger = AllowanceLedger.create(1);
        expect(ledger.charge("a", allowance, 5_000, 0).granted).to.equal(true);
        expect(ledger.charge("a", allowance, 100, 2_999).granted).to.equal(false);
        expect(ledger.charge("a", allowance, 100, 3_001).granted).to.equal(true);
    });

    // Guards against long requests that are refused far more often than short ones: what short ones leave never suffices.
    it("doesn't refuse long requests far more often than short ones", () => {
        const ledger = AllowanceLedger.create(1);
        const admitted = { long: 0, short: 0 };
        for (let number = 0; number < 2_000; number++) {
            const size = number % 2 === 0 ? "long" : "short";
            const cost = size === "long" ? 1_500 : 50;
            admitted[size] += ledger.charge("a", allowance, cost, number * 7).granted ? 1 : 0;
        }
        expect(admitted.long).to.be.greaterThan(admitted.short / 2);
    });

    // Guards against refused callers who return in step and are refused together again.
    it("spreads the retries of refused callers at the rate of the allowance, within a limit", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.charge("a", allowance, 2_000, 0);
        expect(retryDelays(ledger, 4, 500, 0)).to.deep.equal([500, 1_000, 1_500, 2_000]);
        const many = retryDelays(ledger, 100, 500, 0);
        expect(Math.max(...many)).to.be.at.most(8_000);
        expect(new Set(many).size).to.be.greaterThan(10);
    });

    // Guards against refused callers that all return at the same time.
    it("spreads the retries of refused callers whose requests cost more than the longest spread", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.charge("a", allowance, 2_000, 0);
        expect(new Set(retryDelays(ledger, 6, 10_000, 0)).size).to.be.above(1);
    });

    it("applies a lower limit at once, and makes a larger burst available at once", () => {
        const ledger = AllowanceLedger.create(1);
        const lower = { ...allowance, rate: 10, burst: 20 };
        ledger.charge("a", allowance, 100, 0);
        expect(ledger.charge("a", lower, 21, 0).granted).to.equal(true);
        expect(ledger.charge("a", lower, 21, 100).granted).to.equal(false);
        expect(ledger.charge("a", allowance, 1_900, 100).granted).to.equal(true);
    });

    it("counts what gateways spent without asking, and refunds", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.recordSpent("a", allowance, 4_000, 0);
        expect(ledger.charge("a", allowance, 1, 1_999).granted).to.equal(false);
        ledger.recordSpent("a", allowance, -1_000, 1_999);
        expect(ledger.charge("a", allowance, 1_000, 2_001).granted).to.equal(true);
    });

    it("names organisations near their limit until they have been far from it for a while", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.recordSpent("a", allowance, 1_000, 0);
        expect(ledger.limited(0).near).to.deep.equal([]);
        ledger.recordSpent("a", allowance, 200, 0);
        expect(ledger.limited(0).near).to.deep.equal(["a"]);
        expect(ledger.limited(2_000).near).to.deep.equal(["a"]);
        expect(ledger.limited(20_000).near).to.deep.equal([]);
    });

    it("names organisations that have used up their allowance", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.charge("a", allowance, 2_000, 0);
        expect(ledger.limited(0)).to.deep.equal({ near: [], usedUp: [] });
        ledger.recordSpent("a", allowance, 1, 0);
        expect(ledger.limited(0)).to.deep.equal({ near: ["a"], usedUp: [] });
        ledger.charge("a", allowance, 1_000, 0);
        expect(ledger.limited(0).usedUp).to.deep.equal(["a"]);
        expect(ledger.limited(6_000).usedUp).to.deep.equal([]);
    });

    it("keeps a bounded number of accounts", () => {
        const ledger = AllowanceLedger.create(1);
        for (let number = 0; number < 40_000; number++) {
            ledger.recordSpent(`o-${number}`, allowance, 1, 0);
        }
        expect(ledger.size).to.equal(32_768);
    });
});
