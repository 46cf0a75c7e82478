import { expect } from "chai";
import { flushPromises } from "../../../../../../../simulation/manualClock.js";
import { engine, schedulingRequest } from "../../../../../../../simulation/scheduling/samples.js";
import type { EngineAllocation, SchedulingDecision } from "../../../protocol/index.js";
import { incarnation, sampleView, TestDaemons } from "./fakes.js";

const neverAborted = new AbortController().signal;

function requestOf(daemon: string, name: string, overrides: Parameters<typeof schedulingRequest>[1] = {}) {
    return schedulingRequest(`${daemon}/i1/${name}`, {
        owner: incarnation(daemon),
        firstTokenWithin: 20_000,
        ...overrides,
    });
}

function allocationOf(daemon: string, name: string, stage: EngineAllocation["stage"]): EngineAllocation {
    return { demand: requestOf(daemon, name), prefill: "p1", decode: "d1", stage, tokens: 0 };
}

describe("ScheduledPlacement", () => {
    let daemons: TestDaemons;
    let decisions: Map<string, SchedulingDecision>;

    beforeEach(async () => {
        const engines = [engine("p1", "prefill", { slots: 8 }), engine("d1", "decode", { slots: 2 })];
        daemons = new TestDaemons(["a", "b", "c"], sampleView(["a", "b", "c"], engines));
        decisions = new Map();
        daemons.grantLease("drafts", "a");
        await daemons.clock.advance(2_000);
    });

    afterEach(() => daemons.close());

    function reserve(
        daemon: string,
        name: string,
        signal: AbortSignal = neverAborted,
        overrides: Parameters<typeof schedulingRequest>[1] = {},
    ): void {
        void daemons.placement(daemon).reserve(requestOf(daemon, name, overrides), signal).then(decision =>
            decisions.set(name, decision)
        );
    }

    function end(daemon: string, name: string): void {
        daemons.placement(daemon).progress("drafts", { attempt: `${daemon}/i1/${name}`, stage: "finished", tokens: 9 });
    }

    function outcome(name: string): string | number {
        const decision = decisions.get(name);
        if (decision === undefined) {
            return "waits";
        }
        return decision.kind === "assigned" ? decision.fence : decision.refusal.code;
    }

    async function reserveAndPrefill(daemon: string, name: string): Promise<void> {
        reserve(daemon, name);
        await daemons.clock.advance(200);
        const attempt = `${daemon}/i1/${name}`;
        daemons.placement(daemon).progress("drafts", { attempt, stage: "prefilled", tokens: 0 });
        await daemons.clock.advance(10);
    }

    it("asks the holder of the scheduler lease, and assigns each slot once", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("c", "two");
        await reserveAndPrefill("b", "three");
        expect([outcome("one"), outcome("two"), outcome("three")]).to.deep.equal([11, 11, "waits"]);
        end("c", "two");
        await daemons.clock.advance(100);
        expect(outcome("three")).to.equal(11);
    });

    // Guards against queued requests that are never assigned to an engine that was announced after them.
    it("assigns queued requests, of this and other daemons, to an engine added to the view", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("c", "two");
        reserve("a", "three");
        reserve("b", "four");
        await daemons.clock.advance(300);
        expect([outcome("three"), outcome("four")]).to.deep.equal(["waits", "waits"]);
        const addedEngines = [engine("d2", "decode"), engine("p2", "prefill")];
        daemons.change(view => ({
            ...view,
            backends: {
                ...view.backends,
                ...Object.fromEntries(addedEngines.map(entry => [entry.announcement.id, entry])),
            },
        }));
        await flushPromises();
        expect([outcome("three"), outcome("four")]).to.deep.equal([11, 11]);
        expect(daemons.placement("a").status().get("drafts")!.allocatedSlots.get("d2")).to.equal(2);
    });

    // Guards against a third request assigned to two slots after another daemon became the scheduler.
    it("recovers the holdings of all open sessions before a new scheduler assigns slots", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("c", "two");
        daemons.kill("a");
        daemons.closeSession("a");
        daemons.grantLease("drafts", "c");
        await daemons.clock.advance(100);
        await reserveAndPrefill("b", "three");
        expect(outcome("three")).to.equal("waits");
        end("b", "one");
        await daemons.clock.advance(100);
        expect(outcome("three")).to.equal(13);
    });

    // Guards against requests that wait at an unreachable scheduler until their deadline.
    it("places requests locally, within its share, when the scheduler becomes unreachable while they are queued", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("b", "two");
        await reserveAndPrefill("c", "three");
        expect(outcome("three")).to.equal("waits");
        daemons.partitioned.add("a");
        await daemons.clock.advance(500);
        expect(outcome("three")).to.equal(0);
        daemons.partitioned.clear();
        await daemons.clock.advance(500);
        expect(daemons.placement("a").status().get("drafts")!.queuedCount).to.equal(0);
    });

    // Guards against requests that are late already taking engines from new ones that can still meet their targets.
    it("counts the time spent in the scheduler's queue in local placement", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("c", "two");
        reserve("c", "three");
        reserve("c", "four");
        await daemons.clock.advance(10_000);
        expect([outcome("three"), outcome("four")]).to.deep.equal(["waits", "waits"]);
        daemons.partitioned.add("a");
        await daemons.clock.advance(500);
        expect([outcome("three"), outcome("four")]).to.deep.equal([0, "waits"]);
        await daemons.clock.advance(5_000);
        expect(outcome("four")).to.equal("poolFull");
    });

    // Guards against a slot that stays allocated after its caller disconnected.
    it("releases the engines of a caller that disconnects between the reservation and its use", async () => {
        const caller = new AbortController();
        reserve("b", "one", caller.signal);
        caller.abort();
        await daemons.clock.advance(500);
        expect(outcome("one")).to.equal("callerGone");
        expect(daemons.placement("a").status().get("drafts")!.allocatedSlots.get("d1")).to.equal(0);
    });

    // Guards against a queue full of requests of a dead daemon.
    it("removes the requests of a broken connection from the queue, and releases slots when the session closes", async () => {
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("b", "two");
        await reserveAndPrefill("b", "three");
        const poolStatus = () => daemons.placement("a").status().get("drafts")!;
        expect(poolStatus().queuedCount).to.equal(1);
        daemons.kill("b");
        await flushPromises();
        expect(poolStatus().queuedCount).to.equal(0);
        daemons.closeSession("b");
        await flushPromises();
        expect(poolStatus().allocatedSlots.get("d1")).to.equal(0);
    });

    // Guards against engines decoding the answer of a killed daemon to its last token.
    it("cancels the attempts of a dead daemon at their engines, and none of a live one", async () => {
        const report = { id: "d1", incarnation: 1, sequence: 5, active: ["b/i1/one", "c/i1/two"], queuedTokens: 0 };
        await reserveAndPrefill("b", "one");
        await reserveAndPrefill("c", "two");
        daemons.placement("c").load("drafts", report);
        daemons.kill("b");
        daemons.closeSession("b");
        daemons.closeSession("c");
        await daemons.clock.advance(4_000);
        expect([...new Set(daemons.cancelledAttempts)]).to.deep.equal(["b/i1/one"]);
    });

    // Guards against cancelling streams that a daemon still serves while it shuts down.
    it("cancels nothing of a daemon that drains after its session closed, as long as it is reachable", async () => {
        const reportFor = async (seconds: number): Promise<void> => {
            for (const end = daemons.clock.monotonic() + 1_000 * seconds; daemons.clock.monotonic() < end;) {
                const active = ["c/i1/one"];
                const sequence = daemons.clock.monotonic();
                daemons.placement("a").load("drafts", { id: "d1", incarnation: 1, sequence, active, queuedTokens: 0 });
                await daemons.clock.advance(1_000);
            }
        };
        reserve("c", "one", new AbortController().signal, { deadlineWithin: 600_000 });
        await daemons.clock.advance(200);
        expect(outcome("one")).to.equal(11);
        daemons.closeSession("c");
        await reportFor(60);
        daemons.grantLease("drafts", "b");
        daemons.grantLease("drafts", "a");
        await reportFor(60);
        expect(daemons.cancelledAttempts).to.deep.equal([]);
        daemons.kill("c");
        await reportFor(4);
        expect([...new Set(daemons.cancelledAttempts)]).to.deep.equal(["c/i1/one"]);
    });

    // Guards against cancelling requests of live daemons while the view of a daemon that just started is stale.
    it("treats an unknown owner as dead only after the view was confirmed", async () => {
        const report = { id: "d1", incarnation: 1, sequence: 5, active: ["new/i1/one"], queuedTokens: 0 };
        daemons.placement("a").load("drafts", report);
        await daemons.clock.advance(2_500);
        expect(daemons.cancelledAttempts).to.deep.equal([]);
        await daemons.clock.advance(4_000);
        expect([...new Set(daemons.cancelledAttempts)]).to.deep.equal(["new/i1/one"]);
    });

    it("doesn't schedule while its view isn't confirmed", async () => {
        daemons.controls.get("a")!.confirmed = false;
        await reserveAndPrefill("b", "one");
        expect(outcome("one")).to.equal(0);
    });

    for (const local of [false, true]) {
        // Guards against assigning one slot to two attempts, one of them placed locally.
        it(`moves an attempt placed ${local ? "locally" : "by the scheduler"} to an engine with a free slot once its own is full`, async () => {
            if (local) {
                daemons.partitioned.add("a");
            }
            await reserveAndPrefill("b", "one");
            await daemons.clock.advance(500);
            expect(outcome("one")).to.equal(local ? 0 : 11);
            daemons.partitioned.clear();
            await daemons.clock.advance(500);
            daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode") } }));
            const moved = daemons.placement("b").move(allocationOf("b", "one", "prefilled"));
            await daemons.clock.advance(300);
            expect(await moved).to.equal("d2");
            const { allocatedSlots } = daemons.placement("a").status().get("drafts")!;
            expect([...allocatedSlots]).to.deep.equal([["p1", 0], ["d1", 0], ["d2", 1]]);
            end("b", "one");
            await daemons.clock.advance(100);
            expect(daemons.placement("a").status().get("drafts")!.allocatedSlots.get("d2")).to.equal(0);
        });
    }

    // Guards against discarding a finished prefill because the scheduler is unreachable.
    it("moves an attempt locally while the scheduler is unreachable", async () => {
        await reserveAndPrefill("b", "one");
        daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode") } }));
        daemons.partitioned.add("a");
        const moved = daemons.placement("b").move(allocationOf("b", "one", "prefilled"));
        await daemons.clock.advance(500);
        expect(await moved).to.equal("d2");
    });

    // Guards against refusing a request that can't be retried, or assigning it a slot in use, although the scheduler is
    // reachable again.
    it("returns requests that wait for local placement to the scheduler once it answers again", async () => {
        daemons.partitioned.add("a");
        await daemons.clock.advance(500);
        reserve("b", "once", neverAborted, { once: true });
        await daemons.clock.advance(1_000);
        expect(outcome("once")).to.equal("waits");
        daemons.partitioned.clear();
        await daemons.clock.advance(500);
        expect(outcome("once")).to.equal(11);
    });

    // Guards against a scheduler that was frozen and then assigns slots that other daemons allocated in the meantime.
    it("assigns nothing after a stall until it has applied the local placements of other daemons", async () => {
        const localPlacements = ["one", "two"].map(name => {
            return { kind: "taken", pool: "drafts", holding: allocationOf("b", name, "prefilling") } as const;
        });
        daemons.clock.freeze(400);
        reserve("a", "later");
        await flushPromises();
        for (const request of localPlacements) {
            await daemons.placement("a").handlePeer(request, { disconnected: neverAborted });
        }
        await daemons.clock.advance(300);
        expect(outcome("later")).to.equal("waits");
        end("b", "one");
        await daemons.clock.advance(300);
        expect(outcome("later")).to.equal(11);
    });

    // Guards against placing a request that can't be retried on a slot that the scheduler has just assigned and that
    // isn't in the engines' reports yet: the request fails permanently when the engine rejects it.
    it("places a request that can't be retried locally only by load reports that include the scheduler's last assignments", async () => {
        daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode", { slots: 8 }) } }));
        const reportLoads = (active: readonly string[]): void => {
            for (const id of ["d1", "d2"]) {
                const sequence = daemons.clock.monotonic();
                const report = { id, incarnation: 1, sequence, active: [...active], queuedTokens: 0 };
                daemons.loadReports.set(`http://127.0.0.1:1/${id}`, report);
            }
        };
        reportLoads([]);
        daemons.partitioned.add("a");
        reserve("b", "once", neverAborted, { once: true });
        await daemons.clock.advance(500);
        reportLoads(["x1", "x2", "x3", "x4", "x5", "x6", "x7", "x8"]);
        await daemons.clock.advance(500);
        expect(outcome("once")).to.equal("waits");
        reportLoads([]);
        reserve("c", "another once", neverAborted, { once: true });
        await daemons.clock.advance(1_000);
        expect(outcome("another once")).to.equal(0);
    });
});
