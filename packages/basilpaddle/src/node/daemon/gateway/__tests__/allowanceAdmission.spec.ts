import { expect } from "chai";
import { ReportedAllowances } from "../../../coordination/index.js";
import { RecordedMetrics, SystemClock } from "../../../utils/index.js";
import { AllowanceAdmission } from "../allowanceAdmission.js";
import { createRequest } from "./fakeRequest.js";

const allowance = { unit: "requests", rate: 1, burst: 1, defaultCost: 1 } as const;

describe("the admission to allowances", () => {
    // Guards against a metric with a series for each priority number that a configuration may state.
    it("charges and counts refusals by rank from 0 to 9, and says whether the rest is reserved", async () => {
        const ranks: (number | undefined)[] = [];
        const metrics = RecordedMetrics.create();
        const allowances = ReportedAllowances.create({
            leader: {
                isAvailable: () => true,
                silentSince: () => undefined,
                name: () => "leader",
                charge: (_organisation, _cost, rank) => {
                    ranks.push(rank);
                    return Promise.resolve({ granted: false, comeBackIn: 100, reserved: rank !== 0 });
                },
                recordSpent: () => undefined,
                isNearLimit: () => true,
                hasUsedUp: () => false,
            },
            gateways: () => 1,
            clock: SystemClock.create(),
        });
        const admission = AllowanceAdmission.create(allowances, metrics);
        const causes: (string | undefined)[] = [];
        for (const priority of [0, 3, 9, 1_000]) {
            const request = createRequest({ priority }, { name: "o", keys: [], allowance });
            await admission.serve(request, () => Promise.reject(new Error("the request ran")));
            causes.push(request.outcome()?.cause);
        }
        expect(ranks).to.deep.equal([0, 3, 9, 9]);
        expect(causes[0]).to.equal("the organisation's allowance is used up");
        expect(causes[1]).to.equal("the rest of the organisation's allowance is reserved for higher priorities");
        const series = metrics.text().split("\n").filter(line =>
            line.startsWith("basilpaddle_allowance_refusals_total")
        );
        expect(series.map(line => line.split(" ")[1])).to.deep.equal(["1", "1", "2"]);
    });
});
