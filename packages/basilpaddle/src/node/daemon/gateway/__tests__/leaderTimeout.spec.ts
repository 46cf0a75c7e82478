import { expect } from "chai";
import { LeaderTimeout } from "../leaderTimeout.js";

describe("the timeout of questions to the leader", () => {
    it("is short while it answers as usual", () => {
        const timeout = LeaderTimeout.create();
        timeout.answered(8, 0);
        timeout.answered(105, 100);
        expect(timeout.timeout(200)).to.equal(250);
    });

    // Symptom: for two seconds after an election requests wait up to 0.9 s and are placed alone, though there is a leader.
    // Sequence: all gateways come to the new leader at once; its answers take 0.3 s; each gateway gives it up, probes it,
    // asks it again, and gives it up again.
    it("grows with a leader that is slow, and shrinks again", () => {
        const timeout = LeaderTimeout.create();
        timeout.answered(320, 1_000);
        expect(timeout.timeout(1_100)).to.be.above(500);
        expect(timeout.timeout(9_000)).to.equal(250);
    });

    it("is bounded", () => {
        const timeout = LeaderTimeout.create();
        timeout.answered(5_000, 0);
        expect(timeout.timeout(0)).to.equal(timeout.probeTimeout());
    });
});
