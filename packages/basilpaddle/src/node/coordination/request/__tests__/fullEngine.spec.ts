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
            // Guards against this: a long prompt was computed twice, and a letter ended as failedAfterStarting with no word written.
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
        // Guards against this: a healthy engine got no work from anybody for seconds.
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
        // Guards against this: an engine that refuses all work kept getting it.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full", "refuse");
        await rig.drive({});
        const failed = rig.placement.told.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal(["d1"]);
    });

    for (const run of [undefined, letter]) {
        it(`holds nothing once the caller has gone, ${run === undefined ? "idempotent" : "non-idempotent"}`, async () => {
            // Guards against this: a finished prefill stayed in the memory of its engine for a caller who had gone.
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
            // Guards against this: a leaving engine got new work.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full");
            rig.engine("d1").begun = () => rig.mark("d1", state);
            expect((await rig.drive({})).kind).to.equal("finished");
            expect(rig.engine("d1").ran).to.deep.equal([]);
        });
    }

    it("gets no import once this daemon's view has expired", async () => {
        // Guards against this: a daemon that woke from a freeze took a slot that its successor knew nothing of.
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
        // Guards against this: an answer that was late already took the slot of one that wasn't.
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
        const failed = late.placement.told.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine), "the engine isn't blamed").to.deep.equal([undefined]);
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

    // Guards against a letter that fails for good since control daemons elect a leader just when its prompt has been read.
    for (const [name, milliseconds] of [["comes back", 30], ["stays away", undefined]] as const) {
        it(`is waited for while a letter's prompt has been read and the view's confirmation ${name}`, async () => {
            const rig = Rig.create();
            rig.engine("p1").begun = () => {
                rig.control.confirmed = false;
                if (milliseconds !== undefined) {
                    setTimeout(() => (rig.control.confirmed = true), milliseconds);
                }
            };
            const end = await rig.drive({ run: letter });
            expect(end.kind === "refused" ? [end.refusal.code, end.refusal.outcome] : end.kind).to.deep.equal(
                milliseconds === undefined ? ["viewExpired", "failedAfterStarting"] : "finished",
            );
            expect(prefills(rig)).to.have.length(1);
            expect(rig.ran()).to.have.length(milliseconds === undefined ? 1 : 3);
            await rig.settled();
            expect(rig.held()).to.deep.equal([]);
        });
    }
});
