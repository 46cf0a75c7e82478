import { expect } from "chai";
import * as fc from "fast-check";
import { Holder, limits, roundInterval, runRounds } from "../../../../../../../simulation/orders/holder.js";
import { declarationProperty, handoverProperty } from "../../../../../../../simulation/orders/runs.js";
import { pool } from "../../../../../../../simulation/orders/samples.js";
import { World } from "../../../../../../../simulation/orders/world.js";
import { SeededRandomness } from "../../../utils/index.js";

describe("orders derived from the declaration and the engines' states", () => {
    it("abort no requests, keep the floor and the load limit, and converge to the declaration", () => {
        fc.assert(declarationProperty(), { seed: 7, numRuns: 150 });
    });

    it("don't contradict those of the previous holder, whether engines check fencing numbers or not", () => {
        fc.assert(handoverProperty(), { seed: 11, numRuns: 150 });
    });

    it("of the previous holder that are delayed take effect before the next holder acts", () => {
        // Guards against a role change that aborts requests which the new holder admitted. The previous holder's order is
        // in transit when it loses the lease; the new one returns the engine to placement, and then the order arrives. The
        // new holder has to wait until orders in transit have expired.
        const seeds = Array.from({ length: 20 }, (_, seed) => seed);
        const withWait = seeds.filter(seed => abortsAfterHandover(seed, limits.settle + limits.orderTimeout));
        const withoutWait = seeds.filter(seed => abortsAfterHandover(seed, 0));
        expect(withWait).to.deep.equal([]);
        expect(withoutWait, "seeds that detect a missing wait").not.to.deep.equal([]);
    });
});

/** Whether an order of the previous holder that is delayed by almost an order timeout aborts a request. */
function abortsAfterHandover(seed: number, waitTime: number): boolean {
    const rules = { ...limits, checksFence: false, faults: 0 };
    const world = new World(pool(), 6, SeededRandomness.create(seed), rules);
    const { prefill, decode } = world.copies();
    const models = [{ name: "m", version: "1", adapters: [] }];
    world.declared = pool({
        models,
        copies: { prefill: Math.max(0, prefill - 1), decode: decode + 1 },
        floor: { prefill: 0, decode: 0 },
    });
    world.advance(roundInterval);
    const previous = new Holder(world, 10);
    previous.roleChangeDelay = limits.orderTimeout - 100;
    const changesRole = () => [...previous.state.open.values()].some(({ order }) => order.action === "changeRole");
    for (let round = 0; round < 30 && !changesRole(); round++) {
        runRounds(world, previous, 1);
    }
    // The change is no longer required, so that the next holder returns the engine to placement at once.
    world.declared = pool({ models, copies: { prefill, decode } });
    world.advance(waitTime);
    const next = new Holder(world, 20);
    for (let round = 0; round < 10; round++) {
        next.round();
        world.advance(roundInterval);
    }
    return world.violations.length > 0;
}
