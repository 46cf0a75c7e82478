import { expect } from "chai";
import * as fc from "fast-check";
import { SchedulerBench } from "../../../../../../../simulation/scheduling/bench.js";
import { schedulingProperty } from "../../../../../../../simulation/scheduling/runs.js";
import { engine, schedulingRequest } from "../../../../../../../simulation/scheduling/samples.js";
import type { EngineAllocation } from "../../../protocol/index.js";

describe("PoolScheduler", () => {
    // Guards against prefill results being evicted before a decode slot is free.
    it("starts a prefill only once a decode slot is free for its result", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 1 })]);
        bench.submit(schedulingRequest("a", { expectedTokens: 100, firstTokenWithin: 30_000 }));
        bench.stages("a", "prefilled", "transferred", "firstToken");
        bench.submit(schedulingRequest("b", { firstTokenWithin: 30_000 }));
        bench.advance(1_000);
        expect(bench.outcome("b")).to.equal("waits");
        bench.advance(9_000);
        expect(bench.outcome("b")).to.equal("waits");
        bench.stages("a", "finished");
        expect(bench.outcome("b")).to.equal("p1>d1");
    });

    // Guards against queued requests that are never assigned to an engine that was announced after them.
    it("assigns queued requests to an engine in the step that adds it to the view", () => {
        const prefills = ["p1", "p2", "p3"].map(id => engine(id, "prefill"));
        const before = [...prefills, engine("d1", "decode", { slots: 1 })];
        const bench = new SchedulerBench(before);
        bench.submit(schedulingRequest("first", { firstTokenWithin: 30_000 }));
        bench.stages("first", "prefilled", "transferred", "firstToken");
        const waiting = ["a", "b", "c"];
        waiting.forEach(name => bench.submit(schedulingRequest(name, { firstTokenWithin: 30_000 })));
        expect(waiting.map(name => bench.outcome(name))).to.deep.equal(["waits", "waits", "waits"]);
        bench.step({ kind: "engines", engines: [...before, engine("d2", "decode", { slots: 3 })] });
        const decodes = waiting.map(name => bench.outcome(name).split(">")[1]);
        expect(decodes).to.deep.equal(["d2", "d2", "d2"]);
    });

    it("refuses requests that can't meet their target immediately, with a retry delay", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 20 })]);
        for (let count = 0; count < 20; count++) {
            bench.submit(schedulingRequest(`a${count}`, { promptTokens: 5_000, firstTokenWithin: 1_500 }));
        }
        const decision = bench.decisions.get("a19");
        expect(decision).to.have.nested.property("refusal.code", "targetsOutOfReach");
        expect(decision).to.have.nested.property("refusal.outcome", "notRun");
        expect(decision?.kind === "refused" ? decision.refusal.retryAfter : 0).to.be.greaterThan(100);
    });

    it("serves late instead of refusing if the weighting favours prefill, or if the prompt is too long for its target on an idle pool", () => {
        const late = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 20 })], "prefill");
        for (let count = 0; count < 20; count++) {
            late.submit(schedulingRequest(`a${count}`, { promptTokens: 5_000, firstTokenWithin: 1_500 }));
        }
        expect(late.outcome("a19")).to.equal("waits");
        const long = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode")]);
        long.submit(schedulingRequest("long", { promptTokens: 30_000, firstTokenWithin: 1_500 }));
        expect(long.outcome("long")).to.equal("p1>d1");
    });

    // Guards against an organisation's request that waits until another's whole burst is served.
    it("serves an organisation within its share before another's burst", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 2 })], "prefill");
        for (let count = 0; count < 40; count++) {
            bench.submit(schedulingRequest(`burst${count}`, { organisation: "loud", firstTokenWithin: 20_000 }));
        }
        bench.submit(schedulingRequest("quiet", { organisation: "quiet", firstTokenWithin: 20_000 }));
        bench.stages("burst0", "prefilled", "transferred", "firstToken", "finished");
        bench.advance(400);
        bench.stages("burst1", "prefilled", "transferred", "firstToken", "finished");
        bench.advance(400);
        expect(bench.outcome("quiet")).to.equal("p1>d1");
        expect(bench.outcome("burst20")).to.equal("waits");
    });

    // Guards against an organisation whose requests wait behind all others for minutes because it used the pool while it
    // was idle.
    it("doesn't count requests already served against an organisation", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 1 })]);
        const short = { expectedTokens: 10, firstTokenWithin: 30_000 };
        bench.submit(
            schedulingRequest("tail", { ...short, organisation: "tail", firstTokenWithin: 300_000, priority: 200 }),
        );
        bench.submit(
            schedulingRequest("tail2", { ...short, organisation: "tail", firstTokenWithin: 300_000, priority: 200 }),
        );
        bench.stages("tail", "prefilled");
        for (const name of ["l1", "l2", "l3", "l4", "l5"]) {
            bench.submit(schedulingRequest(name, { ...short, organisation: "loud" }));
        }
        for (const name of ["tail", "l1", "l2", "l3", "l4"]) {
            bench.stages(name, "prefilled", "finished");
        }
        expect(bench.outcome("l5")).to.equal("p1>d1");
        bench.submit(schedulingRequest("l6", { ...short, organisation: "loud" }));
        bench.submit(schedulingRequest("quiet", { ...short, organisation: "quiet", firstTokenWithin: 30_800 }));
        bench.stages("l5", "prefilled", "finished");
        expect([bench.outcome("l6"), bench.outcome("quiet")]).to.deep.equal(["p1>d1", "waits"]);
    });

    // Guards against refusing a caller only after it has waited for its whole target.
    it("refuses a queued request that can't meet its target any more, long before the target time", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 1 })]);
        bench.submit(schedulingRequest("a"));
        bench.stages("a", "prefilled", "transferred", "firstToken");
        bench.submit(schedulingRequest("b", { firstTokenWithin: 5_000 }));
        bench.advance(1_000);
        expect(bench.outcome("b")).to.equal("waits");
        bench.advance(1_600);
        expect(bench.outcome("b")).to.equal("targetsOutOfReach");
    });

    it("uses only decode engines that have reported their load until it is warm", () => {
        const bench = new SchedulerBench(
            [engine("p1", "prefill"), engine("d1", "decode", { slots: 1 })],
            "goodput",
            false,
        );
        bench.submit(schedulingRequest("a"));
        expect(bench.outcome("a")).to.equal("waits");
        const report = { id: "d1", incarnation: 1, sequence: 1, active: ["x"], queuedTokens: 0 };
        bench.step({ kind: "load", report });
        expect(bench.outcome("a")).to.equal("waits");
        bench.step({ kind: "load", report: { ...report, sequence: 2, active: [] } });
        expect(bench.outcome("a")).to.equal("p1>d1");
    });

    it("sends a prompt to the engine that has cached its prefix, and expects less reuse after a gap in cache events", () => {
        const bench = new SchedulerBench([
            engine("p1", "prefill"),
            engine("p2", "prefill"),
            engine("d1", "decode", { slots: 20 }),
        ]);
        const prefixes = ["x:0", "x:1", "x:2"];
        const events = prefixes.map(prefix => ({ kind: "stored" as const, prefix }));
        const report = { id: "p2", incarnation: 1, active: [], queuedTokens: 0 };
        bench.step({ kind: "load", report: { ...report, sequence: 1, cache: { firstSequence: 0, events } } });
        bench.submit(schedulingRequest("a", { prefixes }));
        expect(bench.decisions.get("a")).to.include({ prefill: "p2", expectedReuse: 768 });
        bench.stages("a", "prefilled");
        bench.step({ kind: "load", report: { ...report, sequence: 2, cache: { firstSequence: 50, events: [] } } });
        bench.submit(schedulingRequest("b", { prefixes }));
        expect(bench.decisions.get("b")).to.include({ prefill: "p2", expectedReuse: 384 });
    });

    it("assigns nothing to engines that are leaving, avoided, of another version, or in cooldown after a failure", () => {
        const leaving = { ...engine("d1", "decode", { slots: 9 }), state: "leaving" as const };
        const bench = new SchedulerBench([
            engine("p1", "prefill"),
            leaving,
            engine("d2", "decode", { slots: 9 }),
            engine("d3", "decode", { slots: 9 }),
        ]);
        bench.submit(schedulingRequest("a", { avoid: ["d3"] }));
        expect(bench.outcome("a")).to.equal("p1>d2");
        bench.step({ kind: "progress", progress: { attempt: "a", stage: "failed", tokens: 0, failedEngine: "d2" } });
        bench.submit(schedulingRequest("b"));
        expect(bench.outcome("b")).to.equal("p1>d3");
        bench.submit(schedulingRequest("c", { version: "v2" }));
        expect(bench.outcome("c")).to.equal("noBackend");
    });

    it("frees a slot once the engine stops listing the attempt, if the message of its end was lost", () => {
        const bench = new SchedulerBench([engine("p1", "prefill"), engine("d1", "decode", { slots: 1 })]);
        bench.submit(schedulingRequest("a"));
        bench.stages("a", "prefilled", "transferred");
        for (const [sequence, active] of [["a"], [], [], []].entries()) {
            bench.step({ kind: "load", report: { id: "d1", incarnation: 1, sequence, active, queuedTokens: 0 } });
        }
        expect(bench.scheduler.status().allocatedSlots.get("d1")).to.equal(0);
    });

    // Guards against leaked slots, which make a pool slower from day to day.
    it("never holds more than the slots, and holds nothing once all attempts have ended", () => {
        fc.assert(schedulingProperty(), { seed: 20_261_202, numRuns: 200 });
    });

    function allocationOf(attempt: string, decode: string): EngineAllocation {
        return { demand: schedulingRequest(attempt), prefill: "p1", decode, stage: "prefilled", tokens: 0 };
    }

    function report(bench: SchedulerBench, sequence: number, active: string[]): void {
        bench.step({ kind: "load", report: { id: "d1", incarnation: 1, sequence, active, queuedTokens: 0 } });
    }

    // Guards against discarding a finished prefill while another engine has a free slot, or while slots become free.
    it("assigns the next free slot to an attempt whose engine was full, before queued requests", () => {
        const bench = new SchedulerBench([
            engine("p1", "prefill", { slots: 9 }),
            engine("d1", "decode", { slots: 1 }),
            engine("d2", "decode", { slots: 1 }),
        ]);
        const requests = ["a", "b", "queued"].map(name => schedulingRequest(name, { firstTokenWithin: 30_000 }));
        requests.forEach(request => bench.submit(request));
        bench.advance(400);
        const [moving, other] = bench.outcome("a") === "p1>d1" ? ["a", "b"] as const : ["b", "a"] as const;
        bench.stages(other, "prefilled", "transferred");
        bench.stages(moving, "prefilled");
        expect(bench.scheduler.move(allocationOf(moving, "d1"), bench.now)).to.equal(undefined);
        bench.stages(other, "finished");
        expect(bench.outcome("queued")).to.equal("waits");
        expect(bench.scheduler.move(allocationOf(moving, "d1"), bench.now)).to.equal("d2");
        expect([...bench.scheduler.status().allocatedSlots]).to.deep.include.members([["d1", 0], ["d2", 1]]);
        expect(bench.scheduler.move(allocationOf(moving, "d1"), bench.now), "asked again").to.equal("d2");
        // The engine that rejected the attempt counts as full until three later reports have shown otherwise.
        bench.advance(100);
        expect(bench.outcome("queued")).to.equal("waits");
        [1, 2, 3].forEach(sequence => report(bench, sequence, []));
        bench.advance(100);
        expect(bench.outcome("queued")).to.equal("p1>d1");
    });

    // Guards against a slot that stays reserved for an attempt that has ended, which would block the queue.
    it("reserves no slot for an attempt that doesn't ask again", () => {
        const bench = new SchedulerBench([engine("p1", "prefill", { slots: 9 }), engine("d1", "decode", { slots: 1 })]);
        bench.submit(schedulingRequest("a", { firstTokenWithin: 30_000 }));
        bench.stages("a", "prefilled");
        bench.submit(schedulingRequest("queued", { firstTokenWithin: 30_000 }));
        expect(bench.scheduler.move(allocationOf("a", "d1"), bench.now)).to.equal(undefined);
        [1, 2, 3].forEach(sequence => report(bench, sequence, []));
        bench.step({ kind: "withdraw", attempt: "a" });
        bench.advance(1_000);
        expect(bench.outcome("queued")).to.equal("p1>d1");
    });
});
