import { expect } from "chai";
import { engineAnnouncement, pool, poolName, viewOf } from "../../../../../../../simulation/orders/samples.js";
import type { Announcement, EngineState, Pool, View } from "../../../protocol/index.js";
import { emptyReconcilerState, type EngineReading, type OrderLimits, type ReconcilerAction } from "../orderState.js";
import { Reconciler } from "../reconciler.js";

const limits: OrderLimits = { concurrentLoads: 2, orderTimeout: 4_000, settle: 3_060, retryPause: 500 };
const old = { name: "m", version: "1", adapters: [] };
const current = { name: "m", version: "2", adapters: [] };
const both = [old, current];
const never = Number.POSITIVE_INFINITY;

type EngineSample = { readonly announcement: Announcement; readonly state?: Partial<EngineState>; };

function engine(
    id: string,
    role: "prefill" | "decode",
    models = [current],
    state: Partial<EngineState> = {},
): EngineSample {
    return { announcement: engineAnnouncement(id, { role, models, abilities }), state: { role, ...state } };
}

const abilities = { ...engineAnnouncement("x").abilities, changesRole: true };

function stateOf({ announcement, state }: EngineSample): EngineState {
    const models = announcement.models.map(model => ({ ...model, phase: "warm" as const, loadingAdapters: [] }));
    const { id, incarnation } = announcement;
    return { id, incarnation, role: "decode", models, highestFence: 0, active: [], ...state };
}

/** A pool whose engines don't react to orders. */
class StaticPool {
    state = emptyReconcilerState();
    private now = 0;
    private readonly reconciler = Reconciler.create(5, limits);

    constructor(
        private readonly declared: Pool,
        private readonly engines: readonly EngineSample[],
        private readonly draining: readonly string[] = [],
        private readonly served: View["served"] = { [poolName]: { m: "2" } },
    ) {}

    /** Actions of the given number of rounds, one second apart. The outcome of the orders stays unknown. */
    rounds(count = 1): ReconcilerAction[] {
        const view = {
            ...viewOf(this.declared, this.engines.map(({ announcement }) => announcement), this.draining),
            served: this.served,
        };
        const actions: ReconcilerAction[] = [];
        for (let round = 0; round < count; round++) {
            this.now += 1_000;
            const reading = (sample: EngineSample): EngineReading => ({ state: stateOf(sample), askedAt: this.now });
            const readings = new Map(this.engines.map(sample => [sample.announcement.id, reading(sample)]));
            const step = this.reconciler.step(this.state, view, readings, this.now);
            this.state = step.state;
            actions.push(...step.actions);
        }
        return actions;
    }
}

function summarize(actions: readonly ReconcilerAction[]): string[] {
    return actions.map(action => {
        switch (action.kind) {
            case "order":
                return `${action.open.order.action} ${action.open.engine}`;
            case "drain":
                return `${action.draining ? "drain" : "return"} ${action.engine}`;
            case "move":
                return `move ${action.version}`;
            case "outcome":
                return action.outcome;
        }
    });
}

const wantsDecode = pool({ copies: { prefill: 1, decode: 2 }, floor: { prefill: 1, decode: 1 } });
const surplus = [engine("p-0", "prefill"), engine("p-1", "prefill"), engine("d-0", "decode")];

describe("a step of the reconciler", () => {
    it("drains an engine before it changes its role, and changes the role only once the engine is idle", () => {
        expect(summarize(new StaticPool(wantsDecode, surplus).rounds(6))[0]).to.equal("drain p-0");
        expect(summarize(new StaticPool(wantsDecode, surplus, ["p-0"]).rounds(6))).to.deep.equal(["changeRole p-0"]);
        // The attempts from before the drain have ended, and the engine runs one that should not have been sent to it.
        const busy = engine("p-0", "prefill", [current], { active: ["first"] });
        const staticPool = new StaticPool(wantsDecode, [busy, ...surplus.slice(1)], ["p-0"]);
        const before = staticPool.rounds(6);
        busy.state!.active = ["late"];
        expect(summarize([...before, ...staticPool.rounds(4)])).to.deep.equal([]);
        busy.state!.active = [];
        expect(summarize(staticPool.rounds())).to.deep.equal(["changeRole p-0"]);
    });

    it("keeps an engine drained while its role change is in transit, even if it is no longer required", () => {
        // Guards against a role change that aborts requests. The order's answer is lost and the declaration is reverted; if
        // the engine were returned to placement, it would get work before the order arrives.
        const staticPool = new StaticPool(wantsDecode, surplus, ["p-0"]);
        const { open } = staticPool.rounds(6).find(action => action.kind === "order")!;
        const changedBack = new StaticPool(pool({ copies: { prefill: 2, decode: 1 } }), surplus, ["p-0"]);
        expect(summarize(changedBack.rounds())).to.deep.equal(["return p-0"]);
        changedBack.state = { ...staticPool.state, open: new Map([[open.engine, { ...open, readableAt: never }]]) };
        expect(summarize(changedBack.rounds(3))).to.deep.equal([]);
    });

    it("keeps an engine drained until its announcement contains its new role", () => {
        // Guards against prefill requests to a decode engine. The role has changed, but the view doesn't contain the new
        // announcement yet when the engine is returned to placement.
        const changed = [engine("p-0", "prefill", [current], { role: "decode" }), ...surplus.slice(1)];
        expect(summarize(new StaticPool(wantsDecode, changed, ["p-0"]).rounds(6))).to.deep.equal([]);
        const announced = [engine("p-0", "decode"), ...surplus.slice(1)];
        expect(summarize(new StaticPool(wantsDecode, announced, ["p-0"]).rounds())).to.deep.equal(["return p-0"]);
    });

    it("keeps an engine's last version until a declared one is warm there", () => {
        const enginesWithOldVersion = [
            engine("p-0", "prefill", both),
            engine("d-0", "decode", both),
            engine("d-1", "decode", [old]),
        ];
        const models = [{ ...current, phase: "loading" as const, loadingAdapters: [] }];
        const loading = ["d-2", "d-3"].map(id => engine(id, "decode", [], { models }));
        const actions = summarize(new StaticPool(wantsDecode, [...enginesWithOldVersion, ...loading]).rounds(6));
        expect(actions).to.include("unload d-0").and.not.include("unload d-1").and.not.include("load d-1");
    });

    it("moves traffic before it takes any action that depends on the move", () => {
        const warm = [engine("p-0", "prefill", both), engine("p-1", "prefill", both), engine("d-0", "decode", both)];
        const served = { [poolName]: { m: "1" } };
        expect(summarize(new StaticPool(wantsDecode, warm, [], served).rounds())).to.deep.equal(["move 2"]);
    });

    it("sends no order to an engine that it can't read or whose incarnation differs from the view", () => {
        const empty = engine("d-0", "decode", [], { incarnation: 2 });
        expect(summarize(new StaticPool(wantsDecode, [engine("p-0", "prefill"), empty]).rounds(3))).to.deep.equal([]);
    });
});
