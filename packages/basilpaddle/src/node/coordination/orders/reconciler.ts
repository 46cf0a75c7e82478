import type { EngineState, Order, View } from "../../protocol/index.js";
import { outcomeFromReading } from "./orderOutcome.js";
import {
    describeOrder,
    type EngineReading,
    type ObservedEngine,
    type OpenOrder,
    type OrderLimits,
    type OrderOutcome,
    type OrderRetry,
    type QuiescenceWait,
    type ReconcilerAction,
    type ReconcilerState,
} from "./orderState.js";
import {
    type PoolState,
    requiredLoads,
    requiredMoves,
    type RequiredOrder,
    requiredRoleChange,
    requiredUnloads,
    servedVersions,
} from "./poolPlan.js";
import { advanceQuiescence, isQuiescent, PoolActivity } from "./quiescence.js";

/** Number of times that the retry delay doubles, so that its maximum is 64 times the first delay. */
const maxRetryDoublings = 6;

/** Result of a reconciler step: the next state and the actions to execute. */
export type ReconcilerStep = { readonly state: ReconcilerState; readonly actions: readonly ReconcilerAction[]; };

/** Result of sending an order, as far as it is known. `notSent`: no byte of the order left this daemon. */
export type OrderSendResult = OrderOutcome | "started" | "notSent";

/** Result of sending an order, and the monotonic milliseconds at which it was sent. */
export type SentOrder = { readonly result: OrderSendResult; readonly sentAt: number; };

/** Compares the declaration with the engines' states and issues the orders that are due. Uses no sockets and no clock. */
export class Reconciler {
    private constructor(private readonly fence: number, private readonly limits: OrderLimits) {}

    /** Creates a reconciler for one term of the orders lease. */
    static create(fence: number, limits: OrderLimits): Reconciler {
        return new Reconciler(fence, limits);
    }

    /** Computes one round from its readings, keyed by engine identifier. */
    step(
        previousState: ReconcilerState,
        view: View,
        readings: ReadonlyMap<string, EngineReading>,
        now: number,
    ): ReconcilerStep {
        const engines = observeEngines(view, readings);
        const round = RoundPlanner.create(previousState, this.fence, this.limits, now);
        round.closeFinishedOrders(engines);
        const pools = poolStatesOf(view, engines.values());
        const waits = new Map<string, QuiescenceWait>();
        for (const pool of pools) {
            // A traffic move changes which engines count towards the floor, so other changes wait until the view contains
            // it.
            if (!round.planTrafficMoves(pool)) {
                round.planRoleChange(pool, waits);
                round.planUnloads(pool, waits);
            }
        }
        round.planLoads(pools, [...engines.values()]);
        return round.result(waits);
    }

    /** Records the result of sending an order. */
    recordSendResult(
        previousState: ReconcilerState,
        order: OpenOrder,
        { result, sentAt }: SentOrder,
        now: number,
    ): ReconcilerState {
        const open = new Map(previousState.open);
        if (result === "started") {
            open.set(order.engine, { ...order, phase: "started", readableAt: now });
            return { ...previousState, open };
        }
        if (result === "unknown") {
            // The order may still be in transit. Only a reading after the order timeout proves whether it took effect.
            // The timeout counts from sending and not from the order's creation, because it is first recorded in the
            // audit trail.
            open.set(order.engine, { ...order, phase: "uncertain", readableAt: sentAt + this.limits.orderTimeout });
            return { ...previousState, open };
        }
        open.delete(order.engine);
        const hasFailed = result === "refused" || result === "failed";
        const retries = hasFailed ? withRetry(previousState.retries, order, this.limits, now) : previousState.retries;
        return { ...previousState, open, retries };
    }
}

/** Collects the actions of one step. */
class RoundPlanner {
    private readonly actions: ReconcilerAction[] = [];
    private readonly open: Map<string, OpenOrder>;
    private readonly activities = new Map<string, PoolActivity>();
    private retries: ReadonlyMap<string, OrderRetry>;
    private issuedOrders: number;

    private constructor(
        private readonly previousState: ReconcilerState,
        private readonly fence: number,
        private readonly limits: OrderLimits,
        private readonly now: number,
    ) {
        this.open = new Map(previousState.open);
        this.retries = previousState.retries;
        this.issuedOrders = previousState.issuedOrders;
    }

    static create(previousState: ReconcilerState, fence: number, limits: OrderLimits, now: number): RoundPlanner {
        return new RoundPlanner(previousState, fence, limits, now);
    }

    /** Closes open orders whose outcome is proven by a reading. */
    closeFinishedOrders(engines: ReadonlyMap<string, ObservedEngine>): void {
        for (const open of this.previousState.open.values()) {
            const outcome = outcomeFromReading(open, engines.get(open.engine));
            if (outcome === undefined) {
                continue;
            }
            this.open.delete(open.engine);
            this.actions.push({ kind: "outcome", open, outcome });
            if (outcome === "failed") {
                this.retries = withRetry(this.retries, open, this.limits, this.now);
            }
            if (outcome === "done") {
                this.retries = new Map([...this.retries].filter(([key]) => key !== retryKey(open.engine, open.order)));
            }
        }
    }

    /** Adds the required traffic moves and returns whether there are any. */
    planTrafficMoves(pool: PoolState): boolean {
        const moves = requiredMoves(pool);
        this.actions.push(...moves.map(move => ({ kind: "move", ...move }) as const));
        return moves.length > 0;
    }

