import { expect } from "chai";
import { Rig } from "../../../../../../../simulation/requests/rig.js";
import { SeededRandomness } from "../../../utils/index.js";
import { ImportTries } from "../importTries.js";

const letter = { key: "o/letter/k", digest: "d" };
/** More refusals than there are tries. */
const always = Array.from({ length: 20 }, () => "full" as const);

function prefills(rig: Rig): string[] {
    return rig.ran().filter(ran => ran.startsWith("prefill"));
}

describe("a decode engine that is only full", () => {
    for (const run of [undefined, letter]) {
        const name = run === undefined ? "an idempotent" : "a non-idempotent";
        it(`is asked again for ${name} request while the prefill's result is kept`, async () => {
            // Symptom: a long prompt was computed twice, and a letter ended as failedAfterStarting with no word written.
            // Events: the prefill ends; the decode engine proves that it is full, and has a slot some milliseconds later.
            // Cause: a refusal of the import ended the attempt.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full", "full");
            expect((await rig.drive({ run })).kind).to.equal("finished");
            expect(prefills(rig)).to.have.length(1);
            expect(rig.placement.demands).to.have.length(1);
            await rig.settled();
            expect(rig.held()).to.deep.equal([]);
        });
    }

    it("isn't called failed when it stays full", async () => {
        // Symptom: a healthy engine got no work from anybody for seconds. Events: it stays full for all tries; the
        // scheduler is told that it failed. Cause: a proof that it had no slot was told as a failure.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push(...always);
        expect((await rig.drive({})).kind).to.equal("finished");
        expect(rig.placement.demands.at(-1)?.avoid).to.deep.equal(["d1"]);
        const failed = rig.placement.told.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal([undefined]);
        expect(rig.engine("d1").faults.import.length, "tries without a bound").to.be.at.least(always.length - 5);
        await rig.settled();
        expect(rig.held()).to.deep.equal([]);
    });

    it("is still called failed when it refuses for another reason", async () => {
        // Symptom: an engine that refuses all work kept getting it. Events: it proves a refusal without the code `full`.
        // Cause: every proved refusal was taken for a full engine.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full", "refuse");
        await rig.drive({});
        const failed = rig.placement.told.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal(["d1"]);
    });

    for (const run of [undefined, letter]) {
        it(`holds nothing once the caller has gone, ${run === undefined ? "idempotent" : "non-idempotent"}`, async () => {
            // Symptom: a finished prefill stayed in the memory of its engine for a caller who had gone.
            // Events: the decode engine is full; the caller goes in the pause before the next try.
            // Cause: the pause didn't hear of it, and the import went out for nobody.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push(...always);
            rig.engine("d1").begun = () => setImmediate(() => rig.scope.stop("callerGone"));
            // Pauses last until the caller has gone, as they end only by the signal.
            rig.parts.clock.after = () => () => undefined;
            expect(await rig.drive({ run })).to.have.nested.property("refusal.code", "callerGone");
            expect(rig.engine("d1").faults.import).to.have.length(always.length - 1);
            expect(rig.engine("p1").holds.size === 0 || rig.parts.cancellations.outstanding > 0).to.equal(true);
            await rig.settled();
            expect(rig.held()).to.deep.equal([]);
            expect(rig.control.runs.get(letter.key)?.state).to.equal(run && "failedAfterStarting");
        });
    }

    for (const state of ["leaving", "gone"] as const) {
        it(`gets no import once the view says that it is ${state}`, async () => {
            // Symptom: a leaving engine got new work. Events: it is full; it leaves in the pause before the next try.
            // Cause: whether it may get work was looked at only before the prefill.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full");
            rig.engine("d1").begun = () => rig.mark("d1", state);
            expect((await rig.drive({})).kind).to.equal("finished");
            expect(rig.engine("d1").ran).to.deep.equal([]);
        });
    }

    it("gets no import once this daemon's view has expired", async () => {
        // Symptom: a daemon that woke from a freeze took a slot that its successor knew nothing of.
        // Events: the view expires in the pause before the next try. Cause: it was asked only before the first.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full");
        rig.engine("d1").begun = () => {
            rig.control.confirmed = false;
        };
        expect(await rig.drive({})).to.have.nested.property("refusal.code", "viewExpired");
        expect(rig.engine("d1").ran).to.deep.equal([]);
        await rig.settled();
        expect(rig.held()).to.deep.equal([]);
    });

    it("is asked four times more at most, within half a second and never past the latest time", () => {
        for (const [latest, end] of [[Infinity, 500], [120, 120], [0, 0]] as const) {
            const tries = ImportTries.create(0, latest, SeededRandomness.create(7));
            let now = 0;
            let count = 0;
            for (let wait = tries.next(now); wait !== undefined; wait = tries.next(now)) {
                now += wait;
                count++;
            }
            expect(now).to.be.at.most(end);
            expect(count).to.be.at.most(4);
            expect(count > 0).to.equal(latest > 0);
        }
    });

    it("is asked again past the first token's target only where no second attempt is possible", async () => {
        // Symptom: an answer that was late already took the slot of one that wasn't. Events: the target passes during the
        // prefill; the engine is full. Cause: tries were bounded by time alone, whatever the answer was still worth.
        const targets = { firstToken: 0, perToken: 37 };
        for (const [run, count] of [[undefined, 2], [letter, 1]] as const) {
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full");
            expect((await rig.drive({ run, targets })).kind).to.equal("finished");
            expect(prefills(rig)).to.have.length(count);
        }
    });

    for (const run of [undefined, letter]) {
        // Guards against a prompt that is read in vain, or a letter that fails for good, while another engine has room.
        it(`hands ${run === undefined ? "an idempotent" : "a non-idempotent"} request over to an engine with room`, async () => {
            const rig = Rig.create();
            rig.engine("d1").faults.import.push(...always);
            rig.placement.spare = "d2";
            expect((await rig.drive({ run })).kind).to.equal("finished");
            expect(rig.ran().map(ran => ran.split(" ")[0])).to.deep.equal(["prefill", "import", "decode"]);
            expect(rig.engine("d2").ran.map(({ stage }) => stage)).to.deep.equal(["import", "decode"]);
            expect(rig.placement.full).to.deep.equal(["d1"]);
            await rig.settled();
            expect(rig.held()).to.deep.equal([]);
        });
    }

    // Guards against a letter that fails for good half a second after its prompt was read, however long its result is kept.
    it("is asked for a letter until the prefill's result is evicted", async () => {
        const rig = Rig.create();
        rig.engine("d1").faults.import.push(...always);
        expect((await rig.drive({ run: letter })).kind).to.equal("finished");
        expect(rig.ran().map(ran => ran.split(" ")[0])).to.deep.equal(["prefill", "import", "decode"]);
        const late = Rig.create();
        late.engine("d1").faults.import.push(...always.slice(0, 9), "evicted");
        const end = await late.drive({ run: letter });
        expect(end).to.have.nested.property("refusal.outcome", "failedAfterStarting");
        expect(late.placement.full).to.have.length(9);
        await late.settled();
        expect(late.held()).to.deep.equal([]);
    });

    // Guards against a slot taken at an engine that has begun to leave.
    it("is left for no engine that takes no work any more", async () => {
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full");
        rig.engine("d1").begun = () => rig.mark("d2", "leaving");
        rig.placement.spare = "d2";
        expect((await rig.drive({ run: letter })).kind).to.equal("finished");
        expect(rig.engine("d2").ran).to.deep.equal([]);
    });
});
