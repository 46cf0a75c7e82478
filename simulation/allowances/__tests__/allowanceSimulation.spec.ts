import { expect } from "chai";
import { simulateAllowances } from "../allowanceSimulation.js";
import { allowanceDays } from "../day.js";

/** What may be admitted in a window beyond rate and burst, as a fraction of these. */
const admissibleExcess = 0.1;
/** What may be refused below an allowance while a leader answers all the time. */
const admissibleRefusals = 0.001;
const seed = 1;

describe("allowances on emulated days", function() {
    this.timeout(120_000);

    // Guards against an allowance that is exceeded, or not available, when one organisation sends many times its usual.
    for (const name of ["burst", "busy", "busy, one gateway", "360 gateways, busy"]) {
        it(`are neither exceeded nor withheld on the day "${name}"`, async () => {
            const { excess, refusedUnder } = await simulateAllowances(allowanceDays[name]!, "reported", seed);
            expect(excess).to.be.at.most(admissibleExcess);
            expect(refusedUnder).to.be.at.most(admissibleRefusals);
        });
    }

    // Guards against gateways that exceed an allowance together while no leader counts, and under a leader that knows nothing.
    it("aren't exceeded when the leader is lost while one organisation sends many times its usual", async () => {
        const { excess } = await simulateAllowances(allowanceDays["busy, leader lost"]!, "reported", seed);
        expect(excess).to.be.at.most(admissibleExcess);
    });

    // Guards against an organisation whose lower priorities spend what its highest one needs, at 63 gateways.
    it("go to the highest priority first when one organisation sends 7.5 times its usual in three priorities", async () => {
        const unnamed = await simulateAllowances(allowanceDays["busy, priorities unnamed"]!, "reported", seed);
        const { excess, ...named } = await simulateAllowances(allowanceDays["busy, priorities"]!, "reported", seed);
        expect(excess).to.be.at.most(admissibleExcess);
        expect(unnamed.refusedHighest).to.be.above(0.4);
        expect(named.refusedHighest).to.be.below(unnamed.refusedHighest / 2);
        expect(named.refusedLowest).to.be.above(unnamed.refusedLowest);
    });

    it("cost few messages compared with asking for every request", async () => {
        const day = { ...allowanceDays.calm!, burstSeconds: 8 };
        const reported = await simulateAllowances(day, "reported", seed);
        const asked = await simulateAllowances(day, "asked", seed);
        expect(reported.p99).to.equal(0);
        expect(reported.leaderMessages).to.be.below(asked.leaderMessages);
    });
});
