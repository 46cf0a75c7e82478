import { expect } from "chai";
import {
    emptyReconcilerState,
    type OrderLimits,
    type ReconcilerState,
} from "../../packages/basilpaddle/src/node/coordination/orders/orderState.js";
import { Reconciler } from "../../packages/basilpaddle/src/node/coordination/orders/reconciler.js";
import type { World } from "./world.js";

/** The limits of every run. */
export const limits: OrderLimits = { concurrentLoads: 2, orderTimeout: 4_000, settle: 3_060, retryPause: 500 };
/** Milliseconds between two rounds of a holder. */
export const roundTime = 1_000;

/** One holder of the orders lease at work on a world. Checks what must hold at each action. */
export class Holder {
    state: ReconcilerState = emptyReconcilerState();
    readonly given = new Set<string>();
    readonly ended: string[] = [];
    /** How late role changes take effect; not at all late when 0. */
    lateBy = 0;
    rounds = 0;
    private readonly reconciler: Reconciler;

    constructor(private readonly world: World, private readonly fence: number) {
        this.reconciler = Reconciler.create(fence, limits);
    }

    /** Whether anything was to be done. */
    round(): boolean {
        this.rounds += 1;
        const { world } = this;
        const step = this.reconciler.step(this.state, world.view(), world.readings(), world.now);
        this.state = step.state;
        for (const action of step.actions) {
            if (action.kind === "outcome") {
                this.end(action.open.orderId);
                continue;
            }
            const before = this.serving();
            if (action.kind === "drain") {
                world.drain(action.engine, action.draining);
            }
            else if (action.kind === "move") {
                world.move(action.version);
            }
            else {
                expect(action.open.cause).not.to.equal("");
                expect(this.given.has(action.open.orderId)).to.equal(false);
                this.given.add(action.open.orderId);
                const late = action.open.order.action === "changeRole" && this.lateBy > 0;
                const sent = late
                    ? world.sendLate(action.open, this.fence, this.lateBy)
                    : world.send(action.open, this.fence);
                this.state = this.reconciler.recordSendResult(this.state, action.open, sent, world.now);
                if (sent.result !== "started" && sent.result !== "unknown") {
                    this.end(action.open.orderId);
                }
            }
            this.checkFloor(before);
        }
        return step.actions.length > 0;
    }

    private end(orderId: string): void {
        expect(this.ended).not.to.include(orderId);
        this.ended.push(orderId);
    }

    private serving() {
        return { prefill: this.world.serving("prefill"), decode: this.world.serving("decode") };
    }

    private checkFloor(before: { readonly prefill: number; readonly decode: number; }): void {
        const after = this.serving();
        for (const role of ["prefill", "decode"] as const) {
            const floor = Math.min(before[role], this.world.declared.floor[role]);
            expect(after[role], `serving ${role} copies after an action`).to.be.at.least(floor);
        }
    }
}

/** Checks at each round of a run that nothing was cut and that the weight store isn't overrun. */
export function playRounds(world: World, holder: Holder, count: number): void {
    for (let round = 0; round < count; round++) {
        holder.round();
        expect(world.loading()).to.be.at.most(limits.concurrentLoads);
        world.pass(roundTime);
        expect(world.violations).to.deep.equal([]);
    }
}
