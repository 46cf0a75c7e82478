import { expect } from "chai";
import * as fc from "fast-check";
import { Tally } from "../../../../../../../simulation/subject.js";
import { lostQuorumProperty, randomFaultsProperty } from "../../../../../../../simulation/view/runs.js";

async function assertRuns(runsOf: (tally: Tally) => fc.IAsyncProperty<unknown>, numRuns: number): Promise<void> {
    const tally = new Tally();
    await fc.assert(runsOf(tally), { seed: 20_261_202, numRuns });
    expect(tally.countOf("starts"), "starts").to.be.greaterThan(numRuns * 100);
    expect(tally.countOf("acceptedChanges"), "accepted changes").to.be.greaterThan(numRuns);
}

describe("the view lease in randomized simulations", () => {
    /*
     * Guards against an entry daemon that starts work on a view without a change that was answered `accepted`, under
     * any mix of crashes, freezes, partitions, message losses, elections and membership changes.
     */
    it("lets no daemon start work on a view that lacks an accepted change", async () => {
        await assertRuns(randomFaultsProperty, 60);
    });

    /*
     * The same failure, where a majority refuses connections while the lease is valid, restarts at once, and the daemon
     * is partitioned. This scenario is the quickest to expose a missing rule.
     */
    it("lets no daemon do so when a lost quorum recovers while the daemon is partitioned", async () => {
        await assertRuns(lostQuorumProperty, 300);
    });
});
