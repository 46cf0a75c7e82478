import { expect } from "chai";
import { deployments } from "../deployments.js";
import { type PolicyName, run } from "../run.js";

describe("scheduling rig", () => {
    const runWith = (policy: PolicyName, seed: number) =>
        run({ deployment: deployments.hanbit!, load: 1, policy, fault: "engineDies", seed });

    it("gives the same metrics for the same seed, and different ones for another seed", () => {
        const metrics = runWith("pool", 1);
        expect(runWith("pool", 1)).to.deep.equal(metrics);
        expect(runWith("pool", 2)).not.to.deep.equal(metrics);
    });

    // Eight daemons that decide independently from reports a second old all choose the same free slot. Prefills then start without
    // a slot for their results, and dozens of results are evicted while the engines are busy.
    it("shows the cost of independent decisions compared with the pool's scheduler", () => {
        const pool = runWith("pool", 1);
        const alone = runWith("alone", 1);
        expect(pool.goodput).to.be.greaterThan(alone.goodput + 0.2);
        expect(pool.wasted).to.be.lessThan(0.03);
        expect(alone.wasted).to.be.greaterThan(0.05);
    });
});
