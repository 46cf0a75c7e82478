import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { type Allowance, allowanceMessageSchema, type ChargeDecision } from "../../../protocol/index.js";
import type { AllowanceCharge } from "../allowanceCharge.js";
import { ReportedAllowances } from "../leaderAllowances.js";
import type { SpentUnits } from "../organisationAllowances.js";

const allowance: Allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 100 };
const gateways = 10;

describe("the allowances at a gateway", () => {
    let clock: ManualClock;
    let available: boolean;
    let near: boolean;
    let usedUp: boolean;
    let leaderDecision: ChargeDecision | undefined;
    let asked: number;
    let reported: SpentUnits[];
    let allowances: ReportedAllowances;

    beforeEach(() => {
        clock = new ManualClock(1);
        [available, near, usedUp, leaderDecision, asked, reported] = [true, false, false, { granted: true }, 0, []];
        allowances = start();
    });

    afterEach(() => allowances.close());

    /** The allowances of a gateway whose process has just started. */
    function start(): ReportedAllowances {
        return ReportedAllowances.create({
            gateways: () => gateways,
            clock,
            leader: {
                isAvailable: () => available,
                isNearLimit: () => near,
                hasUsedUp: () => usedUp,
                charge: () => {
                    asked += 1;
                    return Promise.resolve(leaderDecision);
                },
                recordSpent: spent => reported.push(...spent),
            },
        });
    }

    const charge = (cost: number, attempt = "attempt"): AllowanceCharge => ({
        organisation: "a",
        allowance,
        cost,
        attempt,
    });

    const admitted = async (cost: number, attempt?: string): Promise<boolean> => {
        return (await allowances.admit(charge(cost, attempt))).granted;
    };

    it("admit at once far from the limit, and report what was spent together", async () => {
        for (let number = 0; number < 5; number++) {
            expect(await admitted(200)).to.equal(true);
        }
        await clock.advance(100);
        expect(asked).to.equal(0);
        expect(reported).to.deep.equal([{ organisation: "a", units: 1_000 }]);
    });

    it("don't report a small fraction of this gateway's share", async () => {
        await admitted(15);
        await clock.advance(1_000);
        expect(reported).to.deep.equal([]);
        await admitted(15);
        await clock.advance(1_000);
        expect(reported).to.deep.equal([{ organisation: "a", units: 30 }]);
    });

    it("ask the leader near the limit", async () => {
        near = true;
        leaderDecision = { granted: false, comeBackIn: 700 };
        expect(await allowances.admit(charge(200))).to.deep.equal({ ...leaderDecision, by: "leader" });
        expect(asked).to.equal(1);
        expect(reported).to.deep.equal([]);
    });

    // Guards against a notification of every gateway for each request of organisations whose burst is a few requests.
    it("ask the leader before a request that costs a large fraction of the burst, far from the limit too", async () => {
        expect(await admitted(250)).to.equal(true);
        expect(asked).to.equal(1);
        await clock.advance(100);
        expect(reported).to.deep.equal([]);
    });

    // Guards against a leader that doesn't learn the priorities of requests for which it isn't asked.
    it("report what was spent of each priority, with one number for each", async () => {
        for (let number = 0; number < 40; number++) {
            await allowances.admit({ ...charge(20), rank: number % 4 === 0 ? 0 : 9 });
        }
        await clock.advance(100);
        allowances.refund({ ...charge(20), rank: 9 });
        expect(reported).to.deep.equal([
            { organisation: "a", units: 800, byRank: [{ rank: 0, units: 200 }, { rank: 9, units: 600 }] },
            { organisation: "a", units: -20, byRank: [{ rank: 9, units: -20 }] },
        ]);
        expect(allowanceMessageSchema.safeParse({ kind: "spent", gateway: "g", spent: reported }).success).to.equal(
            true,
        );
    });

    it("are understood by a leader from gateways that state no priority", () => {
        const messages = [
            { kind: "charge", gateway: "g", organisation: "a", cost: 1 },
            { kind: "spent", gateway: "g", spent: [{ organisation: "a", units: 1 }] },
        ];
        expect(messages.map(message => allowanceMessageSchema.parse(message))).to.deep.equal(messages);
        const eleven = Array.from({ length: 11 }, () => ({ rank: 1, units: 1 }));
        const tooLong = { kind: "spent", gateway: "g", spent: [{ organisation: "a", units: 11, byRank: eleven }] };
        expect(allowanceMessageSchema.safeParse(tooLong).success).to.equal(false);
    });

    it("report a refund immediately", async () => {
        await admitted(200);
        await clock.advance(100);
        allowances.refund(charge(200));
        expect(reported.map(({ units }) => units)).to.deep.equal([200, -200]);
    });

    // Guards against a refund that is lost because it reaches a full bucket before the spending was reported.
    it("don't report a refund of what wasn't reported as spent", async () => {
        await admitted(200);
        allowances.refund(charge(200));
        await clock.advance(100);
        expect(reported.reduce((sum, { units }) => sum + units, 0)).to.equal(0);
        expect(reported.every(({ units }) => units >= 0)).to.equal(true);
    });

    it("admit this gateway's share while no leader answers", async () => {
        available = false;
        await clock.advance(2_000);
        expect(await admitted(200)).to.equal(true);
        expect(await admitted(1)).to.equal(false);
        await clock.advance(1_000);
        expect(await admitted(100)).to.equal(true);
    });

    // Guards against an allowance that a gateway exceeds by a whole share each time it starts again while no leader answers.
    it("admit no more at a gateway that starts again and again than at one that runs", async () => {
        available = false;
        let units = 0;
        for (let restarts = 0; restarts < 10; restarts++) {
            allowances = start();
            for (let number = 0; number < 20; number++) {
                await clock.advance(25);
                units += Number(await admitted(20)) * 20;
            }
            allowances.close();
        }
        expect(units).to.be.within(100, (allowance.burst + 5 * allowance.rate) / gateways);
    });

    // Guards against an allowance that every gateway overdraws by one long prompt when the leader is lost.
    it("don't overdraw this gateway's share if the allowance was used up before the leader was lost", async () => {
        usedUp = true;
        available = false;
        let units = 0;
        for (let number = 0; number < 400; number++) {
            units += await admitted(1_000, `attempt-${number}`) ? 1_000 : 0;
            await clock.advance(100);
        }
        expect(units).to.be.within(2_000, 6_000);
    });

    // Guards against refusals below the allowance: at one gateway the leader had admitted more than that gateway's share.
    it("don't start in debt for what the leader admitted before it was lost", async () => {
        near = true;
        await admitted(5_000);
        available = false;
        await clock.advance(2_000);
        expect(await admitted(200)).to.equal(true);
    });
});
