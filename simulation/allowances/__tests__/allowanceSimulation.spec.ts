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

    // Guards against gateways that charge an organisation's requests without their priorities.
    it("go to the highest of three priorities first at 6.6 times the usual load and 61 uneven gateways", async () => {
        const busy = { rank: 3, from: 8, until: 28, factor: 6.6 };
        const day = { ...allowanceDays["busy, priorities"]!, busy, gateways: 61, gatewayExponent: 1, meanCost: 1_000 };
        const load = { ...day, requestRate: 180 };
        const { excess, refusedHighest, refusedLowest } = await simulateAllowances(load, "reported", seed);
        expect(excess).to.be.at.most(admissibleExcess);
        expect(refusedHighest).to.be.below(1 / 20);
        expect(refusedLowest).to.be.above(0.5);
        const priorities = { shares: [0.25, 0.35, 0.4], named: false };
        const unnamed = await simulateAllowances({ ...load, priorities }, "reported", seed);
        expect(unnamed.refusedHighest).to.be.above(0.4);
    });

    // Guards against shares that grant more together than one of them may, since each reserves something else.
    it("aren't exceeded when the leader is lost while one organisation sends many times its usual in three priorities", async () => {
        const { excess } = await simulateAllowances(allowanceDays["busy, named, leader lost"]!, "reported", seed);
        expect(excess).to.be.at.most(admissibleExcess);
    });

    // Guards against units that several of these grant at once: a leader, the one before it, and gateways that don't reach it.
    const overlaps = [
        "busy, half cut off",
        "12 gateways, busy, leader lost twice",
        "12 gateways, leader lost twice as it gets busy",
        "12 gateways, busy, leader late",
        "12 gateways, half cut off as it gets busy",
        "12 gateways, half cut off, leader lost",
        "12 gateways, half cut off, leader late",
        "12 gateways, leader late, leader lost",
        "12 gateways, leader lost five times",
        "12 gateways, half cut off, burst of 4 s",
    ];
    for (const name of overlaps) {
        it(`aren't exceeded on the day "${name}"`, async () => {
            const { excess } = await simulateAllowances(allowanceDays[name]!, "reported", seed);
            expect(excess).to.be.at.most(admissibleExcess);
        });
    }

    const fewMessagesDays = {
        "cost few messages compared with asking for every request": { ...allowanceDays.calm!, burstSeconds: 8 },
        "cost few messages compared with asking for every request, where shares hold a few requests": {
            ...allowanceDays.calm!,
            gateways: 12,
            requestRate: 800,
            burstSeconds: 8,
            length: 15,
        },
    };
    for (const [title, day] of Object.entries(fewMessagesDays)) {
        it(title, async () => {
            const reported = await simulateAllowances(day, "reported", seed);
            const asked = await simulateAllowances(day, "asked", seed);
            expect(reported.p99).to.equal(0);
            expect(reported.leaderMessages).to.be.below(asked.leaderMessages);
        });
    }
});
