import { expect } from "chai";
import { RepeatBudget } from "../../../coordination/index.js";
import { Arrivals } from "../arrivals.js";

/** An allowance of so many repeats, and the arrivals of one request under it. */
function arrivalsWith(repeats: number): Arrivals {
    const budget = RepeatBudget.create({ ratio: 0, window: 10_000, slack: (repeats + 0.01) / 0.7 });
    return Arrivals.create(budget, () => 50_000, () => 1);
}

describe("arrivals at engines", () => {
    it("cost nothing for a reading that an engine takes and the run after it", () => {
        const arrivals = arrivalsWith(0);
        arrivals.begin()!("read");
        arrivals.begin()!("counted");
        expect(arrivals.begin()).to.equal(undefined);
    });

    // Symptom: more arrives at a service than its allowance for repeats, with 42 engines of which some had gone.
    // Sequence: a reading breaks off, a second engine reads, a third one runs; the run was taken for the first arrival.
    it("make the run after a reading that broke off a repeat", () => {
        const arrivals = arrivalsWith(1);
        arrivals.begin()!("counted");
        arrivals.begin()!("read");
        arrivals.begin()!("counted");
        expect(arrivals.begin()).to.equal(undefined);
    });

    it("cost nothing where no connection came about", () => {
        const arrivals = arrivalsWith(1);
        arrivals.begin()!("counted");
        for (let number = 0; number < 5; number++) {
            arrivals.begin()!("unreached");
        }
        arrivals.begin()!("counted");
        expect(arrivals.begin()).to.equal(undefined);
    });

    it("count a second reading that is taken", () => {
        const arrivals = arrivalsWith(1);
        arrivals.begin()!("read");
        arrivals.begin()!("read");
        arrivals.begin()!("counted");
        expect(arrivals.begin()).to.equal(undefined);
    });
});
