import { expect } from "chai";
import { FaultRun } from "../../../../../../../simulation/control/faultRun.js";

describe("control daemons under faults", () => {
    for (const seed of [1, 2]) {
        it(`accept a change only once it is in force, and never revert one (seed ${seed})`, async () => {
            // Failure: a daemon starts work with an old configuration after the operator was answered `accepted`, or two
            // configurations have the same revision. Kills, network partitions, races and resends occur in an order
            // derived from the seed.
            const counts = await FaultRun.execute(seed, 5_000);
            expect(counts.steps).to.be.above(0);
        });
    }
});
