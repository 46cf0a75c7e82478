import { expect } from "chai";
import { createHash } from "node:crypto";
import { PlacementQueue } from "../../../packages/basilpaddle/src/node/coordination/index.js";
import { bundledDay } from "../day.js";
import { simulateDay } from "../daySimulation.js";

const methods = ["enqueueRequest", "review", "release"] as const;

/** Digest of all decisions of a day, in their order. */
function digestOfDecisions(day: string, seed: number): string {
    const prototype = PlacementQueue.prototype as unknown as Record<string, (...parameters: unknown[]) => unknown[]>;
    const originals = methods.map(method => [method, prototype[method]!] as const);
    const hash = createHash("sha256");
    for (const [method, original] of originals) {
        prototype[method] = function(this: PlacementQueue, ...parameters: unknown[]): unknown[] {
            const decisions = original.apply(this, parameters);
            if (decisions.length > 0) {
                hash.update(method + JSON.stringify(decisions));
            }
            return decisions;
        };
    }
    try {
        simulateDay(bundledDay(day), seed);
    }
    finally {
        originals.forEach(([method, original]) => prototype[method] = original);
    }
    return hash.digest("hex").slice(0, 16);
}

// Load: the bundled days "celeste" and "strained", whose requests have one priority; the engines of "strained" differ by 1.6 times. Guards
// against placement for several priorities or by speed that alters decisions where nothing asks for it. A change that is meant to
// alter them replaces the digests.
describe("the decisions of an emulated day with one priority", () => {
    const digests = [["celeste", "44c934d31b6badba"], ["strained", "893a816ef1f7eccf"]] as const;
    for (const [day, digest] of digests) {
        it(`are the same byte for byte on ${day}`, () => {
            expect(digestOfDecisions(day, 1)).to.equal(digest);
        });
    }
});