    planRoleChange(pool: PoolState, waits: Map<string, QuiescenceWait>): void {
        const { drains, change } = requiredRoleChange(pool);
        for (const { engine, draining, cause } of drains) {
            const { id, incarnation } = engine.announcement;
            if (!this.open.has(id)) {
                this.actions.push({ kind: "drain", engine: id, incarnation, draining, cause });
            }
        }
        if (change !== undefined) {
            const isIdle = change.engine.reading?.state.active.length === 0;
            const wait = this.trackQuiescence(`drain/${change.engine.announcement.id}`, change.engine, pool, waits);
            if (isIdle && isQuiescent(wait)) {
                this.issueOrder(change);
            }
        }
    }

    planUnloads(pool: PoolState, waits: Map<string, QuiescenceWait>): void {
        for (const requiredUnload of requiredUnloads(pool)) {
            const key = `${requiredUnload.engine.announcement.id}/${describeOrder(requiredUnload.order)}`;
            if (isQuiescent(this.trackQuiescence(key, requiredUnload.engine, pool, waits))) {
                this.issueOrder(requiredUnload);
            }
        }
    }

    /** Loads of all pools read from the same weight store, so that more concurrent loads would only delay each other. */
    planLoads(pools: readonly PoolState[], engines: readonly ObservedEngine[]): void {
        const loading = new Set(
            engines.filter(({ reading }) => reading?.state.models.some(isLoading)).map(({ announcement }) =>
                announcement.id
            ),
        );
        for (const { engine, order } of this.open.values()) {
            if (order.action === "load") {
                loading.add(engine);
            }
        }
        for (const requiredLoad of pools.flatMap(requiredLoads)) {
            if (loading.size >= this.limits.concurrentLoads) {
                return;
            }
            const { id } = requiredLoad.engine.announcement;
            if (!loading.has(id) && this.issueOrder(requiredLoad)) {
                loading.add(id);
            }
        }
    }

    result(waits: ReadonlyMap<string, QuiescenceWait>): ReconcilerStep {
        const state = { open: this.open, quiescence: waits, retries: this.retries, issuedOrders: this.issuedOrders };
        return { state, actions: this.actions };
    }

    private trackQuiescence(
        key: string,
        engine: ObservedEngine,
        pool: PoolState,
        waits: Map<string, QuiescenceWait>,
    ): QuiescenceWait {
        const activity = this.activityOf(pool);
        const wait = advanceQuiescence(
            this.previousState.quiescence.get(key),
            engine,
            activity,
            this.now,
            this.limits.settle,
        );
        waits.set(key, wait);
        return wait;
    }

    private activityOf({ name, engines }: PoolState): PoolActivity {
        const activity = this.activities.get(name) ?? PoolActivity.create(engines);
        this.activities.set(name, activity);
        return activity;
    }

    private issueOrder({ engine, order, cause }: RequiredOrder): boolean {
        const { id, incarnation } = engine.announcement;
        const retryAt = this.retries.get(retryKey(id, order))?.retryAt ?? 0;
        if (this.open.has(id) || this.now < retryAt) {
            return false;
        }
        this.issuedOrders += 1;
        const open: OpenOrder = {
            orderId: `${this.fence}/${this.issuedOrders}`,
            engine: id,
            incarnation,
            order,
            cause,
            phase: "sent",
            readableAt: Number.POSITIVE_INFINITY,
        };
        this.open.set(id, open);
        this.actions.push({ kind: "order", open });
        return true;
    }
}

function observeEngines(view: View, readings: ReadonlyMap<string, EngineReading>): Map<string, ObservedEngine> {
    const engines = new Map<string, ObservedEngine>();
    for (const id of Object.keys(view.backends).sort()) {
        const { announcement, state } = view.backends[id]!;
        if (announcement.role === "service" || (state !== "ready" && state !== "draining")) {
            continue;
        }
        const reading = readings.get(id);
        const isCurrent = reading?.state.id === id && reading.state.incarnation === announcement.incarnation;
        engines.set(id, { announcement, state, reading: isCurrent ? reading : undefined });
    }
    return engines;
}

function poolStatesOf(view: View, engines: Iterable<ObservedEngine>): PoolState[] {
    const byPool = new Map<string, ObservedEngine[]>();
    for (const engine of engines) {
        const { pool } = engine.announcement;
        byPool.set(pool, [...byPool.get(pool) ?? [], engine]);
    }
    return Object.entries(view.configuration.declaration.pools).map(([name, declared]) => {
        const engines = byPool.get(name) ?? [];
        const named = view.served?.[name] ?? {};
        return { name, declared, engines, named, served: servedVersions(engines, declared, named) };
    });
}

function isLoading({ phase, loadingAdapters }: EngineState["models"][number]): boolean {
    return phase === "loading" || loadingAdapters.length > 0;
}

function retryKey(engine: string, order: Order): string {
    return `${engine}/${describeOrder(order)}`;
}

function withRetry(
    retries: ReadonlyMap<string, OrderRetry>,
    { engine, order }: OpenOrder,
    limits: OrderLimits,
    now: number,
): ReadonlyMap<string, OrderRetry> {
    const key = retryKey(engine, order);
    const count = (retries.get(key)?.count ?? 0) + 1;
    const delay = limits.retryPause * 2 ** Math.min(count - 1, maxRetryDoublings);
    return new Map(retries).set(key, { count, retryAt: now + delay });
}
