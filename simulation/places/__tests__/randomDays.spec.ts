import { expect } from "chai";
import * as fc from "fast-check";
import { bundledDay, type Day, daySchema } from "../day.js";
import { DaySimulation, simulateDay } from "../daySimulation.js";

const { pool, workload } = bundledDay("hanbit");
/** Milliseconds of a random day, and the time after it by which all of its requests have ended. */
const length = 6_000;
const settleMilliseconds = 40_000;
const tickMilliseconds = 5;

const fault = fc.record({
    at: fc.integer({ min: 0, max: length }),
    lasts: fc.integer({ min: 200, max: 5_000 }),
    part: fc.double({ min: 0.05, max: 1, noNaN: true }),
});

/** Days of small pools whose engines crash and slow down, in sequence and at the same time. */
const days: fc.Arbitrary<Day> = fc.record({
    prefill: fc.integer({ min: 1, max: 3 }),
    decode: fc.integer({ min: 1, max: 6 }),
    slots: fc.constantFrom(4, 12, 96),
    rate: fc.integer({ min: 1, max: 30 }),
    gateways: fc.option(fc.integer({ min: 2, max: 9 }), { nil: undefined }),
    times: fc.integer({ min: 1, max: 4 }),
    crashes: fc.array(fault, { maxLength: 3 }),
    slow: fc.array(fault, { maxLength: 2 }),
}).map(drawn => {
    return daySchema.parse({
        about: "a random day",
        pool: {
            ...pool,
            prefill: drawn.prefill,
            decode: drawn.decode,
            figures: { ...pool.figures, slots: drawn.slots },
            gateways: drawn.gateways,
        },
        workload: {
            ...workload,
            rate: drawn.rate,
            length,
            bursts: [{ at: 2_000, lasts: 1_000, times: drawn.times }],
        },
        faults: [
            ...drawn.crashes.map(crash => ({ kind: "crash", ...crash })),
            ...drawn.slow.map(slow => ({ kind: "slow", ...slow, times: 3 })),
        ],
    });
});

describe("random simulated days", function() {
    this.timeout(120_000);

    it("end with no allocation and no waiting request, and every request has exactly one result", () => {
        fc.assert(
            fc.property(days, fc.integer({ min: 1, max: 1_000 }), (day, seed) => {
                const simulation = DaySimulation.create(day, seed);
                for (let now = 0; now < length + settleMilliseconds; now += tickMilliseconds) {
                    simulation.advanceTo(now);
                }
                expect(simulation.status()).to.deep.equal({ waiting: 0, active: 0, maxAllocatedTokens: 0 });
                const { requests, inTime, late, unserved, lost } = simulation.outcome();
                expect(inTime + late + unserved + lost).to.be.closeTo(requests === 0 ? 0 : 1, 1e-9);
            }),
            { numRuns: 100, seed: 7 },
        );
    });

    it("earn less worth with engine crashes than without", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 1_000 }), seed => {
                const dayWithoutFaults = bundledDay("celeste");
                const faults = [{ kind: "crash" as const, at: 3_000, lasts: 4_000, part: 0.6 }];
                expect(simulateDay({ ...dayWithoutFaults, faults }, seed).worth).to.be.below(
                    simulateDay(dayWithoutFaults, seed).worth,
                );
            }),
            { numRuns: 5, seed: 7 },
        );
    });
});

describe("day files", () => {
    it("are rejected with the path of each error", () => {
        const day = bundledDay("large-crashes");
        const wrong = { ...day, pool: { ...day.pool, decode: 0 }, faults: [{ kind: "flood", at: 1 }], extra: 1 };
        const places = daySchema.safeParse(wrong).error!.issues.map(issue => issue.path.join("."));
        expect(places).to.have.members(["pool.decode", "faults.0.kind", ""]);
    });
});
