import { expect } from "chai";
import { createPlan, faultKinds, plannedKinds } from "../plan.js";

describe("plans of the soak", () => {
    it("depend only on their seed", () => {
        expect(createPlan(7)).to.deep.equal(createPlan(7));
        expect(createPlan(7).faults).not.to.deep.equal(createPlan(8).faults);
    });

    it("contain only planned operations for every fourth seed", () => {
        expect(createPlan(8).faults.every(({ kind }) => plannedKinds.has(kind))).to.equal(true);
        expect(createPlan(9).faults.every(({ kind }) => plannedKinds.has(kind))).to.equal(false);
    });

    it("contain every kind of fault, some of them overlapping and some repeated", () => {
        const plans = Array.from({ length: 50 }, (_, seed) => createPlan(seed));
        const faults = plans.flatMap(plan => plan.faults);
        expect(new Set(faults.map(({ kind }) => kind)).size).to.equal(faultKinds.length + 5);
        const pairs = plans.flatMap(plan => plan.faults.slice(1).map((fault, index) => [plan.faults[index]!, fault]));
        expect(pairs.some(([one, next]) => one!.at + one!.lasts > next!.at)).to.equal(true);
        expect(pairs.some(([one, next]) => one!.at + one!.lasts < next!.at)).to.equal(true);
        expect(pairs.some(([one, next]) => one!.kind === next!.kind)).to.equal(true);
    });
});
