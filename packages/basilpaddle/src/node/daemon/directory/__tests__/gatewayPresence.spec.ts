import { expect } from "chai";
import { AllowanceLedger } from "../../../coordination/index.js";
import { GatewayPresence } from "../gatewayPresence.js";

describe("the presence of gateways", () => {
    // Guards against a leader that grants what gateways spend on their own which it doesn't hear of.
    it("counts gateways as absent that aren't heard of, each absence once, until they return", () => {
        const presence = GatewayPresence.create();
        ["a", "b", "c", "d"].forEach(gateway => presence.record(gateway, 0));
        ["a", "b", "c"].forEach(gateway => presence.record(gateway, 1_000));
        expect(presence.review(1_199)).to.deep.include({ known: 4, absent: 0, newlyAbsent: 0 });
        expect(presence.review(1_200)).to.deep.include({ known: 4, absent: 1, newlyAbsent: 1 });
        ["a", "b", "c"].forEach(gateway => presence.record(gateway, 2_000));
        expect(presence.review(2_000)).to.deep.include({ absent: 1, newlyAbsent: 0 });
        presence.record("d", 3_000);
        expect(presence.withheldFor("d", 3_100)).to.equal(3_000);
        expect(presence.withheldFor("a", 3_100)).to.equal(0);
        expect(presence.withheldFor("d", 5_100)).to.equal(0);
    });

    it("withholds the rate of absent gateways, and what they may have spent before they counted as absent", () => {
        const allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 0 } as const;
        const ledger = AllowanceLedger.create(1);
        ledger.charge("o", allowance, 0, 0);
        ledger.withholdShares(0.5, 0.5, 1_200, 0);
        expect(ledger.state("o", 0)?.level).to.equal(1_000 - 225 - 600);
        ledger.charge("o", allowance, 175, 0);
        expect(ledger.state("o", 1_000)?.level).to.equal(500);
        ledger.withholdShares(0, 0, 1_200, 1_000);
        ledger.charge("o", allowance, 500, 1_000);
        expect(ledger.state("o", 1_500)?.level).to.equal(500);
    });

    // Guards against an organisation that gets the whole rate until its next request, beside what absent gateways grant it.
    it("withholds the rate at once from an organisation without a request meanwhile", () => {
        const allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 0 } as const;
        const ledger = AllowanceLedger.create(1);
        ledger.charge("o", allowance, 1_000, 0);
        ledger.withholdShares(0.5, 0, 1_200, 0);
        expect(ledger.state("o", 1_000)?.level).to.equal(500);
    });
});
