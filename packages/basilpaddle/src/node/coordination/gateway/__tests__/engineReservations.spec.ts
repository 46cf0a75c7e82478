import { expect } from "chai";
import type { PlacementRequest } from "../../../protocol/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { engines, placed, rule, typicalPlacementRequest } from "./fakes.js";

/** A queue with several priorities in front of full decode engines, and its runs by engine: eight on each. */
function fullQueue(decode: number): { readonly queue: PlacementQueue; readonly runs: ReadonlyMap<string, string[]>; } {
    const queue = PlacementQueue.create({ fill: 1, share: 1 });
    queue.setPrioritised(true, 0);
    queue.setEngines(engines(2, decode), rule);
    const runs = new Map<string, string[]>();
    for (let number = 0; number < 8 * decode; number++) {
        const attempt = `held-${number}`;
        const [decision] = queue.enqueueRequest(typicalPlacementRequest(attempt), 0);
        const engine = decision?.kind === "placed" ? decision.decode : "";
        runs.set(engine, [...runs.get(engine) ?? [], attempt]);
        queue.prefillCompleted(attempt, 0);
    }
    return { queue, runs };
}

const small = { priority: 2, promptTokens: 500, targetWithin: 4_000, patienceWithin: 9_000 };

/**
 * Ends the oldest run every 20 ms while small requests of a lower priority arrive; returns when a request was placed, and
 * how many small ones were until then.
 */
function placedAfter(attempt: string, request: Partial<PlacementRequest>): {
    readonly at: number;
    readonly overtaking: number;
} {
    const { queue, runs } = fullQueue(1);
    expect(placed(queue.enqueueRequest(typicalPlacementRequest(attempt, request), 1))).to.deep.equal([]);
    const running = [...runs.values()].flat();
    let overtaking = 0;
    for (let now = 20; now < 2_000; now += 20) {
        const arrivals = [0, 1, 2, 3].flatMap(index => {
            const arrival = typicalPlacementRequest(`small-${now}-${index}`, { ...small, cacheTokens: 1_000 });
            return queue.enqueueRequest(arrival, now);
        });
        const decisions = [...arrivals, ...queue.release(running.shift()!, {}, now), ...queue.review(now)];
        if (placed(decisions).includes(attempt)) {
            return { at: now, overtaking };
        }
        overtaking += placed(decisions).length;
        running.push(...placed(decisions));
    }
    return { at: Number.POSITIVE_INFINITY, overtaking };
}

describe("reservations in a pool with several priorities", () => {
    const large = { priority: 0, promptTokens: 9_000, cacheTokens: 12_000, targetWithin: 1_000, patienceWithin: 4_000 };

    // Load: small requests of a lower priority use all room that one engine frees. Guards against a large request that starves.
    it("let small requests overtake a large one for a quarter of its target at most", () => {
        const { at, overtaking } = placedAfter("large", large);
        expect(overtaking).to.be.above(10);
        expect(at).to.be.within(250, 600);
    });

    // Guards against a request of the highest priority that waits until it is refused once it is late.
    it("are made for a late request as well", () => {
        const late = { priority: 0, cacheTokens: 6_000, targetWithin: -100, patienceWithin: 2_000 };
        expect(placedAfter("late", late).at).to.be.below(400);
    });

    // Load: five large requests at ten full engines. Guards against a pool that is reserved for them altogether.
    it("leave nine of ten engines to others", () => {
        const { queue, runs } = fullQueue(10);
        for (let number = 0; number < 5; number++) {
            queue.enqueueRequest(typicalPlacementRequest(`large-${number}`, large), 1);
        }
        runs.forEach(([attempt]) => queue.release(attempt!, {}, 400));
        const decisions = Array.from({ length: 12 }, (_, number) => {
            return queue.enqueueRequest(
                typicalPlacementRequest(`small-${number}`, { ...small, cacheTokens: 3_900 }),
                401,
            );
        });
        expect(placed(decisions.flat()).length).to.equal(9);
    });
});
