import { expect } from "chai";
import { LeaderPatience } from "../leaderPatience.js";

describe("the patience with a leader", () => {
    it("is short while it answers as usual", () => {
        const patience = LeaderPatience.create();
        patience.answered(8, 0);
        patience.answered(105, 100);
        expect(patience.patience(200)).to.equal(250);
    });

    // Symptom: for two seconds after an election requests wait up to 0.9 s and are placed alone, though there is a leader.
    // Sequence: all gateways come to the new leader at once; its answers take 0.3 s; each gateway gives it up, probes it,
    // asks it again, and gives it up again.
    it("grows with a leader that is slow, and shrinks again", () => {
        const patience = LeaderPatience.create();
        patience.answered(320, 1_000);
        expect(patience.patience(1_100)).to.be.above(500);
        expect(patience.patience(9_000)).to.equal(250);
    });

    it("is bounded", () => {
        const patience = LeaderPatience.create();
        patience.answered(5_000, 0);
        expect(patience.patience(0)).to.equal(patience.probePatience());
    });
});
