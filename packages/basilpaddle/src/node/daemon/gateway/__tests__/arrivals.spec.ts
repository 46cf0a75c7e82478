import { expect } from "chai";
import { Arrivals } from "../arrivals.js";

/** An allowance of so many repeats, and the arrivals of one request under it. */
function arrivalsWith(repeats: number): { readonly arrivals: Arrivals; readonly left: () => number; } {
    let left = repeats;
    const arrivals = Arrivals.create({
        take: () => Promise.resolve(left > 0 && left-- > 0),
        giveBack: () => {
            left += 1;
        },
    }, "pool");
    return { arrivals, left: () => left };
}

describe("arrivals at engines", () => {
    it("cost nothing for a reading that an engine takes and the run after it", async () => {
        const { arrivals } = arrivalsWith(0);
        const turn = (await arrivals.begin(true))!;
        turn.read("read");
        turn.run("counted");
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    // Symptom: more arrives at a service than its allowance for repeats, with 42 engines of which some had gone.
    // Sequence: a reading breaks off, a second engine reads, a third one runs; the run was taken for the first arrival.
    it("make the run after a reading that broke off a repeat", async () => {
        const { arrivals, left } = arrivalsWith(1);
        const first = (await arrivals.begin(true))!;
        first.read("counted");
        first.run("unreached");
        const second = (await arrivals.begin(true))!;
        second.read("read");
        second.run("counted");
        expect(left()).to.equal(0);
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    it("cost nothing where no connection came about", async () => {
        const { arrivals, left } = arrivalsWith(1);
        (await arrivals.begin(false))!.run("counted");
        for (let number = 0; number < 5; number++) {
            (await arrivals.begin(false))!.run("unreached");
        }
        expect(left()).to.equal(1);
        (await arrivals.begin(false))!.run("counted");
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    it("count a second reading that is taken", async () => {
        const { arrivals, left } = arrivalsWith(1);
        const first = (await arrivals.begin(true))!;
        first.read("read");
        first.run("unreached");
        const second = (await arrivals.begin(true))!;
        second.read("read");
        second.run("counted");
        expect(left()).to.equal(0);
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    // Symptom: prompts are read whose run is refused right after, for want of a repeat.
    // Sequence: a reading breaks off, or a run is turned away and its cache lapses; the next turn's reading takes the last
    // repeat that is left.
    // Cause: the run's repeat was only asked for once the prompt had been read.
    it("aren't begun where a repeat is left for the reading, but none for the run", async () => {
        const { arrivals, left } = arrivalsWith(1);
        const first = (await arrivals.begin(true))!;
        first.read("read");
        first.run("counted");
        expect(await arrivals.begin(true)).to.equal(undefined);
        expect(left()).to.equal(1);
    });
});
