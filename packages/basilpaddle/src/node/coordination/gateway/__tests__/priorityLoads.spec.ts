import { expect } from "chai";
import { type KindOutcome, type LoadOptions, type RequestKind, simulateLoad } from "./priorityLoad.js";

const length = 16_000;
const longPrompt = { promptTokens: 12_000, cacheTokens: 14_000 };

/** A kind whose rate is multiplied from 4 s to 10 s; its callers wait for four targets, at least two seconds. */
function kind(
    rank: number,
    target: number,
    rate: number,
    times = 1,
    rest: Partial<RequestKind> = {},
): RequestKind {
    return {
        name: rest.organisation === undefined ? `rank ${rank}` : `rank ${rank} of ${rest.organisation}`,
        rank,
        rateAt: time => time >= 4_000 && time < 10_000 ? rate * times : rate,
        ...rest,
        request: { targetWithin: target, patienceWithin: Math.max(2_000, 4 * target), ...rest.request },
    };
}

/** A pool of 10 decode engines with room for 80 runs of 3.3 s, about 24 a second. */
function simulate(kinds: readonly RequestKind[], rest: Partial<LoadOptions> = {}): (name: string) => KindOutcome {
    const outcomes = simulateLoad({ prefill: 4, decode: 10, length, kinds, ...rest });
    return name => outcomes.get(name)!;
}

const higherKinds = [kind(0, 500, 4), kind(1, 900, 6)];

describe("a pool with several priorities, short of capacity", () => {
    // Load: the lowest priority at 2.2 times its usual rate for 6 s; three of its organisations send six times as much.
    it("serves higher priorities in time while the lowest is at 2.2 times, three organisations at six times", () => {
        const outcome = simulate([
            ...higherKinds,
            ...["a", "b", "c"].map(organisation => kind(2, 2_000, 2, 6, { organisation })),
            kind(2, 2_000, 2, 2.2, { organisation: "d" }),
        ]);
        for (const rank of [0, 1]) {
            expect(outcome(`rank ${rank}`)).to.include({ inTime: outcome(`rank ${rank}`).sent, late: 0, refused: 0 });
        }
        const usual = outcome("rank 2 of d");
        const flooding = outcome("rank 2 of a");
        expect(usual.inTime / usual.sent).to.be.above(1.3 * flooding.inTime / flooding.sent);
        expect(flooding.reasons.every(reason => /^(gave way to rank [01]|no room in time)$/.test(reason))).to.equal(
            true,
        );
        expect(flooding.inTime).to.be.above(0);
    });

    // Load: one organisation sends six times its usual rate for 6 s, in the same priority as another one.
    it("serves an organisation in time whose priority another one floods", () => {
        const outcome = simulate([
            kind(0, 500, 4),
            kind(1, 900, 3, 6, { organisation: "a" }),
            kind(1, 900, 3, 1, { organisation: "b" }),
            kind(2, 2_000, 6),
        ]);
        expect(outcome("rank 0").inTime).to.equal(outcome("rank 0").sent);
        expect(outcome("rank 1 of b").inTime).to.equal(outcome("rank 1 of b").sent);
    });

    // Load: prompts of 12,000 tokens of the lowest priority at eight times their rate for 6 s, and twice its other requests.
    it("serves higher priorities in time while long prompts of the lowest priority come in a burst", () => {
        const outcome = simulate([
            ...higherKinds,
            kind(2, 2_000, 8, 2.2),
            { ...kind(2, 3_000, 0.3, 8, { request: longPrompt }), name: "long" },
        ]);
        expect(outcome("rank 0").inTime).to.equal(outcome("rank 0").sent);
        expect(outcome("rank 1").inTime / outcome("rank 1").sent).to.be.above(0.97);
        expect(outcome("long").refused).to.be.below(outcome("long").sent);
    });

    // Load: the pool's whole capacity; two of ten decode engines end after 5 s.
    it("takes the loss of a fifth of the engines from the lowest priority", () => {
        const outcome = simulate([kind(0, 500, 5), kind(1, 900, 8), kind(2, 2_000, 10)], {
            loss: { at: 5_000, engines: 2 },
        });
        expect(outcome("rank 0")).to.include({ inTime: outcome("rank 0").sent, late: 0, refused: 0 });
        expect(outcome("rank 1")).to.include({ refused: 0 });
        expect(outcome("rank 2").inTime).to.be.above(0);
    });

    // Load: the two higher priorities alone need 1.1 times the capacity for 16 s. Guards against a priority that gets nothing.
    it("places requests of the lowest priority while higher ones take all capacity, unless the floor is 0", () => {
        const kinds = [kind(0, 500, 12), kind(1, 900, 15), kind(2, 2_000, 4)];
        const inTime = (floor: number): number => simulate(kinds, { floor })("rank 2").inTime;
        expect(inTime(0.1)).to.be.above(2 * inTime(0));
    });
});
