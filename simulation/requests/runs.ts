import { expect } from "chai";
import * as fc from "fast-check";
import type { RequestEnd } from "../../packages/basilpaddle/src/node/coordination/request/generationRequest.js";
import type { Outcome } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { Tally } from "../subject.js";
import type { Fault, Stage } from "./fakes.js";
import { Rig } from "./rig.js";

/** The stages of an attempt. */
export const stages: readonly Stage[] = ["prefill", "import", "decode"];
const faults: readonly Fault[] = [
    "refuse",
    "full",
    "fail",
    "loseBefore",
    "loseAfter",
    "hang",
    "cut",
    "gap",
    "repeat",
    "short",
    "early",
];
const fullText = "one two three four";

/** The outcome that a refusal reports to the caller; undefined if the request wasn't refused. */
export function refusalOutcome(end: RequestEnd): Outcome | undefined {
    return end.kind === "refused" ? end.refusal.outcome : undefined;
}

/** Asserts the invariants of every request, independent of the injected faults. */
export function assertInvariants(rig: Rig, end: RequestEnd): void {
    const received = rig.answer.texts.join("");
    expect(fullText.startsWith(received), `the text has missing or repeated tokens: ${received}`).to.equal(true);
    expect(rig.answer.finishes).to.equal(end.kind === "finished" ? 1 : 0);
    if (end.kind === "finished") {
        expect(received).to.equal(fullText);
    }
    if (refusalOutcome(end) === "notRun") {
        expect(rig.ranStages(), "stages that ran despite the outcome notRun").to.deep.equal([]);
    }
}

const scenario = fc.record({
    faults: fc.array(
        fc.record({
            engine: fc.constantFrom("p1", "p2", "d1", "d2"),
            stage: fc.constantFrom(...stages),
            fault: fc.constantFrom(...faults),
        }),
        { maxLength: 6 },
    ),
    stop: fc.option(
        fc.record({
            stage: fc.constantFrom(...stages),
            reason: fc.constantFrom("callerGone" as const, "deadlineExceeded" as const),
        }),
        { nil: undefined },
    ),
    resume: fc.boolean(),
    nonIdempotent: fc.boolean(),
    lost: fc.array(fc.constantFrom("before" as const, "after" as const), { maxLength: 3 }),
    lostCancels: fc.integer({ min: 0, max: 3 }),
});

/** Property: the invariants hold under random faults, stops and lost proposals, and nothing remains held afterwards. */
export function requestProperty(tally = new Tally()) {
    return fc.asyncProperty(scenario, async ({ faults: injectedFaults, stop, resume, nonIdempotent, ...rest }) => {
        const rig = Rig.create({ abilities: { resume } });
        rig.control.lost.push(...rest.lost);
        for (const { engine, stage, fault } of injectedFaults) {
            rig.engine(engine).faults[stage].push(fault);
        }
        for (const engine of rig.engines) {
            engine.lostCancels = rest.lostCancels;
            engine.onStageBegun = stage => stage === stop?.stage && rig.scope.stop(stop.reason);
        }
        const includesHang = injectedFaults.some(({ fault }) => fault === "hang");
        const deadline = setTimeout(() => rig.scope.stop("deadlineExceeded"), includesHang ? 20 : 5_000);
        const end = await rig.drive(nonIdempotent ? { run: { key: "k", digest: "d" } } : {});
        clearTimeout(deadline);
        assertInvariants(rig, end);
        if (nonIdempotent) {
            expect(rig.ranStages().filter(ran => ran.startsWith("prefill")).length).to.be.at.most(1);
            expect(new Set(rig.ranStages().map(ran => ran.split(" ")[1])).size).to.be.at.most(1);
        }
        await rig.waitUntilSettled();
        expect(rig.unreleasedAttempts()).to.deep.equal([]);
        const state = rig.control.runs.get("k")?.state;
        expect(state).to.not.equal("running");
        const cancels = rig.engines.reduce((sum, engine) => sum + engine.cancels, 0);
        tally.addRun(
            rig.placement.schedulingRequests.length + rig.ranStages().length + cancels + rig.control.commands.length,
        );
    });
}
