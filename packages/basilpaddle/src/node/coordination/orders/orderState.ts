import type { Announcement, EngineState, Order, View } from "../../protocol/index.js";

/** State that an engine reported, and the monotonic milliseconds at which it was requested. */
export type EngineReading = { readonly state: EngineState; readonly askedAt: number; };

/** Outcome of an order as recorded in the audit trail. */
export type OrderOutcome = "done" | "refused" | "failed" | "unknown";

/** An order whose outcome is not known yet. An engine has at most one. */
export type OpenOrder = {
    readonly orderId: string;
    readonly engine: string;
    readonly incarnation: number;
    readonly order: Order;
    readonly cause: string;
    /** `started`: the engine is executing it. `uncertain`: its answer was lost and the state has not been read since. */
    readonly phase: "sent" | "started" | "uncertain";
    /** Monotonic milliseconds. A reading that was requested earlier doesn't prove the outcome of the order. */
    readonly readableAt: number;
};

/** Progress of waiting until no attempt that started before a change of the view can still reach an engine. */
export type QuiescenceWait = {
    /** Monotonic milliseconds at which the change was first seen in the view. */
    readonly firstSeenAt: number;
    /** Attempts that must end first; undefined until every daemon must have applied the change. */
    readonly waitingFor: readonly AwaitedAttempt[] | undefined;
};

/** An attempt that must end, the engine where it was last seen, and the number of consecutive readings it was missing from. */
export type AwaitedAttempt = { readonly attempt: string; readonly engine: string; readonly missedReadings: number; };

/** Number of failures of an order, and the monotonic milliseconds before which it is not retried. */
export type OrderRetry = { readonly count: number; readonly retryAt: number; };

/** State of the reconciler between two steps. It is discarded with the lease; the next holder reads the engines instead. */
export type ReconcilerState = {
    /** By engine identifier. */
    readonly open: ReadonlyMap<string, OpenOrder>;
    /** By engine identifier, and the order or role change that waits for quiescence. */
    readonly quiescence: ReadonlyMap<string, QuiescenceWait>;
    /** By engine identifier and order. */
    readonly retries: ReadonlyMap<string, OrderRetry>;
    /** Number of orders issued so far in this term. */
    readonly issuedOrders: number;
};

/** An action that the reconciler requests. */
export type ReconcilerAction =
    | { readonly kind: "order"; readonly open: OpenOrder; }
    | {
        readonly kind: "drain";
        readonly engine: string;
        readonly incarnation: number;
        readonly draining: boolean;
        readonly cause: string;
    }
    | { readonly kind: "move"; readonly pool: string; readonly model: string; readonly version: string; }
    | { readonly kind: "outcome"; readonly open: OpenOrder; readonly outcome: OrderOutcome; };

/** Timing of orders in milliseconds, and the limit on concurrent loads from the weight store. */
export type OrderLimits = {
    /** Maximum number of concurrent loads over all pools. @default 2 */
    readonly concurrentLoads: number;
    /** Time after sending within which an order can take effect. Half of it is the timeout of its answer. @default 4000 */
    readonly orderTimeout: number;
    /** Maximum time for which a daemon may use an older view after a change: the view lease plus its clock drift. */
    readonly settle: number;
    /** Delay before the first retry of a refused or failed order; doubles per failure, up to 64 times. @default 1000 */
    readonly retryPause: number;
};

/** An engine as described by the view and by its own reading. */
export type ObservedEngine = {
    readonly announcement: Announcement;
    readonly state: View["backends"][string]["state"];
    /** Undefined if the reading of this round failed or came from another incarnation. */
    readonly reading: EngineReading | undefined;
};

/** The initial state, before the first step. */
export function emptyReconcilerState(): ReconcilerState {
    return { open: new Map(), quiescence: new Map(), retries: new Map(), issuedOrders: 0 };
}

/** Describes an order for the audit trail. */
export function describeOrder(order: Order): string {
    switch (order.action) {
        case "load":
            return `load ${[`${order.model}@${order.version}`, ...order.adapters].join("+")}`;
        case "unload":
            return `unload ${order.model}@${order.version}`;
        case "changeRole":
            return `changeRole ${order.role}`;
    }
}
