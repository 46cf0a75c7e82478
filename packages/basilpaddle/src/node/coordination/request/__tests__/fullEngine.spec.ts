import { expect } from "chai";
import { Rig } from "../../../../../../../simulation/requests/rig.js";
import { SeededRandomness } from "../../../utils/index.js";
import { ImportBackoff } from "../importBackoff.js";

const nonIdempotentRun = { key: "o/letter/k", digest: "d" };
/** More refusals than a bounded backoff retries. */
const persistentlyFull = Array.from({ length: 20 }, () => "full" as const);

function prefills(rig: Rig): string[] {
    return rig.ranStages().filter(ran => ran.startsWith("prefill"));
}

describe("a decode engine that rejects an import because it is full", () => {
    for (const run of [undefined, nonIdempotentRun]) {
        const name = run === undefined ? "an idempotent" : "a non-idempotent";
        it(`is retried for ${name} request while the prefill's result is retained`, async () => {
            // Guards against computing a long prompt twice, and a non-idempotent request failing after its prefill.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full", "full");
            expect((await rig.drive({ run })).kind).to.equal("finished");
            expect(prefills(rig)).to.have.length(1);
            expect(rig.placement.schedulingRequests).to.have.length(1);
            await rig.waitUntilSettled();
            expect(rig.unreleasedAttempts()).to.deep.equal([]);
        });
    }

    it("isn't reported as failed when it stays full", async () => {
        // Guards against a healthy engine that gets no work from any daemon for seconds.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push(...persistentlyFull);
        expect((await rig.drive({})).kind).to.equal("finished");
        expect(rig.placement.schedulingRequests.at(-1)?.avoid).to.deep.equal(["d1"]);
        const failed = rig.placement.progressReports.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal([undefined]);
        expect(rig.engine("d1").faults.import.length, "unbounded retries").to.be.at.least(persistentlyFull.length - 5);
        await rig.waitUntilSettled();
        expect(rig.unreleasedAttempts()).to.deep.equal([]);
    });

    it("is still reported as failed when it refuses for another reason", async () => {
        // Guards against an engine that refuses all work and continues to get it.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full", "refuse");
        await rig.drive({});
        const failed = rig.placement.progressReports.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal(["d1"]);
    });

    for (const run of [undefined, nonIdempotentRun]) {
        it(`holds nothing after the caller disconnects, ${run === undefined ? "idempotent" : "non-idempotent"}`, async () => {
            // Guards against a finished prefill that stays in its engine's memory after the caller disconnected.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push(...persistentlyFull);
            rig.engine("d1").onStageBegun = () => setImmediate(() => rig.scope.stop("callerGone"));
            // Without timers, delays end only by the signal, when the caller disconnects.
            rig.parts.clock.after = () => () => undefined;
            expect(await rig.drive({ run })).to.have.nested.property("refusal.code", "callerGone");
            expect(rig.engine("d1").faults.import).to.have.length(persistentlyFull.length - 1);
            expect(rig.engine("p1").attemptsHoldingResources.size === 0 || rig.parts.cancellations.pendingCount > 0).to
                .equal(true);
            await rig.waitUntilSettled();
            expect(rig.unreleasedAttempts()).to.deep.equal([]);
            expect(rig.control.runs.get(nonIdempotentRun.key)?.state).to.equal(run && "failedAfterStarting");
        });
    }

    for (const state of ["leaving", "gone"] as const) {
        it(`gets no import once it is ${state} in the view`, async () => {
            // Guards against new work for a leaving engine.
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full");
            rig.engine("d1").onStageBegun = () => rig.mark("d1", state);
            expect((await rig.drive({})).kind).to.equal("finished");
            expect(rig.engine("d1").ran).to.deep.equal([]);
        });
    }

    it("gets no import once this daemon's view has expired", async () => {
        // Guards against a daemon that resumes from a freeze and takes a slot that its successor doesn't know about.
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full");
        rig.engine("d1").onStageBegun = () => {
            rig.control.confirmed = false;
        };
        expect(await rig.drive({})).to.have.nested.property("refusal.code", "viewExpired");
        expect(rig.engine("d1").ran).to.deep.equal([]);
        await rig.waitUntilSettled();
        expect(rig.unreleasedAttempts()).to.deep.equal([]);
    });

    it("is retried at most four times, within half a second and never past the latest time", () => {
        for (const [latest, end] of [[Infinity, 500], [120, 120], [0, 0]] as const) {
            const backoff = ImportBackoff.create(0, latest, SeededRandomness.create(7));
            let now = 0;
            let count = 0;
            for (let delay = backoff.nextDelay(now); delay !== undefined; delay = backoff.nextDelay(now)) {
                now += delay;
                count++;
            }
            expect(now).to.be.at.most(end);
            expect(count).to.be.at.most(4);
            expect(count > 0).to.equal(latest > 0);
        }
    });

    it("is retried past the first token's target only if no second attempt is possible", async () => {
        // Guards against an answer that is already late taking the slot of one that isn't.
        const targets = { firstToken: 0, perToken: 37 };
        for (const [run, count] of [[undefined, 2], [nonIdempotentRun, 1]] as const) {
            const rig = Rig.create();
            rig.engine("d1").faults.import.push("full");
            expect((await rig.drive({ run, targets })).kind).to.equal("finished");
            expect(prefills(rig)).to.have.length(count);
        }
    });

    for (const run of [undefined, nonIdempotentRun]) {
        // Guards against a wasted prefill, or a permanently failed non-idempotent request, while another engine has a free slot.
        it(`is replaced by one with a free slot, ${run === undefined ? "idempotent" : "non-idempotent"} request`, async () => {
            const rig = Rig.create();
            rig.engine("d1").faults.import.push(...persistentlyFull);
            rig.placement.replacementDecode = "d2";
            expect((await rig.drive({ run })).kind).to.equal("finished");
            expect(rig.ranStages().map(ran => ran.split(" ")[0])).to.deep.equal(["prefill", "import", "decode"]);
            expect(rig.engine("d2").ran.map(({ stage }) => stage)).to.deep.equal(["import", "decode"]);
            expect(rig.placement.reportedFull).to.deep.equal(["d1"]);
            await rig.waitUntilSettled();
            expect(rig.unreleasedAttempts()).to.deep.equal([]);
        });
    }

    // Guards against a non-idempotent request that fails permanently half a second after its prefill, however long the result
    // is retained.
    it("is retried for a non-idempotent request until the prefill's result is evicted", async () => {
        const rig = Rig.create();
        rig.engine("d1").faults.import.push(...persistentlyFull);
        expect((await rig.drive({ run: nonIdempotentRun })).kind).to.equal("finished");
        expect(rig.ranStages().map(ran => ran.split(" ")[0])).to.deep.equal(["prefill", "import", "decode"]);
        const evicted = Rig.create();
        evicted.engine("d1").faults.import.push(...persistentlyFull.slice(0, 9), "evicted");
        const end = await evicted.drive({ run: nonIdempotentRun });
        expect(end).to.have.nested.property("refusal.outcome", "failedAfterStarting");
        expect(evicted.placement.reportedFull).to.have.length(9);
        const failed = evicted.placement.progressReports.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine), "the engine isn't reported as failed").to.deep.equal([
            undefined,
        ]);
        await evicted.waitUntilSettled();
        expect(evicted.unreleasedAttempts()).to.deep.equal([]);
    });

    // Guards against taking a slot at an engine that has started to leave.
    it("isn't replaced by an engine that accepts no more work", async () => {
        const rig = Rig.create();
        rig.engine("d1").faults.import.push("full");
        rig.engine("d1").onStageBegun = () => rig.mark("d2", "leaving");
        rig.placement.replacementDecode = "d2";
        expect((await rig.drive({ run: nonIdempotentRun })).kind).to.equal("finished");
        expect(rig.engine("d2").ran).to.deep.equal([]);
    });

    // Guards against a non-idempotent request that fails permanently because control daemons elect a leader right after its
    // prefill.
    for (const [name, milliseconds] of [["returns", 30], ["doesn't return", undefined]] as const) {
        it(`gets no import of a non-idempotent request while the view is unconfirmed; confirmation ${name}`, async () => {
            const rig = Rig.create();
            rig.engine("p1").onStageBegun = () => {
                rig.control.confirmed = false;
                if (milliseconds !== undefined) {
                    setTimeout(() => (rig.control.confirmed = true), milliseconds);
                }
            };
            const end = await rig.drive({ run: nonIdempotentRun });
            expect(end.kind === "refused" ? [end.refusal.code, end.refusal.outcome] : end.kind).to.deep.equal(
                milliseconds === undefined ? ["viewExpired", "failedAfterStarting"] : "finished",
            );
            expect(prefills(rig)).to.have.length(1);
            expect(rig.ranStages()).to.have.length(milliseconds === undefined ? 1 : 3);
            await rig.waitUntilSettled();
            expect(rig.unreleasedAttempts()).to.deep.equal([]);
        });
    }
});
