import { expect } from "chai";
import * as fc from "fast-check";
import type { PlacementDecision } from "../../../protocol/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { announced, engines, placed, refused, rule, typicalPlacementRequest } from "./fakes.js";

function createQueue(prefill: number, decode: number, share = 1): PlacementQueue {
    const queue = PlacementQueue.create({ fill: 1, share });
    queue.setEngines(engines(prefill, decode), rule);
    return queue;
}

/** Time for which a run occupies its engine. */
const runMilliseconds = 3_200;

type SimulationOutcome = {
    readonly waitTimes: Map<string, number>;
    readonly refusalTimes: Map<string, number>;
    readonly maxAllocatedTokens: number;
};

/** Simulates arrivals, one every `gapAt(time)` ms, of runs that each end after `runMilliseconds`. */
function simulateArrivals(
    queue: PlacementQueue,
    length: number,
    intervalAt: (time: number) => number,
): SimulationOutcome {
    const waitTimes = new Map<string, number>();
    const refusalTimes = new Map<string, number>();
    const arrivedAt = new Map<string, number>();
    const ends: { readonly at: number; readonly attempt: string; }[] = [];
    let maxAllocatedTokens = 0;
    let nextArrival = 0;
    const recordDecisions = (decisions: readonly PlacementDecision[], now: number): void => {
        for (const decision of decisions) {
            const after = now - arrivedAt.get(decision.attempt)!;
            if (decision.kind === "placed") {
                waitTimes.set(decision.attempt, after);
                ends.push({ at: now + runMilliseconds, attempt: decision.attempt });
            }
            else {
                refusalTimes.set(decision.attempt, after);
            }
        }
    };
    for (let now = 0; now < length; now += 5) {
        while (ends.length > 0 && ends[0]!.at <= now) {
            recordDecisions(queue.release(ends.shift()!.attempt, {}, now), now);
        }
        for (; nextArrival <= now; nextArrival += intervalAt(nextArrival)) {
            const attempt = `at-${Math.round(nextArrival)}`;
            arrivedAt.set(attempt, now);
            recordDecisions(queue.enqueueRequest(typicalPlacementRequest(attempt), now), now);
        }
        recordDecisions(queue.review(now), now);
        maxAllocatedTokens = Math.max(maxAllocatedTokens, ...queue.counts().allocated.values());
    }
    return { waitTimes, refusalTimes, maxAllocatedTokens };
}

