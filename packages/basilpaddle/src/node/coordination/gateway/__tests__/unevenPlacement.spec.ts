import { expect } from "chai";
import * as fc from "fast-check";
import { type PlacementDecision, type PlacementRequest, placementRequestSchema } from "../../../protocol/index.js";
import { CompletionScore, completionTime, EventTokens, type ScoredLoad } from "../../cost/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { engines, rule, typicalPlacementRequest } from "./fakes.js";

const eventMilliseconds = 42;

function createQueue(decode: number): PlacementQueue {
    const queue = PlacementQueue.create({ fill: 1, share: 1, unevenScore: CompletionScore.create() });
    queue.setEngines(engines(1, decode), rule);
    return queue;
}

/** Reports the writing of the decode engines at the given speeds; undefined for an engine without reports. */
function report(queue: PlacementQueue, speeds: readonly (number | undefined)[], now: number): void {
    speeds.forEach((speed, number) => {
        for (let count = 0; speed !== undefined && count < 4; count++) {
            const writing = { events: 20, milliseconds: 20 * eventMilliseconds / speed };
            queue.recordWriting(`decode-${number}`, writing, now);
        }
    });
}

/** Places requests without an end; returns the numbers of runs by engine. */
function runsByEngine(
    queue: PlacementQueue,
    count: number,
    now: number,
    overrides: Partial<PlacementRequest> = {},
): Record<string, number> {
    const runs: Record<string, number> = {};
    for (let number = 0; number < count; number++) {
        for (const decision of queue.enqueueRequest(typicalPlacementRequest(`r-${number}`, overrides), now)) {
            if (decision.kind === "placed") {
                runs[decision.decode] = (runs[decision.decode] ?? 0) + 1;
            }
        }
    }
    return runs;
}

