import { expect } from "chai";
import * as fc from "fast-check";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { Tally } from "../subject.js";
import { Holder, limits, roundInterval, runRounds } from "./holder.js";
import { pool } from "./samples.js";
import { World } from "./world.js";

const declarationArbitrary = fc.record({
    prefill: fc.integer({ min: 0, max: 4 }),
    decode: fc.integer({ min: 1, max: 4 }),
    floor: fc.integer({ min: 0, max: 2 }),
    version: fc.constantFrom("1", "2", "3"),
    adapters: fc.subarray(["a", "b"]),
});
const runArbitrary = fc.record({
    seed: fc.nat(),
    engines: fc.integer({ min: 1, max: 7 }),
    checksFence: fc.boolean(),
    faults: fc.constantFrom(0, 0.1, 0.3),
    declarations: fc.array(declarationArbitrary, { minLength: 1, maxLength: 3 }),
});

type RunSettings = typeof runArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function worldOf({ seed, engines, checksFence, faults, declarations }: RunSettings): World {
    const rules = { ...limits, checksFence, faults };
    return new World(poolOf(declarations[0]!), engines, SeededRandomness.create(seed), rules);
}

function poolOf({ prefill, decode, floor, version, adapters }: RunSettings["declarations"][number]) {
    return pool({
        models: [{ name: "m", version, adapters }],
        copies: { prefill, decode },
        floor: { prefill: floor, decode: floor },
    });
}

/** Property: orders abort no attempts, keep the floor and the limit on concurrent loads, and converge to the declaration. */
export function declarationProperty(tally = new Tally()) {
    return fc.property(runArbitrary, settings => {
        const world = worldOf(settings);
        const holder = new Holder(world, 10);
        for (const declaration of settings.declarations) {
            world.declared = poolOf(declaration);
            world.advance(roundInterval);
            runRounds(world, holder, 25);
        }
        world.stopFaults();
        runRounds(world, holder, 100);
        const openOrders = [...holder.state.open.values()].map(({ orderId }) => orderId);
        expect(openOrders).to.deep.equal([]);
        expect(holder.completedOrders.length).to.equal(holder.issuedOrders.size);
        expect(holder.round()).to.equal(false);
        if (settings.declarations.at(-1)!.floor === 0) {
            expect(world.matchesDeclaration()).to.equal(true);
        }
        tally.addRun(holder.rounds);
    });
}

/** Property: the orders of the next holder don't conflict with those of the previous one. */
export function handoverProperty(tally = new Tally()) {
    return fc.property(runArbitrary, fc.integer({ min: 1, max: 25 }), (settings, handoverRound) => {
        const world = worldOf(settings);
        const previous = new Holder(world, 10);
        runRounds(world, previous, handoverRound);
        world.declared = poolOf(settings.declarations.at(-1)!);
        world.advance(limits.settle + limits.orderTimeout);
        const next = new Holder(world, 20);
        runRounds(world, next, 25);
        world.stopFaults();
        runRounds(world, next, 100);
        expect(next.round()).to.equal(false);
        tally.addRun(previous.rounds + next.rounds);
    });
}
