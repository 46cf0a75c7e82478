import * as fc from "fast-check";
import { Tally } from "../subject.js";
import { type Run, runArbitrary } from "./fault.js";
import { World } from "./world.js";

/** Property: the agreement protocol keeps its invariants under random faults, and the group recovers afterwards. */
export function agreementProperty(tally = new Tally()): ReturnType<typeof fc.property<[Run]>> {
    return fc.property(runArbitrary, ({ seed, size, faults }) => {
        tally.addRun(World.create(seed, size).run(faults));
    });
}
