import { expect } from "chai";
import { LeaderTimeout } from "../leaderTimeout.js";

describe("the timeout of requests to the leader", () => {
    it("is short while the leader answers at its usual speed", () => {
        const timeout = LeaderTimeout.create();
        timeout.recordAnswer(8, 0);
        timeout.recordAnswer(105, 100);
        expect(timeout.timeout(200)).to.equal(250);
    });

    // Guards against giving up a new leader that is only slow. All gateways contact it at once, and its answers take 0.3 s;
    // each gateway times out, probes it, sends the next request and times out again. For two seconds after an election,
    // requests waited up to 0.9 s and were placed locally, though there was a leader.
    it("grows with a slow leader, and shrinks again", () => {
        const timeout = LeaderTimeout.create();
        timeout.recordAnswer(320, 1_000);
        expect(timeout.timeout(1_100)).to.be.above(500);
        expect(timeout.timeout(9_000)).to.equal(250);
    });

    it("is bounded", () => {
        const timeout = LeaderTimeout.create();
        timeout.recordAnswer(5_000, 0);
        expect(timeout.timeout(0)).to.equal(timeout.probeTimeout());
    });
});
