import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { flushPromises, ManualClock } from "../../../../../../../simulation/manualClock.js";
import { engineAnnouncement, pool, viewOf } from "../../../../../../../simulation/orders/samples.js";
import type { EngineState, View } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { OrderService } from "../orderService.js";
import { FakeControl, FakeOrderEngine } from "./fakes.js";

const own = { daemon: "entry-1", incarnation: "a" };
const other = { daemon: "entry-2", incarnation: "b" };
const timing = { viewLease: 3_000, clockDrift: 0.02 };
const limits = { orderTimeout: 4_000, concurrentLoads: 2, retryPause: 1_000 };
/** The previous holder's view lease, plus the order timeout for its orders in transit. */
const takeoverDelay = 3_060 + 4_000;
const interval = 1_000;

describe("the order service", () => {
    const announcement = engineAnnouncement("decode-1", { models: [] });
    let clock: ManualClock;
    let control: FakeControl;
    let engine: FakeOrderEngine;
    let service: OrderService;

    function viewHeldBy(holder: typeof own | undefined, fence = 5): View {
        const view = viewOf(pool({ copies: { prefill: 0, decode: 1 } }), [announcement]);
        return holder === undefined ? view : { ...view, leases: { orders: { holder, fence } } };
    }

    function stateWith(...models: EngineState["models"]): EngineState {
        return { id: "decode-1", incarnation: 1, role: "decode", models, highestFence: 0, active: [] };
    }

    const warm = stateWith({ name: "m", version: "2", adapters: [], phase: "warm", loadingAdapters: [] });

    beforeEach(() => {
        clock = new ManualClock();
        control = new FakeControl(viewHeldBy(own), own);
        engine = new FakeOrderEngine(announcement, stateWith());
        service = OrderService.create({
            control,
            engineAt: () => engine,
            clock,
            logger: createSilentLogger(),
            timing,
            limits,
            interval,
        });
    });

    afterEach(() => service.close());

    it("sends orders for the declaration under its fencing number, and records them in the audit trail first", async () => {
        let ordersWhenAudited: number | undefined;
        control.onPropose = () => ordersWhenAudited ??= engine.receivedOrders.length;
        await clock.advance(takeoverDelay);
        expect(engine.receivedOrders).to.deep.equal([
            { orderId: "5/1", fence: 5, order: { action: "load", model: "m", version: "2", adapters: [] } },
        ]);
        expect(ordersWhenAudited).to.equal(0);
        engine.current = warm;
        await clock.advance(interval);
        expect(control.outcomes()).to.deep.equal(["sent", "done"]);
        expect(control.records()[0]).to.deep.include({ fence: 5, backend: "decode-1", incarnation: 1, by: "entry-1" });
        expect(control.records()[0]!.action).to.equal("load m@2 (order 5/1: drafting declares m@2)");
        expect(engine.receivedOrders.length).to.equal(1);
    });

    it("waits until the previous holder's lease and its orders in transit have expired", async () => {
        // Guards against contradicting orders at an engine that doesn't check fencing tokens. The previous holder is
        // partitioned, considers its lease valid for one more view lease, and sends an order at the end of it; a new
        // holder must not start as soon as the lease is granted.
        await clock.advance(takeoverDelay - 1);
        expect(engine.stateReads).to.equal(0);
        control.publishView(viewHeldBy(other, 6));
        control.publishView(viewHeldBy(own, 7));
        await clock.advance(takeoverDelay - 1);
        expect(engine.stateReads).to.equal(0);
        await clock.advance(1);
        expect(engine.receivedOrders[0]).to.include({ orderId: "7/1", fence: 7 });
    });

    it("sends nothing after a freeze while it reads an engine", async () => {
        // Guards against the same failure. The holder is frozen while it reads the engines, and the lease is granted to
        // another daemon before it resumes with its readings: checking the lease only before reading isn't enough.
        engine.onState = () => {
            clock.freeze(60_000);
            control.mayStartWork = false;
        };
        await clock.advance(takeoverDelay);
        expect(engine.stateReads).to.equal(1);
        expect(engine.receivedOrders).to.deep.equal([]);
        expect(control.proposed).to.deep.equal([]);
    });

    it("sends nothing after a freeze between recording the order and sending it", async () => {
        control.onPropose = () => {
            clock.freeze(60_000);
            control.mayStartWork = false;
        };
        await clock.advance(takeoverDelay);
        expect(engine.receivedOrders).to.deep.equal([]);
        expect(control.outcomes()).to.deep.equal(["sent", "failed"]);
    });

    it("stops when the view names another holder, even during a round", async () => {
        engine.onState = () => control.publishView(viewHeldBy(other, 6));
        await clock.advance(takeoverDelay + 5 * interval);
        expect(engine.receivedOrders).to.deep.equal([]);
        expect(engine.stateReads).to.equal(1);
    });

    it("sends no order that is not recorded in the audit trail", async () => {
        control.undecided = true;
        await clock.advance(takeoverDelay + 3 * interval);
        expect(engine.receivedOrders).to.deep.equal([]);
        control.undecided = false;
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(1);
    });

    it("relies on a reading after a lost answer only once the order can no longer be in transit", async () => {
        // Guards against loading a model twice, or changing a role back and forth. The answer is lost, and the state is
        // read before the order arrives: treating that reading as proof would send the order again.
        engine.answer = Left({ kind: "unknown", code: undefined, message: "reset" });
        await clock.advance(takeoverDelay);
        expect(control.outcomes()).to.deep.equal(["sent"]);
        await clock.advance(limits.orderTimeout - interval);
        expect(engine.receivedOrders.length).to.equal(1);
        expect(service.openOrders()).to.have.length(1);
        engine.current = warm;
        await clock.advance(2 * interval);
        expect(control.outcomes()).to.deep.equal(["sent", "done"]);
        expect(engine.receivedOrders.length).to.equal(1);
        expect(service.openOrders()).to.deep.equal([]);
    });

    it("retries an order that was lost in transit with increasing backoff", async () => {
        engine.answer = Left({ kind: "unknown", code: undefined, message: "reset" });
        await clock.advance(takeoverDelay + limits.orderTimeout);
        expect(control.outcomes()).to.deep.equal(["sent", "failed"]);
        expect(engine.receivedOrders.length).to.equal(1);
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(2);
        await clock.advance(limits.orderTimeout + interval);
        expect(engine.receivedOrders.length).to.equal(2);
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(3);
    });

    it("backs off after an order that the engine refused", async () => {
        engine.answer = Right({ outcome: "refused", highestFence: 9, message: "old" });
        await clock.advance(takeoverDelay);
        expect(control.outcomes()).to.deep.equal(["sent", "refused"]);
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(2);
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(2);
    });

    it("continues after a failed round and stops when it is closed", async () => {
        engine.onState = () => {
            engine.onState = () => {};
            throw new Error("a fault");
        };
        await clock.advance(takeoverDelay);
        expect(engine.receivedOrders).to.deep.equal([]);
        await clock.advance(interval);
        expect(engine.receivedOrders.length).to.equal(1);
        await service.close();
        const { stateReads } = engine;
        await clock.advance(10 * interval);
        await flushPromises();
        expect(engine.stateReads).to.equal(stateReads);
    });
});