describe("the placement queue", () => {
    it("places a request at once while there is room, at a prefill and a decode engine in one failure domain", () => {
        const [decision] = createQueue(3, 3).enqueueRequest(typicalPlacementRequest("one"), 0);
        expect(decision).to.include({ kind: "placed", attempt: "one" });
        const { prefill, decode } = decision as Extract<PlacementDecision, { kind: "placed"; }>;
        expect(prefill!.split("-")[1]).to.equal(decode.split("-")[1]);
    });

    it("never allocates more of an engine's KV cache than it has, in a burst of twice the load", () => {
        const { maxAllocatedTokens } = simulateArrivals(
            createQueue(3, 10),
            20_000,
            time => time > 5_000 && time < 9_000 ? 38 : 80,
        );
        expect(maxAllocatedTokens).to.be.at.most(rule.cacheTokens);
    });

    // Load: 12.5 requests a second, and 26 a second for 4 s, on 10 engines with room for 80 runs of 3.2 s: 25 a second.
    it("serves most of a burst in time, and refuses no request that can still be served", () => {
        const { waitTimes, refusalTimes } = simulateArrivals(
            createQueue(3, 10),
            20_000,
            time => time > 5_000 && time < 9_000 ? 38 : 80,
        );
        const late = [...waitTimes.values()].filter(wait => wait > 700).length;
        expect(refusalTimes.size).to.equal(0);
        expect(late / waitTimes.size).to.be.below(0.1);
    });

    // Load: twice the capacity of the pool, for 12 s. A request that waits beyond its caller's timeout is lost.
    it("refuses early during a lasting overload, and serves the others before their timeout", () => {
        const { waitTimes, refusalTimes } = simulateArrivals(createQueue(3, 10), 12_000, () => 20);
        const late = [...waitTimes.values()].filter(wait => wait > 3_600).length;
        expect(refusalTimes.size).to.be.above(0);
        expect(late).to.equal(0);
        expect(Math.max(...refusalTimes.values())).to.be.below(3_600);
    });

    it("refuses a request at once that can't be served before its caller's timeout, with a retry-after time", () => {
        const queue = createQueue(1, 1);
        for (let number = 0; number < 8; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
        }
        const [decision] = queue.enqueueRequest(typicalPlacementRequest("hopeless", { patienceWithin: 300 }), 1);
        expect(decision).to.include({ kind: "refused", attempt: "hopeless" });
        expect((decision as Extract<PlacementDecision, { kind: "refused"; }>).comeBackIn).to.be.above(0);
    });

    // Guards against forecasts that are late, and prompts kept waiting, for prompts which a new leader takes for unread.
    it("takes the prompts of reported runs for read", () => {
        const [queue, unreported] = [createQueue(0, 1), createQueue(0, 1)];
        const held = [{ demand: typicalPlacementRequest("held"), decode: "decode-0" }];
        queue.reconcile("gateway", held, 0, 0);
        expect(queue.enqueueRequest(typicalPlacementRequest("next"), 0)[0]).to.deep.equal(
            unreported.enqueueRequest(typicalPlacementRequest("next"), 0)[0],
        );
    });

    it("moves requests that can't meet their target behind those that still can", () => {
        const queue = createQueue(1, 1);
        for (let number = 0; number < 8; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
        }
        queue.enqueueRequest(typicalPlacementRequest("late", { targetWithin: -100 }), 1);
        queue.review(30);
        queue.enqueueRequest(typicalPlacementRequest("early", { targetWithin: 900 }), 31);
        expect(placed(queue.release("held-0", {}, 60))[0]).to.equal("early");
    });

    it("lets a small request overtake one that doesn't fit, for a limited time", () => {
        const queue = createQueue(1, 1);
        for (let number = 0; number < 7; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
            // Otherwise the queue of prompts alone makes the large request late, and no engine is reserved for late ones.
            queue.prefillCompleted(`held-${number}`, 0);
        }
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("large", { cacheTokens: 6_000 }), 0))).to.deep.equal(
            [],
        );
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("small", { cacheTokens: 500 }), 40))).to.deep.equal([
            "small",
        ]);
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("smaller", { cacheTokens: 400 }), 400))).to.deep
            .equal([]);
    });

    // Guards against unused room in a burst of twice the capacity while small requests wait that could meet their target: the
    // least loaded engine is reserved for a large request, although enough room is freed only after its target. The large
    // request is late anyway, and so are those that were delayed for it.
    it("lets others overtake a request that would miss its target even with an engine reserved for it", () => {
        const queue = createQueue(1, 1);
        for (let number = 0; number < 8; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
            queue.prefillCompleted(`held-${number}`, 0);
        }
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("large", { cacheTokens: 15_000 }), 0))).to.deep
            .equal([]);
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("small", { cacheTokens: 300 }), 400))).to.deep.equal(
            ["small"],
        );
    });

    // Guards against wasted prefills: two of ten decode engines rejected 90 runs within 12 s, since placement used their
    // announcements only. Engines that are ordered to become prefill engines finish their current runs and reject others, but
    // are announced as decode engines until the change is complete.
    it("places nothing at an engine that was ordered to change its stage, until the change or the timeout of the order", () => {
        const queue = createQueue(1, 2);
        queue.recordStageOrder("decode-0", "prefill", 1_000);
        const decodes = (from: number, now: number): Set<string> => {
            const decisions = Array.from(
                { length: 6 },
                (_, number) => queue.enqueueRequest(typicalPlacementRequest(`p-${from + number}`), now),
            )
                .flat();
            return new Set(decisions.map(decision => decision.kind === "placed" ? decision.decode : "none"));
        };
        expect([...decodes(0, 0)]).to.deep.equal(["decode-1"]);
        expect([...decodes(6, 1_001)]).to.include("decode-0");
    });

    // Guards against first events that are a second late while prompts queue at prefill engines and decode engines are idle.
    it("lets a decode engine run the prefill itself if the queue of the prefill engines is long", () => {
        const queue = createQueue(1, 10);
        const decisions = Array.from(
            { length: 14 },
            (_, number) => queue.enqueueRequest(typicalPlacementRequest(`p-${number}`), 0),
        ).flat();
        const combined = decisions.filter(decision => decision.kind === "placed" && decision.prefill === undefined);
        expect(combined.length).to.be.within(3, 12);
    });

    // Guards against late first events in the seconds after an election, each after a prefill of 0.6 to 1.2 s, although decode
    // engines have room for prefills as well: gateways placed locally while there was no leader and queued prefills, but the
    // new leader counts only those that it assigned itself, and sees short queues.
    it("uses the actual prefill times if others assign prefills to an engine too", () => {
        const countSeparatePrefills = (prefillMilliseconds: number): number => {
            const queue = createQueue(2, 10);
            let atPrefill = 0;
            for (let number = 0; number < 60; number++) {
                const now = number * 100;
                const attempt = `p-${number}`;
                const [decision] = queue.enqueueRequest(typicalPlacementRequest(attempt), now);
                const { prefill } = decision as Extract<PlacementDecision, { kind: "placed"; }>;
                atPrefill += prefill === undefined ? 0 : 1;
                queue.prefillCompleted(attempt, now + (prefill === undefined ? 270 : prefillMilliseconds));
                queue.release(attempt, {}, now + 1_000);
            }
            return atPrefill;
        };
        expect(countSeparatePrefills(130)).to.equal(60);
        expect(countSeparatePrefills(1_000)).to.be.below(45);
    });

    it("names no prefill engine if none is ready", () => {
        const [decision] = createQueue(0, 2).enqueueRequest(typicalPlacementRequest("one"), 0);
        expect(decision).to.deep.include({ kind: "placed", prefill: undefined });
    });

    it("keeps requests waiting for a pool without announced engines", () => {
        const queue = createQueue(0, 0);
        expect(queue.enqueueRequest(typicalPlacementRequest("one"), 0)).to.deep.equal([]);
        queue.setEngines(engines(1, 1), rule);
        expect(placed(queue.review(500))).to.deep.equal(["one"]);
    });

    it("uses silent engines if no other is left", () => {
        const queue = createQueue(0, 0);
        queue.setEngines(engines(1, 2).map(engine => ({ ...engine, state: "silent" as const })), rule);
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("one"), 0))).to.deep.equal(["one"]);
        const [silent, ready] = engines(0, 2);
        queue.setEngines([{ ...silent!, state: "silent" }, ready!], rule);
        const [decision] = queue.enqueueRequest(typicalPlacementRequest("two"), 10);
        expect(decision).to.include({ kind: "placed", decode: ready!.id });
    });

    it("refuses requests if no engine is announced after a while", () => {
        const queue = createQueue(0, 0);
        queue.enqueueRequest(typicalPlacementRequest("one"), 0);
        expect(refused(queue.review(2_000))).to.deep.equal(["one"]);
    });

    it("avoids a failed engine, for the request itself and for a while for all", () => {
        const queue = createQueue(1, 2);
        const first = queue.enqueueRequest(typicalPlacementRequest("one"), 0)[0] as Extract<
            PlacementDecision,
            { kind: "placed"; }
        >;
        queue.release("one", { failed: first.decode }, 10);
        const again = queue.enqueueRequest(typicalPlacementRequest("two", { avoid: [] }), 20)[0] as typeof first;
        expect(again.decode).not.to.equal(first.decode);
        const avoiding = queue.enqueueRequest(
            typicalPlacementRequest("three", { avoid: [again.decode] }),
            2_000,
        )[0] as typeof first;
        expect(avoiding.decode).to.equal(first.decode);
    });

    it("places a resumed run before all that haven't started", () => {
        const queue = createQueue(1, 1);
        for (let number = 0; number < 8; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
        }
        queue.enqueueRequest(typicalPlacementRequest("new"), 1);
        queue.enqueueRequest(typicalPlacementRequest("broken", { resumed: true, targetWithin: -500 }), 2);
        expect(placed(queue.release("held-0", {}, 30))[0]).to.equal("broken");
    });

    it("allocates only its share if every gateway places locally", () => {
        const queue = createQueue(1, 2, 0.25);
        const decisions = Array.from(
            { length: 8 },
            (_, number) => queue.enqueueRequest(typicalPlacementRequest(`p-${number}`), 0),
        )
            .flat();
        expect(placed(decisions).length).to.equal(4);
    });

    // Guards against a pool that appears full although its engines are idle: the report of a run's end was lost with its
    // connection, or a gateway crashed.
    it("releases placements that their gateway doesn't list, and those of a gateway that is gone", () => {
        const queue = createQueue(1, 1);
        queue.enqueueRequest(typicalPlacementRequest("known", { gateway: "g" }), 0);
        queue.enqueueRequest(typicalPlacementRequest("lost", { gateway: "g" }), 0);
        queue.reconcile(
            "g",
            [{ demand: typicalPlacementRequest("known", { gateway: "g" }), decode: "decode-0" }],
            1_500,
            5_000,
        );
        expect(queue.counts().active).to.equal(1);
        queue.dropGateway("g", 5_001);
        expect(queue.counts().active).to.equal(0);
    });

    it("adds the placements of a previous leader at a new one", () => {
        const queue = createQueue(1, 1);
        const reported = Array.from(
            { length: 8 },
            (_, number) => ({ demand: typicalPlacementRequest(`h-${number}`), decode: "decode-0" }),
        );
        queue.reconcile("gateway", reported, 1_500, 0);
        expect(placed(queue.enqueueRequest(typicalPlacementRequest("next"), 1))).to.deep.equal([]);
    });

    it("drops an engine's runs with the engine", () => {
        const queue = createQueue(1, 1);
        queue.enqueueRequest(typicalPlacementRequest("one"), 0);
        queue.setEngines([announced({ id: "decode-9", stage: "decode" })], rule);
        expect(queue.counts().allocated.get("decode-9")).to.equal(0);
    });

    it("holds nothing after all requests have ended, whatever happened in between", () => {
        const step = fc.record({ kind: fc.constantFrom("ask", "release", "withdraw", "review"), number: fc.nat(30) });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 200 }), steps => {
                const queue = createQueue(2, 3);
                steps.forEach(({ kind, number }, at) => {
                    const now = at * 20;
                    const attempt = `p-${number}`;
                    if (kind === "ask") {
                        queue.enqueueRequest(typicalPlacementRequest(attempt), now);
                    }
                    else if (kind === "review") {
                        queue.review(now);
                    }
                    else if (kind === "release") {
                        queue.release(attempt, {}, now);
                    }
                    else {
                        queue.withdraw(attempt, now);
                    }
                });
                for (let number = 0; number <= 30; number++) {
                    queue.withdraw(`p-${number}`, 10_000);
                }
                expect(queue.counts().active).to.equal(0);
                expect([...queue.counts().allocated.values()]).to.deep.equal([0, 0, 0, 0, 0]);
            }),
            { seed: 1, numRuns: 200 },
        );
    });

    // Guards against callers who wait for engines that have all said that they leave.
    it("refuses a request at once if all decode engines leave, and lets it wait if none is known yet", () => {
        const queue = createQueue(1, 2);
        queue.setEngines(
            engines(1, 2).map(engine => engine.stage === "decode" ? { ...engine, state: "draining" } : engine),
            rule,
        );
        expect(refused(queue.enqueueRequest(typicalPlacementRequest("first"), 0))).to.deep.equal(["first"]);
        queue.setEngines([], rule);
        expect(queue.enqueueRequest(typicalPlacementRequest("second"), 0)).to.deep.equal([]);
    });
});
