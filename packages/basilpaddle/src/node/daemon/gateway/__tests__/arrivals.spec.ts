import { expect } from "chai";
import { type Arrival, Arrivals } from "../arrivals.js";

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

/** Plays one turn that the allowance must let through: what became of its reading, where it has one, and of its run. */
async function turn(arrivals: Arrivals, read: Arrival | undefined, run: Arrival): Promise<void> {
    const sent = (await arrivals.begin(read !== undefined))!;
    if (read !== undefined) {
        sent.read(read);
    }
    sent.run(run);
}

describe("arrivals at engines", () => {
    it("cost nothing for a reading that an engine takes and the run after it", async () => {
        const { arrivals } = arrivalsWith(0);
        await turn(arrivals, "read", "counted");
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    // Symptom: more arrives at a service than its allowance for repeats, with 42 engines of which some had gone.
    // Sequence: a reading breaks off, a second engine reads, a third one runs; the run was taken for the first arrival.
    it("make the run after a reading that broke off a repeat", async () => {
        const { arrivals, left } = arrivalsWith(1);
        await turn(arrivals, "counted", "unreached");
        await turn(arrivals, "read", "counted");
        expect(left()).to.equal(0);
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    it("cost nothing where no connection came about", async () => {
        const { arrivals, left } = arrivalsWith(1);
        await turn(arrivals, undefined, "counted");
        for (let number = 0; number < 5; number++) {
            await turn(arrivals, undefined, "unreached");
        }
        expect(left()).to.equal(1);
        await turn(arrivals, undefined, "counted");
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    it("count a second reading that is taken", async () => {
        const { arrivals, left } = arrivalsWith(1);
        await turn(arrivals, "read", "unreached");
        await turn(arrivals, "read", "counted");
        expect(left()).to.equal(0);
        expect(await arrivals.begin(false)).to.equal(undefined);
    });

    // Symptom: prompts are read whose run is refused right after, for want of a repeat.
    // Sequence: a reading breaks off, or a run is turned away and its cache lapses; the next turn's reading takes the last
    // repeat that is left.
    // Cause: the run's repeat was only asked for once the prompt had been read.
    it("aren't begun where a repeat is left for the reading, but none for the run", async () => {
        const { arrivals, left } = arrivalsWith(1);
        await turn(arrivals, "read", "counted");
        expect(await arrivals.begin(true)).to.equal(undefined);
        expect(left()).to.equal(1);
    });
});
