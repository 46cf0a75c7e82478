import { expect } from "chai";
import {
    emptyReconcilerState,
    type OrderLimits,
    type ReconcilerState,
} from "../../packages/basilpaddle/src/node/coordination/orders/orderState.js";
import { Reconciler } from "../../packages/basilpaddle/src/node/coordination/orders/reconciler.js";
import type { World } from "./world.js";

/** Limits of the orders in every simulation. */
export const limits: OrderLimits = { concurrentLoads: 2, orderTimeout: 4_000, settle: 3_060, retryPause: 500 };
/** Milliseconds from one round of a holder to the next. */
export const roundInterval = 1_000;

/** A holder of the orders lease, which applies the reconciler's actions to a simulated pool and checks invariants at each. */
export class Holder {
    state: ReconcilerState = emptyReconcilerState();
    /** Identifiers of the orders sent so far. */
    readonly issuedOrders = new Set<string>();
    /** Identifiers of the orders whose outcome is known. */
    readonly completedOrders: string[] = [];
    /** Milliseconds by which role changes are delayed, with their answers lost; 0 doesn't delay them. */
    roleChangeDelay = 0;
    rounds = 0;
    private readonly reconciler: Reconciler;

    constructor(private readonly world: World, private readonly fence: number) {
        this.reconciler = Reconciler.create(fence, limits);
    }

    /** Runs one round; returns whether the reconciler requested any action. */
    round(): boolean {
        this.rounds += 1;
        const { world } = this;
        const step = this.reconciler.step(this.state, world.view(), world.readings(), world.now);
        this.state = step.state;
        for (const action of step.actions) {
            if (action.kind === "outcome") {
                this.recordOutcome(action.open.orderId);
                continue;
            }
            const before = this.servingCounts();
            if (action.kind === "drain") {
                world.drain(action.engine, action.draining);
            }
            else if (action.kind === "move") {
                world.moveTraffic(action.version);
            }
            else {
                expect(action.open.cause).not.to.equal("");
                expect(this.issuedOrders.has(action.open.orderId)).to.equal(false);
                this.issuedOrders.add(action.open.orderId);
                const isDelayed = action.open.order.action === "changeRole" && this.roleChangeDelay > 0;
                const sent = isDelayed
                    ? world.sendDelayed(action.open, this.fence, this.roleChangeDelay)
                    : world.send(action.open, this.fence);
                this.state = this.reconciler.recordSendResult(this.state, action.open, sent, world.now);
                if (sent.result !== "started" && sent.result !== "unknown") {
                    this.recordOutcome(action.open.orderId);
                }
            }
            this.checkFloor(before);
        }
        return step.actions.length > 0;
    }

    private recordOutcome(orderId: string): void {
        expect(this.completedOrders).not.to.include(orderId);
        this.completedOrders.push(orderId);
    }

    private servingCounts() {
        return { prefill: this.world.servingCount("prefill"), decode: this.world.servingCount("decode") };
    }

    /** Checks that an action didn't reduce the serving copies below the floor, or further below it. */
    private checkFloor(before: { readonly prefill: number; readonly decode: number; }): void {
        const after = this.servingCounts();
        for (const role of ["prefill", "decode"] as const) {
            const floor = Math.min(before[role], this.world.declared.floor[role]);
            expect(after[role], `serving ${role} copies after an action`).to.be.at.least(floor);
        }
    }
}

/** Runs rounds, and checks in each that no attempt was aborted and that the limit on concurrent loads is kept. */
export function runRounds(world: World, holder: Holder, count: number): void {
    for (let round = 0; round < count; round++) {
        holder.round();
        expect(world.countLoading()).to.be.at.most(limits.concurrentLoads);
        world.advance(roundInterval);
        expect(world.violations).to.deep.equal([]);
    }
}
