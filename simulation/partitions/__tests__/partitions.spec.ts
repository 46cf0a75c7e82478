import { expect } from "chai";
import { partitionKinds } from "../../../playground/harness/partition.js";
import { partitionDay } from "../day.js";
import { simulatePartition } from "../partitionSimulation.js";

const seed = 7;
/** The stated aim: callers of partitioned gateways are served this often, compared with those of the others. */
const minServedAtPartitioned = 0.9;
const minServedAtOthers = 0.98;

describe("an emulated day with partitioned gateways", function() {
    this.timeout(60_000);
    for (const name of ["one", "a third", "a domain", "all but one"]) {
        for (const kind of partitionKinds) {
            // Guards against callers of partitioned gateways who are served less than others, or at the others' expense.
            it(`serves callers of all gateways while ${name} of them are partitioned and connections ${kind}`, async () => {
                const { late, after, others } = await simulatePartition(partitionDay(name, kind), "relay", seed);
                expect(late).to.be.at.least(minServedAtPartitioned * others);
                expect(others).to.be.at.least(minServedAtOthers);
                expect(after).to.be.at.least(minServedAtOthers);
            });
        }
    }

    it("spreads relayed calls over the gateways that reach servers", async () => {
        const { mostRelayed } = await simulatePartition(partitionDay("a domain", "hang"), "relay", seed);
        expect(mostRelayed).to.be.at.most(2 / 5);
    });
});
