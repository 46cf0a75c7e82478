import { expect } from "chai";
import * as fc from "fast-check";
import { Rig } from "../../../../../../../simulation/requests/rig.js";
import {
    assertInvariants,
    refusalOutcome,
    requestProperty,
    stages,
} from "../../../../../../../simulation/requests/runs.js";

describe("the request driver", () => {
    for (const stage of stages) {
        for (const fault of ["refuse", "fail", "loseAfter"] as const) {
            it(`retries an idempotent request on another engine when its ${stage} meets ${fault}`, async () => {
                // Guards against losing a request that another engine could answer: an engine refuses, fails or drops the
                // connection at this stage, and there was no second attempt.
                const rig = Rig.create();
                rig.engine(stage === "prefill" ? "p1" : "d1").faults[stage].push(fault);
                const end = await rig.drive({});
                expect(end.kind).to.equal("finished");
                assertInvariants(rig, end);
                await rig.waitUntilSettled();
                expect(rig.unreleasedAttempts()).to.deep.equal([]);
            });

            it(`runs a non-idempotent request at most once when its ${stage} meets ${fault}`, async () => {
                // Guards against running a request twice: the first attempt fails without proof that nothing ran, and a
                // second one is made. A broken connection was treated as a request that was not run.
                const rig = Rig.create();
                rig.engine(stage === "prefill" ? "p1" : "d1").faults[stage].push(fault);
                const end = await rig.drive({ run: { key: "o/letter/k", digest: "d" } });
                assertInvariants(rig, end);
                expect(rig.ranStages().filter(ran => ran.startsWith("prefill")).length).to.be.at.most(1);
                const state = rig.control.runs.get("o/letter/k")?.state;
                expect(state).to.equal(end.kind === "finished" ? "answered" : refusalOutcome(end));
                await rig.waitUntilSettled();
                expect(rig.unreleasedAttempts()).to.deep.equal([]);
            });
        }
    }

    it("resumes a broken stream at its offset on the same engine, also for a non-idempotent request", async () => {
        // Guards against duplicate tokens or a lost answer after a brief connection failure: the stream breaks after two
        // tokens, and was restarted instead of resumed.
        const rig = Rig.create();
        rig.engine("d1").faults.decode.push("cut", "cut");
        const end = await rig.drive({ run: { key: "k", digest: "d" } });
        expect(end.kind).to.equal("finished");
        assertInvariants(rig, end);
        expect(rig.ranStages().filter(ran => ran.startsWith("prefill"))).to.have.length(1);
    });

    it("retries on another engine, skipping tokens that the caller has, if an engine can't resume", async () => {
        // Guards against two faults after the stream breaks and a second engine decodes: the caller got the first tokens
        // twice, as those repeated by the second attempt were passed on; or the answer was lost, as the second engine was
        // asked to resume a stream that it had never started.
        const rig = Rig.create({ abilities: { resume: false } });
        rig.engine("d1").faults.decode.push("cut");
        const end = await rig.drive({});
        expect(end.kind).to.equal("finished");
        assertInvariants(rig, end);
        expect(rig.placement.schedulingRequests.at(-1)).to.include({ alreadySent: 2 });
        expect(rig.placement.schedulingRequests.at(-1)?.avoid).to.deep.equal(["d1"]);
    });

    for (const [fault, attempts] of [["gap", 1], ["repeat", 1], ["short", 1], ["early", 2]] as const) {
        it(`gives the caller a whole answer despite the fault "${fault}" in an engine's stream`, async () => {
            // Guards against an answer that looks complete but lacks a token, repeats one or ends early: the engine's stream
            // has a gap or a repetition, or ends below the tokens it had sent. Lines were passed on without checking offsets.
            const rig = Rig.create();
            rig.engine("d1").faults.decode.push(fault);
            const end = await rig.drive({});
            expect(end.kind).to.equal("finished");
            assertInvariants(rig, end);
            expect(rig.answer.texts).to.have.length(4);
            expect(rig.placement.schedulingRequests).to.have.length(attempts);
        });
    }

    it("sends nothing to an engine that announces it is leaving while it is being reserved", async () => {
        // Guards against new work for a leaving engine: the scheduler assigns an engine that was marked as leaving meanwhile,
        // and the mark was checked only before the reservation.
        const rig = Rig.create();
        rig.placement.queue = () => {
            rig.parts.leavingBackends.markLeaving("d1", 1);
            return Promise.resolve();
        };
        expect((await rig.drive({})).kind).to.equal("finished");
        expect(rig.engine("d1").ran).to.deep.equal([]);
        expect(rig.ranStages().filter(ran => ran.startsWith("prefill"))).to.have.length(1);
        rig.parts.leavingBackends.markLeaving("p1", 1);
        await rig.drive({});
        expect(rig.placement.schedulingRequests.at(-1)?.avoid).to.deep.equal(["d1", "p1"]);
    });

    it("waits for an engine that the scheduler's view contains before its own", async () => {
        // Guards against a new engine that stays idle for seconds while requests use up their retries: the engine announces
        // itself, the scheduler assigns it, and this daemon's view is updated a view interval later. An engine that the view
        // didn't contain yet was treated as failed.
        const rig = Rig.create();
        const completeView = rig.control.view();
        const { d1, ...otherBackends } = completeView.backends;
        rig.control.setView({ ...completeView, backends: otherBackends });
        const onView = rig.control.onView.bind(rig.control);
        rig.control.onView = listener => {
            queueMicrotask(() => rig.control.setView({ ...completeView, backends: { ...otherBackends, d1: d1! } }));
            return onView(listener);
        };
        expect((await rig.drive({})).kind).to.equal("finished");
        expect(rig.placement.schedulingRequests).to.have.length(1);
        expect(rig.engine("d1").ran).to.not.deep.equal([]);
    });

    it("doesn't report an engine as failed that it sent nothing to", async () => {
        // Guards against a healthy engine that gets no work from any daemon for seconds: this daemon's view lags, or is ahead
        // and shows the engine as gone, and the engine was reported to the scheduler as failed though nothing was sent to it.
        const rig = Rig.create();
        const completeView = rig.control.view();
        const otherBackends = Object.entries(completeView.backends).filter(([id]) => id !== "d1");
        rig.control.setView({ ...completeView, backends: Object.fromEntries(otherBackends) });
        expect((await rig.drive({})).kind).to.equal("finished");
        expect(rig.placement.schedulingRequests.at(-1)?.avoid).to.deep.equal(["d1"]);
        const failed = rig.placement.progressReports.filter(({ stage }) => stage === "failed");
        expect(failed.map(({ failedEngine }) => failedEngine)).to.deep.equal([undefined]);
        expect(rig.placement.reserved.size).to.equal(0);
    });

    it("ends the request at its deadline even if the engine client never settles", async () => {
        // Guards against a caller waiting past its deadline: the engine client ignores the abort, and the driver waited for
        // the call instead of the signal.
        const rig = Rig.create();
        rig.engine("p1").prefill = () => new Promise(() => undefined);
        const end = await rig.drive({ deadlineAt: rig.parts.clock.monotonic() + 1_000 });
        expect(end).to.have.nested.property("refusal.code", "deadlineExceeded");
        expect(refusalOutcome(end)).to.equal("unknown");
        await rig.waitUntilSettled();
    });

    it("makes no more retries than its budget allows", async () => {
        // Guards against a failure of some engines overloading the others: retrying every request at once doubles the load.
        const rig = Rig.create();
        let failed = 0;
        for (let request = 0; request < 40; request++) {
            rig.engine("p1").faults.prefill = ["fail"];
            failed += (await rig.drive({})).kind === "refused" ? 1 : 0;
        }
        expect(failed).to.be.at.least(24);
    });

    it("checks again that work may start, right before the first byte to an engine", async () => {
        // Guards against a daemon that resumes from a freeze sending work to an engine that started to leave long before: the
        // view expires while the request waits for its reservation, and was checked only before it.
        const rig = Rig.create();
        rig.placement.queue = () => {
            rig.control.confirmed = false;
            return Promise.resolve();
        };
        const end = await rig.drive({ run: { key: "k", digest: "d" } });
        expect(end).to.have.nested.property("refusal.code", "viewExpired");
        expect(refusalOutcome(end)).to.equal("notRun");
        expect(rig.ranStages()).to.deep.equal([]);
        expect(rig.control.runs.size).to.equal(0);
        expect(rig.unreleasedAttempts()).to.deep.equal([]);
    });

    it("sends nothing while the record of a run is undecided, and releases it", async () => {
        // Guards against running a request twice: a quorum commits the record but the reply is lost; the caller gets the
        // outcome "not run" and retries elsewhere. The request had been dispatched without a decided record.
        const rig = Rig.create();
        rig.control.lost.push("after", "before");
        const end = await rig.drive({ run: { key: "k", digest: "d" } });
        expect(end).to.have.nested.property("refusal.code", "noQuorum");
        expect(refusalOutcome(end)).to.equal("notRun");
        expect(rig.ranStages()).to.deep.equal([]);
        await rig.waitUntilSettled();
        expect(rig.control.runs.size).to.equal(0);
    });

    it("refuses a different body under the same key, and a key whose outcome is unknown", async () => {
        const rig = Rig.create();
        await rig.drive({ run: { key: "k", digest: "d" } });
        expect(await rig.drive({ run: { key: "k", digest: "e" } })).to.have.nested.property(
            "refusal.code",
            "keyReused",
        );
        rig.engine("p1").faults.prefill.push("loseAfter");
        await rig.drive({ run: { key: "l", digest: "d" } });
        const again = await rig.drive({ run: { key: "l", digest: "d" } });
        expect(again).to.have.nested.property("refusal.code", "outcomeUnknown");
        expect(refusalOutcome(again)).to.equal("unknown");
    });

    it("retries a cancel until the engine confirms it", async () => {
        // Guards against a leaked decode slot: the caller disconnects during the answer, and the cancel, which was sent only
        // once, is lost.
        const rig = Rig.create();
        rig.engine("d1").faults.decode.push("hang");
        rig.engine("d1").lostCancels = 2;
        rig.engine("d1").onStageBegun = stage => stage === "decode" && rig.scope.stop("callerGone");
        expect(await rig.drive({})).to.have.nested.property("refusal.code", "callerGone");
        await rig.waitUntilSettled();
        expect(rig.engine("d1").cancels).to.equal(3);
        expect(rig.unreleasedAttempts()).to.deep.equal([]);
    });

    it("stops retrying a cancel once the engine is gone from the view", async () => {
        const rig = Rig.create();
        rig.engine("d1").faults.decode.push("hang");
        rig.engine("d1").lostCancels = Infinity;
        rig.engine("d1").onStageBegun = stage => stage === "decode" && rig.scope.stop("callerGone");
        await rig.drive({});
        rig.mark("d1", "gone");
        await rig.waitUntilSettled();
        expect(rig.parts.cancellations.pendingCount).to.equal(0);
    });

    it("abandons a call to an engine that is gone from the view, though its connection stays silent", async () => {
        // Guards against a request that waits for a frozen engine until its deadline: the engine stops without closing its
        // connections, and only a broken connection was detected.
        const rig = Rig.create();
        rig.engine("p1").faults.prefill.push("hang");
        rig.engine("p1").onStageBegun = () => setImmediate(() => rig.mark("p1", "gone"));
        const end = await rig.drive({});
        expect(end.kind).to.equal("finished");
        assertInvariants(rig, end);
    });

    it("keeps its invariants under random faults, stops and lost proposals", async function() {
        this.timeout(60_000);
        await fc.assert(requestProperty(), { seed: 20_261_202, numRuns: 300 });
    });
});
