import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { SeededRandomness } from "../../../utils/index.js";
import { AllowanceLedger } from "../allowanceLedger.js";
import { ReportedAllowances } from "../leaderAllowances.js";
import { allowance, rankedLoad, type RankOutcome } from "./rankedLoad.js";

const gatewayCount = 61;
const seconds = 20;
const pushMilliseconds = 100;

/** What 61 gateways grant together; the n-th one receives a fraction of the requests proportional to 1/n. */
async function play(isLeaderLost: boolean, named: boolean): Promise<RankOutcome[]> {
    const clock = new ManualClock(0);
    const random = SeededRandomness.create(1);
    const ledger = AllowanceLedger.create(1);
    let near: readonly string[] = [];
    const push = (): void => {
        near = ledger.limited(clock.monotonic()).near;
        clock.after(pushMilliseconds, push);
    };
    push();
    const gateways = Array.from({ length: gatewayCount }, () =>
        ReportedAllowances.create({
            gateways: () => gatewayCount,
            clock,
            leader: {
                isAvailable: () => !isLeaderLost,
                isNearLimit: organisation => near.includes(organisation),
                hasUsedUp: () => false,
                charge: (organisation, cost, rank) =>
                    Promise.resolve(ledger.charge(organisation, allowance, cost, clock.monotonic(), rank)),
                recordSpent: spent =>
                    spent.forEach(({ organisation, units, byRank }) =>
                        ledger.recordSpent(organisation, allowance, units, clock.monotonic(), byRank)
                    ),
            },
        }));
    const weights = gateways.map((_, number) => 1 / (number + 1));
    const total = weights.reduce((sum, weight) => sum + weight);
    const sums = [0, 1, 2].map(() => ({ sent: 0, granted: 0, units: 0 }));
    for (const { at, rank, cost } of rankedLoad([0.25, 0.35, 0.4], 6.6, seconds, 20)) {
        await clock.advance(at - clock.monotonic());
        let position = random.fraction() * total;
        const gateway = Math.max(0, weights.findIndex(weight => (position -= weight) < 0));
        const charge = { organisation: "a", allowance, cost, attempt: String(at), ...named ? { rank } : {} };
        const { granted } = await gateways[gateway]!.admit(charge);
        const sum = sums[rank]!;
        sum.sent += 1;
        sum.granted += Number(granted);
        sum.units += granted ? cost : 0;
    }
    gateways.forEach(gateway => gateway.close());
    return sums.map(({ sent, granted, units }) => ({ refused: 1 - granted / sent, unitsPerSecond: units / seconds }));
}

function unitsOf(outcome: readonly RankOutcome[]): number {
    return outcome.reduce((sum, { unitsPerSecond }) => sum + unitsPerSecond * seconds, 0);
}

describe("priorities of an organisation at 61 gateways with uneven shares", function() {
    this.timeout(60_000);

    // Guards against gateways that charge an organisation's requests without their priorities.
    it("are served the highest first at 6.6 times the usual load, within rate and burst", async () => {
        const [named, unnamed] = [await play(false, true), await play(false, false)];
        expect(unnamed[0]!.refused).to.be.above(0.4);
        expect(named[0]!.refused).to.be.below(1 / 20);
        expect(named[2]!.refused).to.be.above(0.5);
        // Gateways go on for a moment without asking when the bucket falls below the limit from which they ask.
        expect(unitsOf(named)).to.be.at.most(1.05 * (allowance.burst + allowance.rate * seconds));
    });

    // Guards against shares that grant more together because each gateway reserves something else.
    it("get no more than without a reserve while no leader answers at 6.6 times the usual load", async () => {
        const [named, unnamed] = [await play(true, true), await play(true, false)];
        expect(unitsOf(named)).to.be.at.most(unitsOf(unnamed));
        expect(named[0]!.refused).to.be.below(unnamed[0]!.refused);
    });
});
