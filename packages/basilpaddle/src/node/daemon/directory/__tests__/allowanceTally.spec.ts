import { expect } from "chai";
import { createSilentLogger, type Logger } from "../../../utils/index.js";
import { AllowanceTally } from "../allowanceTally.js";

describe("the tally of a leader's allowances", () => {
    it("writes once a second what organisations were granted of which requests were refused or refunded", () => {
        const written: unknown[] = [];
        const logger: Logger = Object.assign(createSilentLogger(), {
            info: (_message: string, facts: unknown) => written.push(facts),
        });
        const tally = AllowanceTally.create({ term: 4, logger }, () => ({ level: -12, rate: 1, burst: 2 }));
        tally.recordSpent("far from its limit", 100);
        tally.recordCharge("a", 30, { granted: true });
        tally.recordCharge("a", 40, { granted: false, comeBackIn: 1 });
        tally.recordSpent("b", 500);
        tally.recordSpent("b", -200);
        tally.review(0);
        tally.recordCharge("a", 40, { granted: false, comeBackIn: 1 });
        tally.review(999);
        expect(written).to.deep.equal([{
            term: 4,
            organisations: [
                {
                    organisation: "b",
                    granted: 0,
                    refused: 0,
                    reported: 500,
                    refunded: 200,
                    level: -12,
                    rate: 1,
                    burst: 2,
                },
                {
                    organisation: "a",
                    granted: 30,
                    refused: 40,
                    reported: 0,
                    refunded: 0,
                    level: -12,
                    rate: 1,
                    burst: 2,
                },
            ],
            omitted: 0,
        }]);
    });
});
