import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { type Allowance, allowanceMessageSchema, type ChargeDecision } from "../../../protocol/index.js";
import type { AllowanceCharge } from "../allowanceCharge.js";
import { ReportedAllowances } from "../leaderAllowances.js";
import type { AllowanceDecision, SpentUnits } from "../organisationAllowances.js";

const allowance: Allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 100 };
const gateways = 10;

describe("the allowances at a gateway", () => {
    let clock: ManualClock;
    let available: boolean;
    let near: boolean;
    let usedUp: boolean;
    let leaderName: string;
    let lostAt: number;
    let leaderDecision: ChargeDecision | undefined;
    let asked: number;
    let reported: SpentUnits[];
    let allowances: ReportedAllowances;

    beforeEach(() => {
        clock = new ManualClock(1);
        [available, near, usedUp, leaderDecision, asked, reported] = [true, false, false, { granted: true }, 0, []];
        leaderName = "a";
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
                silentSince: () => available ? undefined : lostAt,
                name: () => leaderName,
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

    const loseLeader = (): void => {
        [available, lostAt] = [false, clock.monotonic()];
    };

    const charge = (cost: number, attempt = "attempt"): AllowanceCharge => ({
        organisation: "a",
        allowance,
        cost,
        attempt,
    });

    const admitted = async (cost: number, attempt?: string): Promise<boolean> => {
        return (await allowances.admit(charge(cost, attempt))).granted;
    };

    // Guards against gateways that together spend more without asking than the leader has left of an allowance.
    it("admit at once what this gateway's share holds far from the limit, report it together, and ask beyond it", async () => {
        await clock.advance(5_000);
        for (let number = 0; number < 9; number++) {
            expect(await admitted(5)).to.equal(true);
        }
        expect(asked).to.equal(0);
        await clock.advance(20);
        expect(reported).to.deep.equal([{ organisation: "a", units: 45 }]);
        expect(await admitted(5)).to.equal(true);
        expect(asked).to.equal(1);
    });

    it("don't report a small fraction of this gateway's share", async () => {
        await clock.advance(1_000);
        await admitted(15);
        await clock.advance(1_000);
        expect(reported).to.deep.equal([]);
        await admitted(15);
        await clock.advance(1_000);
        expect(reported).to.deep.equal([{ organisation: "a", units: 30 }]);
        expect(asked).to.equal(0);
    });

    it("ask the leader near the limit", async () => {
        near = true;
        leaderDecision = { granted: false, comeBackIn: 700 };
        expect(await allowances.admit(charge(200))).to.deep.equal({
            ...leaderDecision,
            by: "leader",
            epoch: 1,
            units: 200,
        });
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
        await clock.advance(1_000);
        let last: AllowanceDecision | undefined;
        for (let number = 0; number < 40; number++) {
            last = await allowances.admit({ ...charge(1), rank: number % 4 === 0 ? 0 : 9 });
        }
        await clock.advance(100);
        allowances.refund({ ...charge(1), rank: 9 }, last!);
        expect(asked).to.equal(0);
        expect(reported).to.deep.equal([
            { organisation: "a", units: 40, byRank: [{ rank: 0, units: 10 }, { rank: 9, units: 30 }] },
            { organisation: "a", units: -1, byRank: [{ rank: 9, units: -1 }] },
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
        await clock.advance(1_000);
        const decision = await allowances.admit(charge(40));
        await clock.advance(100);
        allowances.refund(charge(40), decision);
        expect(reported.map(({ units }) => units)).to.deep.equal([40, -40]);
    });

    // Guards against a refund that is lost because it reaches a full bucket before the spending was reported.
    it("don't report a refund of what wasn't reported as spent", async () => {
        await clock.advance(1_000);
        const decision = await allowances.admit(charge(40));
        allowances.refund(charge(40), decision);
        await clock.advance(100);
        expect(decision.by).to.equal("reported");
        expect(reported.reduce((sum, { units }) => sum + units, 0)).to.equal(0);
        expect(reported.every(({ units }) => units >= 0)).to.equal(true);
    });

    // Guards against an allowance that grows by what a leader is refunded that another one had charged.
    it("return units to the leader that charged them alone", async () => {
        near = true;
        const decision = await allowances.admit(charge(200));
        leaderName = "b";
        allowances.refund(charge(200), decision);
        expect(reported).to.deep.equal([]);
    });

    // Guards against an allowance that is granted twice while the leader answers some gateways late.
    it("report what the share granted to the leader that answers again, and return there what it took alone", async () => {
        near = usedUp = true;
        leaderDecision = undefined;
        await allowances.admit(charge(1));
        await clock.advance(1_000);
        const decision = await allowances.admit(charge(5_000, "another"));
        expect(decision).to.deep.include({ by: "share" });
        expect(decision.units).to.be.within(1, 200);
        leaderDecision = { granted: true };
        await allowances.admit(charge(1));
        expect(reported).to.have.length(1);
        expect(reported[0]).to.deep.include({ organisation: "a", shared: true });
        expect(reported[0]!.units).to.be.within(decision.units, 201);
    });

    // Guards against shares that hold a whole burst together each time that the leader changes.
    it("begin with an empty share under another leader", async () => {
        await clock.advance(5_000);
        expect(await admitted(20)).to.equal(true);
        leaderName = "b";
        expect(await admitted(20)).to.equal(true);
        expect(asked).to.equal(1);
    });

    it("admit this gateway's share while no leader answers", async () => {
        loseLeader();
        await clock.advance(2_000);
        expect(await admitted(200)).to.equal(true);
        expect(await admitted(1)).to.equal(false);
        await clock.advance(1_000);
        expect(await admitted(100)).to.equal(true);
    });

    // Guards against an allowance that a gateway exceeds by a whole share each time it starts again while no leader answers.
    it("admit no more at a gateway that starts again and again than at one that runs", async () => {
        loseLeader();
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
        loseLeader();
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
        loseLeader();
        await clock.advance(2_000);
        expect(await admitted(200)).to.equal(true);
    });
});