describe("placement at engines of uneven speed", () => {
    // Guards against slow engines that keep their runs 2.4 times as long while a fast one has room.
    it("prefers the engine of 1.7 to those of 0.7 that were unknown at the start", () => {
        const queue = createQueue(3);
        report(queue, [0.7, 0.7, 1.7], 1_000);
        const runs = runsByEngine(queue, 10, 1_100);
        expect(runs["decode-2"]).to.be.at.least(5);
        expect(Math.max(runs["decode-0"] ?? 0, runs["decode-1"] ?? 0)).to.be.at.most(3);
    });

    it("allocates no more at any engine than its KV cache, however fast it is", () => {
        const queue = createQueue(3);
        report(queue, [0.2, 0.2, 5], 1_000);
        runsByEngine(queue, 60, 1_100);
        expect(Math.max(...queue.counts().allocated.values())).to.be.at.most(rule.cacheTokens);
    });

    // Guards against a change of placement by noise: speeds that differ less than the threshold have no effect.
    it("places exactly as without reports if the speeds differ by 1.4 times", () => {
        fc.assert(
            fc.property(
                fc.array(fc.record({ tokens: fc.integer({ min: 1, max: 6_000 }), at: fc.nat(8_000) }), {
                    maxLength: 60,
                }),
                fc.array(fc.double({ min: 1, max: 1.4, noNaN: true }), { minLength: 4, maxLength: 4 }),
                (requests, speeds) => {
                    const decide = (isReported: boolean): PlacementDecision[] => {
                        const queue = createQueue(4);
                        const sorted = [...requests].sort((one, other) => one.at - other.at);
                        return sorted.flatMap(({ tokens, at }, number) => {
                            if (isReported) {
                                report(queue, speeds, at);
                            }
                            const request = typicalPlacementRequest(`r-${number}`, { cacheTokens: 3_200 + tokens });
                            return [
                                ...queue.release(`r-${number - 7}`, {}, at),
                                ...queue.enqueueRequest(request, at),
                                ...queue.review(at),
                            ];
                        });
                    };
                    expect(decide(true)).to.deep.equal(decide(false));
                },
            ),
            { numRuns: 60, seed: 11 },
        );
    });

    it("gives an engine of unknown speed at most a quarter more than its share among equals", () => {
        const queue = createQueue(4);
        report(queue, [3, 3, 0.5, undefined], 1_000);
        expect(runsByEngine(queue, 20, 1_100)["decode-3"] ?? 0).to.be.at.most(20 / 4 * 1.25);
    });

    // Guards against streams that are late by their pauses: every run at an engine slows the others.
    it("places no further run at a slow engine where events would exceed the gap, and leaves it one", () => {
        const queue = createQueue(2);
        report(queue, [0.15, 1], 1_000);
        const runs = runsByEngine(queue, 14, 1_100, { gap: 300, cacheTokens: 5_000 });
        expect(runs["decode-0"] ?? 0).to.be.at.most(1);
        expect(runs["decode-1"]).to.be.at.least(6);
    });

    // Guards against an engine that is kept for a request which it is too slow for, while others wait for its room.
    it("keeps no slow engine for a request that must not run there", () => {
        const queue = createQueue(2);
        report(queue, [0.15, 1], 1_000);
        runsByEngine(queue, 8, 1_100, { gap: 300 });
        queue.enqueueRequest(typicalPlacementRequest("waiting", { gap: 300, targetWithin: 5_000 }), 1_100);
        const [decision] = queue.enqueueRequest(typicalPlacementRequest("any", { targetWithin: 9_000 }), 1_200);
        expect(decision).to.include({ kind: "placed", decode: "decode-0" });
    });

    // Guards against answers that end after their caller's deadline, since the time that a request has waited isn't subtracted.
    it("places no request that has waited for 6 s at an engine that would end it too late", () => {
        const queue = createQueue(2);
        for (let number = 0; number < 25; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`known-${number}`), 0);
            queue.release(`known-${number}`, { answerEvents: 75 }, 0);
        }
        const engineOf = new Map<string, string>();
        for (let number = 0; number < 16; number++) {
            const [decision] = queue.enqueueRequest(typicalPlacementRequest(`r-${number}`), 0);
            engineOf.set(decision!.attempt, decision?.kind === "placed" ? decision.decode : "");
        }
        const waiting = { finishWithin: 10_000, targetWithin: 60_000, patienceWithin: 60_000 };
        queue.enqueueRequest(typicalPlacementRequest("waiting", waiting), 0);
        report(queue, [0.5, 1], 5_900);
        const endRunAt = (engine: string): PlacementDecision[] =>
            queue.release([...engineOf].find(([, decode]) => decode === engine)![0], {}, 6_000);
        expect(endRunAt("decode-0")).to.deep.equal([]);
        expect(endRunAt("decode-1")[0]).to.include({ attempt: "waiting", decode: "decode-1" });
    });

    // Guards against a request, or a report of all placements, that is dropped for one invalid optional value.
    it("ignores invalid limits of a request", () => {
        const request = { ...typicalPlacementRequest("one"), gap: "300", finishWithin: Number.NaN };
        expect(placementRequestSchema.parse(request)).to.include({ gap: undefined, finishWithin: undefined });
    });

    it("places as among equal engines if a new leader has no reports yet", () => {
        const withoutReports = runsByEngine(createQueue(3), 12, 0);
        const queue = createQueue(3);
        report(queue, [1, 1, 1], 0);
        expect(withoutReports).to.deep.equal(runsByEngine(queue, 12, 0));
        expect(Object.values(withoutReports).reduce((sum, runs) => sum + runs, 0)).to.equal(12);
    });
});

describe("the expected end of a run", () => {
    it("isn't earlier with more expected work on the same engine", () => {
        const amount = fc.nat(100_000);
        const growth = fc.double({ min: 0, max: 0.05, noNaN: true });
        fc.assert(
            fc.property(amount, amount, fc.nat(96), fc.nat(96), growth, (tokens, more, runs, moreRuns, slope) => {
                const times = { tokenTime: 3.2, growth: slope, meanSpeed: 1, capacityTokens: 34_000 };
                const load = (count: number): ScoredLoad => {
                    return { id: "e", speed: 0.7, runs: count, allocatedTokens: 0, remainingTokens: 0 };
                };
                const end = (answerTokens: number, count: number): number => {
                    return completionTime(load(count), { attempt: "a", answerTokens, cacheTokens: 0 }, times);
                };
                expect(end(tokens + more, runs + moreRuns)).to.be.at.least(end(tokens, runs));
            }),
            { numRuns: 200, seed: 5 },
        );
    });
});

describe("learned tokens of an event", () => {
    it("are right if one answer in four is expected at a fourth of its length, and ignore invalid values", () => {
        const eventTokens = EventTokens.create();
        for (let number = 0; number < 400; number++) {
            eventTokens.recordAnswer(number % 4 === 0 ? 225 : 900, 70);
        }
        [0, -1, Number.NaN, Number.POSITIVE_INFINITY].forEach(events => eventTokens.recordAnswer(900, events));
        expect(eventTokens.mean()).to.be.within(8, 13);
    });
});
