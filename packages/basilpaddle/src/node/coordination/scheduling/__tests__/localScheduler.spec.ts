import { expect } from "chai";
import { engine, schedulingRequest } from "../../../../../../../simulation/scheduling/samples.js";
import type { SchedulingRequest } from "../../../protocol/index.js";
import { SeededRandomness } from "../../../utils/index.js";
import { LocalScheduler } from "../localScheduler.js";
import type { EngineEntry } from "../scheduler.js";

describe("LocalScheduler", () => {
    function createScheduler(engines: readonly EngineEntry[]): LocalScheduler {
        const scheduler = LocalScheduler.create({ randomness: SeededRandomness.create(7), divided: true });
        scheduler.step({ kind: "engines", engines }, 0);
        return scheduler;
    }

    function outcomeOf(scheduler: LocalScheduler, request: SchedulingRequest): string {
        const decision = scheduler.step({ kind: "demand", demand: request }, 1)[0];
        if (decision === undefined) {
            return "waits";
        }
        return decision.kind === "assigned" ? decision.decode : decision.refusal.code;
    }

    // Guards against requests assigned to an engine that is shutting down.
    it("assigns nothing to an engine that is leaving, gone, avoided or doesn't serve the model", () => {
        const scheduler = createScheduler([
            engine("p1", "prefill"),
            engine("p2", "prefill"),
            { ...engine("d1", "decode"), state: "leaving" },
            { ...engine("d2", "decode"), state: "gone" },
            engine("d3", "decode"),
            engine("d4", "decode", { slots: 10 }),
        ]);
        for (let count = 0; count < 10; count++) {
            expect(outcomeOf(scheduler, schedulingRequest(`a${count}`, { avoid: ["d3"] }))).to.equal("d4");
        }
        expect(outcomeOf(scheduler, schedulingRequest("b", { model: "other" }))).to.equal("noBackend");
    });

    // Without the limit, decode engines rejected a seventh of the imports while daemons placed requests locally.
    it("uses no more of the slots than its share among the open sessions", () => {
        const scheduler = createScheduler([
            engine("p1", "prefill"),
            engine("p2", "prefill"),
            engine("d1", "decode", { slots: 8 }),
        ]);
        scheduler.step({ kind: "sessions", open: [1, 2, 3, 4].map(n => ({ daemon: `e${n}`, incarnation: "i" })) }, 0);
        expect(["a", "b", "c", "d", "e"].map(name => outcomeOf(scheduler, schedulingRequest(name)))).to.deep.equal([
            "d1",
            "d1",
            "waits",
            "waits",
            "poolFull",
        ]);
        const cancelled = { attempt: "a", stage: "cancelled" as const, tokens: 0 };
        const decisions = scheduler.step({ kind: "progress", progress: cancelled }, 2);
        expect(decisions.map(decision => [decision.kind, decision.attempt])).to.deep.equal([["assigned", "c"]]);
        expect(scheduler.status().allocatedSlots.get("d1")).to.equal(2);
    });

    // Without the limit, nearly every first token was late for seconds after the scheduler became unreachable.
    it("uses no more of the prefill engines' time than its share, but at least one prompt", () => {
        const scheduler = createScheduler([
            engine("p1", "prefill"),
            engine("p2", "prefill"),
            engine("d1", "decode", { slots: 40 }),
        ]);
        scheduler.step({ kind: "sessions", open: [1, 2, 3, 4].map(n => ({ daemon: `e${n}`, incarnation: "i" })) }, 0);
        const long = { promptTokens: 8_000, firstTokenWithin: 4_000 };
        expect(["a", "b", "c"].map(name => outcomeOf(scheduler, schedulingRequest(name, long)))).to.deep.equal([
            "d1",
            "waits",
            "waits",
        ]);
        const prefilled = (attempt: string): string[] => {
            const progress = { attempt, stage: "prefilled" as const, tokens: 0 };
            return scheduler.step({ kind: "progress", progress }, 2).map(decision => decision.attempt);
        };
        expect(["a", "b", "c"].map(prefilled)).to.deep.equal([["b"], ["c"], []]);
        // Two engines, 0.35 of 4 s, four daemons: a share of 700 ms. Prompts of 500 and 150 ms fit; another 150 ms doesn't.
        const short = [5_000, 1_500, 1_500].map((promptTokens, index) =>
            schedulingRequest(`s${index}`, { ...long, promptTokens })
        );
        expect(short.map(request => outcomeOf(scheduler, request))).to.deep.equal(["d1", "d1", "waits"]);
    });

    it("refuses requests that waited for half of their target, and drops withdrawn ones", () => {
        const scheduler = createScheduler([engine("p1", "prefill"), engine("d1", "decode", { slots: 3 })]);
        expect(["a", "b", "c", "d", "e"].map(name => outcomeOf(scheduler, schedulingRequest(name)))).to.deep.equal([
            "d1",
            "d1",
            "d1",
            "waits",
            "waits",
        ]);
        scheduler.step({ kind: "withdraw", attempt: "d" }, 2);
        expect(scheduler.nextTickAt()).to.equal(1_001);
        const refused = scheduler.step({ kind: "tick" }, 1_001);
        expect(refused.map(decision => [decision.kind, decision.attempt])).to.deep.equal([["refused", "e"]]);
        expect(scheduler.status().queuedCount).to.equal(0);
    });

    // Guards against several daemons assigning the last free slots of an engine at the same time: a request that can't be
    // retried fails permanently when the engine rejects it.
    it("places a request that can't be retried only by fresh reports, and only if the other daemons can't take all free slots", () => {
        const open = ["a", "b", "c"].map(daemon => ({ daemon, incarnation: "i1" }));
        const outcomes = ([["x"], ["x", "y"], undefined] as const).map((active, index) => {
            const scheduler = createScheduler([engine("p1", "prefill"), engine("d1", "decode", { slots: 4 })]);
            scheduler.step({ kind: "sessions", open }, 0);
            const report = { id: "d1", incarnation: 1, sequence: 1, active: [...active ?? []], queuedTokens: 0 };
            // A report that is a second old doesn't show which slots are free now.
            scheduler.step({ kind: "load", report }, active === undefined ? -1_000 : 0);
            return [
                outcomeOf(scheduler, schedulingRequest(`a${index}`, { once: true })),
                outcomeOf(scheduler, schedulingRequest(`b${index}`)),
            ];
        });
        expect(outcomes).to.deep.equal([["d1", "waits"], ["waits", "d1"], ["waits", "d1"]]);
    });
});
