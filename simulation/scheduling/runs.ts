import { expect } from "chai";
import * as fc from "fast-check";
import type { EngineEntry } from "../../packages/basilpaddle/src/node/coordination/scheduling/scheduler.js";
import { Tally } from "../subject.js";
import { SchedulerBench } from "./bench.js";
import { engine, schedulingRequest } from "./samples.js";

const slots = 2;
const actionArbitrary = fc.oneof(
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("ask" as const), id: fc.nat(40), book: fc.nat(3) }) },
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("stage" as const),
            id: fc.nat(40),
            stage: fc.constantFrom(
                "prefilling",
                "prefilled",
                "transferred",
                "firstToken",
                "finished",
                "cancelled",
                "failed",
            ),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("withdraw" as const), id: fc.nat(40) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("pass" as const), milliseconds: fc.nat(2_000) }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("report" as const),
            engine: fc.constantFrom("d1", "d2"),
            ids: fc.array(fc.nat(40), { maxLength: 4 }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("engine" as const),
            state: fc.constantFrom("ready", "leaving", "gone"),
            incarnation: fc.integer({ min: 1, max: 3 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("sessions" as const), open: fc.boolean() }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("full" as const),
            id: fc.nat(40),
            engine: fc.constantFrom("d1", "d2"),
        }),
    },
);

/** Property: the reservations of an engine stay within their bound, and none remains after all requests are withdrawn. */
export function schedulingProperty(tally = new Tally()) {
    return fc.property(
        fc.array(actionArbitrary, { minLength: 20, maxLength: 200 }),
        fc.constantFrom("goodput" as const, "prefill" as const),
        (actions, weighting) => {
            const engines = (state: EngineEntry["state"], incarnation: number): EngineEntry[] => [
                engine("p1", "prefill"),
                engine("d1", "decode", { slots }),
                { ...engine("d2", "decode", { slots, incarnation }), state },
            ];
            const bench = new SchedulerBench(engines("ready", 1), weighting);
            const owner = { daemon: "entry-1", incarnation: "i1" };
            const requestedAttempts = new Set<string>();
            let sequence = 0;
            for (const action of actions) {
                switch (action.kind) {
                    case "ask":
                        if (!requestedAttempts.has(`a${action.id}`)) {
                            requestedAttempts.add(`a${action.id}`);
                            bench.submit(
                                schedulingRequest(`a${action.id}`, {
                                    organisation: `book-${action.book}`,
                                    firstTokenWithin: 5_000,
                                }),
                            );
                        }
                        break;
                    case "stage":
                        bench.step({
                            kind: "progress",
                            progress: { attempt: `a${action.id}`, stage: action.stage as "failed", tokens: 0 },
                        });
                        break;
                    case "withdraw":
                        bench.step({ kind: "withdraw", attempt: `a${action.id}` });
                        break;
                    case "pass":
                        bench.advance(action.milliseconds);
                        break;
                    case "report":
                        bench.step({
                            kind: "load",
                            report: {
                                id: action.engine,
                                incarnation: 1,
                                sequence: sequence++,
                                active: action.ids.map(id => `a${id}`),
                                queuedTokens: 0,
                            },
                        });
                        break;
                    case "engine":
                        bench.step({
                            kind: "engines",
                            engines: engines(action.state as "ready", action.incarnation),
                        });
                        break;
                    case "full":
                        if (requestedAttempts.has(`a${action.id}`)) {
                            const assignment = {
                                prefill: "p1",
                                decode: action.engine,
                                stage: "prefilled",
                                tokens: 0,
                            } as const;
                            bench.scheduler.move(
                                { demand: schedulingRequest(`a${action.id}`), ...assignment },
                                bench.now,
                            );
                        }
                        break;
                    case "sessions":
                        bench.step({ kind: "sessions", open: action.open ? [owner] : [] });
                        break;
                }
                const { allocatedSlots, queuedCount } = bench.scheduler.status();
                // Beyond the slots, one more reservation is allowed for each answer that is expected to end in time.
                expect(Math.max(0, ...allocatedSlots.values())).to.be.at.most(2 * slots);
                expect(queuedCount).to.be.at.most(requestedAttempts.size);
            }
            for (const attempt of requestedAttempts) {
                bench.step({ kind: "withdraw", attempt });
            }
            const finalStatus = bench.scheduler.status();
            expect([...finalStatus.allocatedSlots.values()].every(count => count === 0)).to.equal(true);
            expect(finalStatus.queuedCount).to.equal(0);
            tally.addRun(actions.length);
        },
    );
}
