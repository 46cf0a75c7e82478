import type { Either } from "purify-ts";
import type { Announcement, OrderAnswer } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import type { Engine, EngineFailure } from "../engine/index.js";
import type { EngineClients } from "../request/index.js";
import {
    describeOrder,
    emptyReconcilerState,
    type EngineReading,
    type OpenOrder,
    type OrderLimits,
    type OrderOutcome,
    type ReconcilerAction,
    type ReconcilerState,
} from "./orderState.js";
import { type OrderSendResult, Reconciler, type SentOrder } from "./reconciler.js";

/** Options of a term of the orders lease. */
export type OrderTermOptions = {
    readonly control: ControlClient;
    readonly engines: EngineClients;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly limits: OrderLimits;
    /** Whether this daemon may send orders with this term's fencing token now, according to the monotonic clock. */
    readonly mayOrder: () => boolean;
};

/** Timeout of a proposal to the control daemons. */
const proposalTimeoutMilliseconds = 1_000;
/** Number of attempts to record the outcome of an order in the audit trail; after that it is only logged. */
const maxAuditAttempts = 5;

/** The period in which a daemon holds the orders lease with one fencing token, after the initial delay. */
export class OrderTerm {
    private state: ReconcilerState = emptyReconcilerState();
    private readonly reconciler: Reconciler;

    private constructor(private readonly fence: number, private readonly options: OrderTermOptions) {
        this.reconciler = Reconciler.create(fence, options.limits);
    }

    static create(fence: number, options: OrderTermOptions): OrderTerm {
        return new OrderTerm(fence, options);
    }

    /** Orders whose outcome is not known yet. */
    openOrders(): readonly OpenOrder[] {
        return [...this.state.open.values()];
    }

    /** Reads the state of every ready or draining engine, then executes the actions of one reconciler step. */
    async round(): Promise<void> {
        const readings = await this.readEngines();
        if (!this.options.mayOrder()) {
            return;
        }
        const step = this.reconciler.step(this.state, this.options.control.view(), readings, this.now());
        this.state = step.state;
        await Promise.all(step.actions.map(action => this.execute(action)));
    }

    private async readEngines(): Promise<ReadonlyMap<string, EngineReading>> {
        const readings = new Map<string, EngineReading>();
        const engines = Object.values(this.options.control.view().backends)
            .filter(({ state, announcement }) =>
                announcement.role !== "service" && (state === "ready" || state === "draining")
            );
        await Promise.all(engines.map(async ({ announcement }) => {
            const askedAt = this.now();
            const state = await this.withEngine(announcement, engine => engine.state(this.answerTimeout()));
            state.ifRight(engineState => readings.set(announcement.id, { state: engineState, askedAt }));
        }));
        return readings;
    }

    private async execute(action: ReconcilerAction): Promise<void> {
        switch (action.kind) {
            case "order": {
                const sendResult = await this.sendOrder(action.open);
                this.state = this.reconciler.recordSendResult(this.state, action.open, sendResult, this.now());
                break;
            }
            case "drain":
                await this.proposeDrain(action);
                break;
            case "move":
                await this.proposeMove(action);
                break;
            case "outcome":
                await this.recordInAuditTrail(action.open, action.outcome);
                break;
        }
    }

    private async sendOrder(open: OpenOrder): Promise<SentOrder> {
        const backend = this.options.control.view().backends[open.engine];
        if (backend?.announcement.incarnation !== open.incarnation || !await this.recordInAuditTrail(open, "sent")) {
            return { result: "notSent", sentAt: this.now() };
        }
        // The process may have been frozen since the decision, and another daemon may be sending orders now: one engine
        // would receive two contradicting orders. The engine's client checks the clock again before it sends the first
        // byte, so that waiting for a connection can't extend the time between this check and the sending.
        if (!this.options.mayOrder()) {
            await this.recordInAuditTrail(open, "failed");
            return { result: "notSent", sentAt: this.now() };
        }
        const sentAt = this.now();
        const answer = await this.withEngine(
            backend.announcement,
            engine => engine.order(open.orderId, this.fence, open.order, this.answerTimeout()),
        );
        const result = sendResultOf(answer);
        this.options.logger.info("order", { ...open, result });
        if (result !== "started" && result !== "unknown") {
            await this.recordInAuditTrail(open, result === "notSent" ? "failed" : result);
        }
        return { result, sentAt };
    }

    private async proposeDrain(action: Extract<ReconcilerAction, { kind: "drain"; }>): Promise<void> {
        if (!this.options.mayOrder()) {
            return;
        }
        const { engine: id, incarnation, draining, cause } = action;
        this.options.logger.info(draining ? "draining" : "returning to placement", { id, incarnation, cause });
        const at = this.options.clock.wall();
        const command = { kind: "drainBackend", id, incarnation, draining, fence: this.fence, at } as const;
        // If the proposal remains undecided, the next round finds out from the view whether it was applied.
        await this.options.control.propose(command, proposalTimeoutMilliseconds);
    }

    private async proposeMove({ pool, model, version }: Extract<ReconcilerAction, { kind: "move"; }>): Promise<void> {
        if (!this.options.mayOrder()) {
            return;
        }
        this.options.logger.info("moving traffic to another version", { pool, model, version });
        const at = this.options.clock.wall();
        const command = { kind: "moveTraffic", pool, model, version, fence: this.fence, at } as const;
        await this.options.control.propose(command, proposalTimeoutMilliseconds);
    }

    /** Records the order in the audit trail and returns whether that succeeded. An order is sent only once it is recorded. */
    private async recordInAuditTrail(open: OpenOrder, outcome: OrderOutcome | "sent"): Promise<boolean> {
        const order = {
            fence: this.fence,
            backend: open.engine,
            incarnation: open.incarnation,
            action: `${describeOrder(open.order)} (order ${open.orderId}: ${open.cause})`.slice(0, 400),
            outcome,
            by: this.options.control.session().daemon,
        };
        const attempts = outcome === "sent" ? 1 : maxAuditAttempts;
        for (let attempt = 0; attempt < attempts; attempt++) {
            const at = this.options.clock.wall();
            const proposed = await this.options.control.propose(
                { kind: "recordOrder", order, at },
                proposalTimeoutMilliseconds,
            );
            if (proposed.isRight()) {
                return true;
            }
        }
        this.options.logger.warn("could not record an order in the audit trail", order);
        return false;
    }

    private async withEngine<T>({ url }: Announcement, call: (engine: Engine) => Promise<T>): Promise<T> {
        const engine = this.options.engines.acquireClient(url);
        try {
            return await call(engine);
        }
        finally {
            this.options.engines.releaseClient(url);
        }
    }

    /** Half of the order timeout. The other half covers an order that is still in transit when its answer times out. */
    private answerTimeout(): number {
        return this.options.limits.orderTimeout / 2;
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}

function sendResultOf(answer: Either<EngineFailure, OrderAnswer>): OrderSendResult {
    return answer.caseOf<OrderSendResult>({
        Left: ({ kind, code }) => {
            if (kind === "notRun") {
                return code === undefined ? "notSent" : "refused";
            }
            return kind === "failed" ? "failed" : "unknown";
        },
        Right: ({ outcome }) => outcome,
    });
}
