import { expect } from "chai";
import * as fc from "fast-check";
import type { ChargeDecision } from "../../../protocol/index.js";
import { AllowanceLedger } from "../allowanceLedger.js";
import { EqualShare } from "../equalShare.js";
import { PriorityReserve } from "../priorityReserve.js";
import { TokenBucket } from "../tokenBucket.js";
import { allowance, outcomes, rankedLoad, type RankedRequest, type RankOutcome } from "./rankedLoad.js";

const { rate, burst } = allowance;
const shares = [0.25, 0.35, 0.4];
const seed = 20_260_101;
const charges = fc.array(
    fc.record({ gap: fc.integer({ min: 0, max: 400 }), rank: fc.nat(9), cost: fc.integer({ min: 1, max: 3_000 }) }),
    { minLength: 100, maxLength: 200 },
);

function deciding(ledger: AllowanceLedger, ranked = true): (request: RankedRequest) => ChargeDecision {
    return ({ at, cost, rank }) => ledger.charge("a", allowance, cost, at, ranked ? rank : undefined);
}

describe("the reserve for higher priorities", function() {
    this.timeout(20_000);

    // Guards against an organisation whose lower priorities spend what its highest one needs.
    for (const meanCost of [20, 100]) {
        it(`refuses lower priorities at 6.6 times the usual load, requests of ${meanCost / burst} bursts`, () => {
            const load = rankedLoad(shares, 6.6, 60, meanCost);
            const before = outcomes(load, deciding(AllowanceLedger.create(1), false), 0, 60);
            const [highest, middle, lowest] = outcomes(load, deciding(AllowanceLedger.create(1)), 0, 60);
            expect(before[0]!.refused).to.be.above(0.4);
            expect(highest!.refused).to.be.below(1 / 20);
            expect(middle!.refused).to.be.above(0.5);
            expect(lowest!.refused).to.be.above(0.5);
        });
    }

    // Guards against cheap requests that are all refused although what they cost would serve hardly any other one.
    it("doesn't hold back the lowest priority's requests of a twentieth of the usual cost at 6.6 times the usual load", () => {
        const dear = rankedLoad(shares, 6.6, 60, 100).filter(({ rank }) => rank < 2);
        const cheap = rankedLoad([0, 0, 1], 0.5, 60, 5);
        const load = [...dear, ...cheap].sort((one, other) => one.at - other.at);
        const [highest, , lowest] = outcomes(load, deciding(AllowanceLedger.create(1)), 0, 60);
        expect(highest!.refused).to.be.below(1 / 20);
        expect(lowest!.refused).to.be.below(1 / 20);
    });

    // Guards against a reserve that is kept for a priority without requests.
    it("is released within five seconds when the highest priority stops at 6.6 times the usual load", () => {
        const load = rankedLoad(shares, 6.6, 30, 100).filter(({ at, rank }) => rank > 0 || at < 15_000);
        const ledger = AllowanceLedger.create(1);
        const [, middle, lowest] = outcomes(load, deciding(ledger), 20, 30);
        expect(middle!.unitsPerSecond + lowest!.unitsPerSecond).to.be.above(0.95 * rate);
    });

    // Guards against lower priorities that get nothing as long as higher ones could use everything.
    it("leaves lower priorities a tenth of the rate while the highest alone sends four times the rate", () => {
        const [, middle, lowest] = outcomes(
            rankedLoad([0.8, 0.1, 0.1], 12.5, 60, 20),
            deciding(AllowanceLedger.create(1)),
            0,
            60,
        );
        expect(middle!.unitsPerSecond).to.be.within(0.02 * rate, 0.06 * rate);
        expect(lowest!.unitsPerSecond).to.be.within(0.02 * rate, 0.06 * rate);
    });

    // Guards against an organisation with one priority that is refused more, or told other times, than without ranks.
    it("changes no decision for 6.6 times the usual load in one priority", () => {
        const load = rankedLoad([0, 0, 1], 6.6, 30, 100);
        const strict = EqualShare.create(() => 3, 0);
        const strictUnranked = EqualShare.create(() => 3, 0);
        const [ledger, unranked] = [AllowanceLedger.create(1), AllowanceLedger.create(1)];
        for (const [number, { at, rank, cost }] of load.entries()) {
            const charge = { organisation: "a", allowance, cost, attempt: String(number) };
            expect(ledger.charge("a", allowance, cost, at, rank)).to.deep.equal(
                unranked.charge("a", allowance, cost, at),
            );
            const isUsedUp = number % 2 !== 0;
            expect(strict.admit({ ...charge, rank }, isUsedUp, 0, at)).to.deep.equal(
                strictUnranked.admit(charge, isUsedUp, 0, at),
            );
        }
    });

    // Guards against a change of the leader after which the highest priority is refused as if there were no reserve.
    it("is learned within two seconds by a new leader without state at 6.6 times the usual load", () => {
        for (let number = 1; number <= 5; number++) {
            const load = rankedLoad(shares, 6.6, 30, 20, number);
            const [highest] = outcomes(load, deciding(AllowanceLedger.create(0.5)), 2, 30);
            expect(highest!.refused).to.be.below(1 / 20);
        }
    });

    // Guards against a leader that learns the priorities only of requests for which it is asked.
    it("is learned from what gateways spent without asking, and shrinks with refunds", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.recordSpent("a", allowance, 900, 0, [{ rank: 0, units: 900 }]);
        ledger.recordSpent("b", allowance, 900, 0);
        expect(ledger.charge("a", allowance, 1, 0, 1)).to.deep.include({ granted: false, reserved: true });
        expect(ledger.charge("b", allowance, 1, 0, 1).granted).to.equal(true);
        ledger.recordSpent("a", allowance, -500, 0, [{ rank: 0, units: -500 }]);
        expect(ledger.charge("a", allowance, 1, 0, 1).granted).to.equal(true);
    });

    // Guards against the sum of many small requests, as gateways report it, that counts as one large request.
    it("leaves little for the highest priority after a report of 400 units by a gateway, which were many requests", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.recordSpent("a", allowance, 400, 0, [{ rank: 0, units: 400 }]);
        ledger.recordSpent("a", allowance, 400, 0, [{ rank: 1, units: 400 }]);
        expect(ledger.charge("a", allowance, 1, 0, 1).granted).to.equal(true);
    });

    // Guards against refused callers that all return at the same time, or before the level that they wait for.
    it("tells refused requests to return one after the other from the time at which their level is reached", () => {
        const ledger = AllowanceLedger.create(1);
        const highest = (at: number): boolean => ledger.charge("a", allowance, 40, at, 0).granted;
        for (let at = 0; at < 4_000; at += 100) {
            highest(at);
            ledger.charge("a", allowance, 100, at, 2);
        }
        const delays = Array.from({ length: 20 }).flatMap(() => {
            const decision = ledger.charge("a", allowance, 100, 4_000, 2);
            return decision.granted ? [] : [decision.comeBackIn];
        });
        expect(new Set(delays).size).to.be.above(15);
        expect(Math.max(...delays)).to.be.at.most(8_000);
        expect(ledger.charge("a", allowance, 100, 4_001, 2).granted).to.equal(false);
        for (let at = 4_100; at < 4_000 + Math.min(...delays); at += 100) {
            highest(at);
        }
        expect(ledger.charge("a", allowance, 100, 4_001 + Math.min(...delays), 2).granted).to.equal(true);
    });

    it("admits a request that costs five times the burst, and keeps half of a burst that the configuration lowers", () => {
        const bucket = TokenBucket.create(allowance, burst, 0);
        const reserve = PriorityReserve.create(0.1);
        const decide = (rank: number, cost: number, now: number): string => {
            return reserve.decide(rank, cost, bucket, now, () => bucket.takeIfAnyLeft(cost, now));
        };
        decide(0, 900, 0);
        expect(reserve.reserve(1, bucket, 0)).to.equal(burst / 2);
        expect(decide(1, 500, 0)).to.equal("reserved");
        expect(decide(1, 5_000, 700)).to.equal("granted");
        expect(decide(0, 1, 701)).to.equal("empty");
        bucket.setRules({ rate: 10, burst: 20 }, 701);
        expect(reserve.reserve(1, bucket, 701)).to.equal(10);
        expect(reserve.timeUntilOpen(1, bucket, 701)).to.be.within(1, 1_000 * 5_000 / 0.5);
    });

    // Guards against gateways that are notified again and again while an organisation stays in excess.
    it("keeps an organisation at 2.6 times its usual load near its limit without a change for a minute", () => {
        const ledger = AllowanceLedger.create(1);
        ledger.recordSpent("a", allowance, 600, 0);
        const seen = new Set<string>();
        outcomes(
            rankedLoad(shares, 2.6, 60, 50),
            request => {
                seen.add(ledger.limited(request.at).near.join());
                return deciding(ledger)(request);
            },
            0,
            60,
        );
        expect([...seen]).to.deep.equal(["a"]);
    });

    it("remembers at most ten priorities, and none for longer than ten seconds", () => {
        const bucket = TokenBucket.create(allowance, burst, 0);
        const reserve = PriorityReserve.create(0.1);
        for (let number = 0; number < 1_000; number++) {
            reserve.recordUnits(number % 10, 1, bucket, number);
        }
        expect(reserve.size).to.equal(10);
        reserve.recordUnits(3, 1, bucket, 20_000);
        expect(reserve.size).to.equal(1);
    });

    // Guards against a reserve by which an organisation gets more than its allowance. Costs are equal and whole units flow in:
    // where costs differ, another request may be the one that overdraws the bucket, which the next test bounds.
    it("never grants a larger sum of equal requests than without it", () => {
        const rules = { rate, burst: 20 };
        let refusedMore = 0;
        fc.assert(
            fc.property(charges, requests => {
                const [bucket, alone] = [TokenBucket.create(rules, 20, 0), TokenBucket.create(rules, 20, 0)];
                const reserve = PriorityReserve.create(0.1);
                let [now, sum, sumAlone] = [0, 0, 0];
                for (const { gap, rank } of requests) {
                    now += Math.floor(gap / 250);
                    const take = (): boolean => bucket.takeIfAnyLeft(1, now);
                    sum += Number(reserve.decide(rank, 1, bucket, now, take) === "granted");
                    sumAlone += Number(alone.takeIfAnyLeft(1, now));
                    expect(sum).to.be.at.most(sumAlone);
                }
                refusedMore += Number(sum < sumAlone);
            }),
            { seed, numRuns: 200 },
        );
        expect(refusedMore).to.be.above(100);
    });

    it("grants only what the bucket alone would grant at that level, within rate, burst and one request", () => {
        fc.assert(
            fc.property(charges, requests => {
                const bucket = TokenBucket.create(allowance, burst, 0);
                const reserve = PriorityReserve.create(0.1);
                let [now, sum, largest] = [0, 0, 0];
                for (const { gap, rank, cost } of requests) {
                    now += gap;
                    const level = bucket.level(now);
                    const take = (): boolean => bucket.takeIfAnyLeft(cost, now);
                    const granted = reserve.decide(rank, cost, bucket, now, take) === "granted";
                    expect(granted && level <= 0).to.equal(false);
                    expect(reserve.timeUntilOpen(rank, bucket, now)).to.be.within(0, Number.MAX_VALUE);
                    sum += granted ? cost : 0;
                    largest = Math.max(largest, cost);
                    expect(sum).to.be.at.most(burst + rate * now / 1_000 + largest);
                }
            }),
            { seed, numRuns: 200 },
        );
    });

    // Guards against a share without a leader that higher and lower priorities overdraw together.
    for (const isUsedUp of [false, true]) {
        it(`holds in a gateway's share at 6.6 times the usual load, and grants no larger sum there, used up: ${isUsedUp}`, () => {
            const load = rankedLoad(shares, 6.6, 60, 20);
            const play = (ranked: boolean): RankOutcome[] => {
                const share = EqualShare.create(() => 1, 0);
                return outcomes(
                    load,
                    ({ at, rank, cost }) => {
                        const charge = { organisation: "a", allowance, cost, attempt: String(at) };
                        return share.admit(ranked ? { ...charge, rank } : charge, isUsedUp, 0, at).decision;
                    },
                    0,
                    60,
                );
            };
            const unitsOf = (ranks: readonly RankOutcome[]): number => {
                return ranks.reduce((sum, { unitsPerSecond }) => sum + unitsPerSecond, 0);
            };
            const [ranked, unranked] = [play(true), play(false)];
            expect(unranked[0]!.refused).to.be.above(0.4);
            expect(ranked[0]!.refused).to.be.below(1 / 20);
            expect(ranked[2]!.refused).to.be.above(0.5);
            expect(unitsOf(ranked)).to.be.at.most(unitsOf(unranked));
        });
    }
});
