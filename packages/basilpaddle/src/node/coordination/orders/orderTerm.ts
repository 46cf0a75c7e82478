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

/** Dependencies of a term of the orders lease. */
export type OrderTermParts = {
    readonly control: ControlClient;
    readonly engines: EngineClients;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly limits: OrderLimits;
    /** Whether this daemon may send orders under this term's fencing number now, by the monotonic clock. */
    readonly mayOrder: () => boolean;
};

/** Timeout of a proposal to the control daemons. */
const proposalTimeoutMilliseconds = 1_000;
/** Attempts to record the outcome of an order in the audit trail before it is only logged. */
const auditAttempts = 5;

/** The period in which a daemon holds the orders lease under one fencing number, after the initial wait. */
export class OrderTerm {
    private state: ReconcilerState = emptyReconcilerState();
    private readonly reconciler: Reconciler;

    private constructor(private readonly fence: number, private readonly parts: OrderTermParts) {
        this.reconciler = Reconciler.create(fence, parts.limits);
    }

    static create(fence: number, parts: OrderTermParts): OrderTerm {
        return new OrderTerm(fence, parts);
    }

    /** Orders whose outcome is not known yet. */
    openOrders(): readonly OpenOrder[] {
        return [...this.state.open.values()];
    }

    /** Reads the state of every ready or draining engine, then executes the actions of one reconciler step. */
    async round(): Promise<void> {
        const readings = await this.readEngines();
        if (!this.parts.mayOrder()) {
            return;
        }
        const step = this.reconciler.step(this.state, this.parts.control.view(), readings, this.now());
        this.state = step.state;
        await Promise.all(step.actions.map(action => this.execute(action)));
    }

    private async readEngines(): Promise<ReadonlyMap<string, EngineReading>> {
        const readings = new Map<string, EngineReading>();
        const engines = Object.values(this.parts.control.view().backends)
            .filter(({ state, announcement }) =>
                announcement.role !== "service" && (state === "ready" || state === "draining")
            );
        await Promise.all(engines.map(async ({ announcement }) => {
            const askedAt = this.now();
            const state = await this.withEngine(announcement, engine => engine.state(this.answerTimeout()));
            state.ifRight(read => readings.set(announcement.id, { state: read, askedAt }));
        }));
        return readings;
    }

    private async execute(action: ReconcilerAction): Promise<void> {
        switch (action.kind) {
            case "order": {
                const sent = await this.sendOrder(action.open);
                this.state = this.reconciler.recordSendResult(this.state, action.open, sent, this.now());
                break;
            }
            case "drain":
                await this.proposeDrain(action);
                break;
            case "move":
                await this.proposeMove(action);
                break;
            case "outcome":
                await this.audit(action.open, action.outcome);
                break;
        }
    }

    private async sendOrder(open: OpenOrder): Promise<SentOrder> {
        const backend = this.parts.control.view().backends[open.engine];
        if (backend?.announcement.incarnation !== open.incarnation || !await this.audit(open, "sent")) {
            return { result: "notSent", sentAt: this.now() };
        }
        // The process may have been frozen for long since the decision, and another daemon may be sending orders by now:
        // one engine would get two contradicting orders. The engine's client checks the clock again before it sends the
        // first byte, so that waiting for a connection can't extend the time between this check and the sending.
        if (!this.parts.mayOrder()) {
            await this.audit(open, "failed");
            return { result: "notSent", sentAt: this.now() };
        }
        const sentAt = this.now();
        const answer = await this.withEngine(
            backend.announcement,
            engine => engine.order(open.orderId, this.fence, open.order, this.answerTimeout()),
        );
        const result = sendResultOf(answer);
        this.parts.logger.info("order", { ...open, result });
        if (result !== "started" && result !== "unknown") {
            await this.audit(open, result === "notSent" ? "failed" : result);
        }
        return { result, sentAt };
    }

    private async proposeDrain(action: Extract<ReconcilerAction, { kind: "drain"; }>): Promise<void> {
        if (!this.parts.mayOrder()) {
            return;
        }
        const { engine: id, incarnation, draining, cause } = action;
        this.parts.logger.info(draining ? "draining" : "returning to placement", { id, incarnation, cause });
        const at = this.parts.clock.wall();
        const command = { kind: "drainBackend", id, incarnation, draining, fence: this.fence, at } as const;
        // If the proposal stays undecided, the next round sees in the view whether it was applied.
        await this.parts.control.propose(command, proposalTimeoutMilliseconds);
    }

    private async proposeMove({ pool, model, version }: Extract<ReconcilerAction, { kind: "move"; }>): Promise<void> {
        if (!this.parts.mayOrder()) {
            return;
        }
        this.parts.logger.info("moving traffic to another version", { pool, model, version });
        const at = this.parts.clock.wall();
        const command = { kind: "moveTraffic", pool, model, version, fence: this.fence, at } as const;
        await this.parts.control.propose(command, proposalTimeoutMilliseconds);
    }

    /** Records the order in the audit trail and returns whether that succeeded. An order is sent only once it is recorded. */
    private async audit(open: OpenOrder, outcome: OrderOutcome | "sent"): Promise<boolean> {
        const order = {
            fence: this.fence,
            backend: open.engine,
            incarnation: open.incarnation,
            action: `${describeOrder(open.order)} (order ${open.orderId}: ${open.cause})`.slice(0, 400),
            outcome,
            by: this.parts.control.session().daemon,
        };
        const attempts = outcome === "sent" ? 1 : auditAttempts;
        for (let attempt = 0; attempt < attempts; attempt++) {
            const at = this.parts.clock.wall();
            const proposed = await this.parts.control.propose(
                { kind: "recordOrder", order, at },
                proposalTimeoutMilliseconds,
            );
            if (proposed.isRight()) {
                return true;
            }
        }
        this.parts.logger.warn("could not record an order in the audit trail", order);
        return false;
    }

    private async withEngine<T>({ url }: Announcement, call: (engine: Engine) => Promise<T>): Promise<T> {
        const engine = this.parts.engines.acquireClient(url);
        try {
            return await call(engine);
        }
        finally {
            this.parts.engines.releaseClient(url);
        }
    }

    /** Half of the order timeout. The other half covers an order that is still in transit when waiting for its answer ends. */
    private answerTimeout(): number {
        return this.parts.limits.orderTimeout / 2;
    }

    private now(): number {
        return this.parts.clock.monotonic();
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
