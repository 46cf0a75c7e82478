import { ordersLease, type Timing } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import type { Engine } from "../engine/index.js";
import { EngineClients } from "../request/index.js";
import type { OpenOrder, OrderLimits } from "./orderState.js";
import { OrderTerm } from "./orderTerm.js";

/** Options of the order service. */
export type OrderServiceOptions = {
    readonly control: ControlClient;
    /** Creates the client of an engine; the service owns it and closes it. */
    readonly engineAt: (url: string) => Engine;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly timing: Pick<Timing, "viewLease" | "clockDrift">;
    readonly limits?: Partial<Omit<OrderLimits, "settle">>;
    /** Milliseconds from the end of one round to the start of the next. @default 1000 */
    readonly interval?: number;
};

const defaultIntervalMilliseconds = 1_000;
const defaultLimits = { concurrentLoads: 2, orderTimeout: 4_000, retryPause: 1_000 };

/** Sends orders to engines only while the view names this daemon as the holder of the orders lease. */
export class OrderService {
    private readonly limits: OrderLimits;
    private readonly interval: number;
    private readonly engines: EngineClients;
    private readonly unsubscribe: () => void;
    private term: OrderTerm | undefined;
    private fence: number | undefined;
    private cancelTimer: (() => void) | undefined;
    private currentRound: Promise<void> = Promise.resolve();
    private closed = false;

    private constructor(private readonly options: OrderServiceOptions) {
        const settle = options.timing.viewLease * (1 + options.timing.clockDrift);
        this.limits = Object.freeze({ ...defaultLimits, ...options.limits, settle });
        this.interval = options.interval ?? defaultIntervalMilliseconds;
        this.engines = EngineClients.create(options.engineAt);
        this.unsubscribe = options.control.onView(() => this.handleViewChange());
        this.handleViewChange();
    }

    /** Watches the view and starts a term when this daemon acquires the orders lease. */
    static create(options: OrderServiceOptions): OrderService {
        return new OrderService(options);
    }

    /** Orders sent by this daemon whose outcome is not known yet. */
    openOrders(): readonly OpenOrder[] {
        return this.term?.openOrders() ?? [];
    }

    /**
     * Sends no further orders, and waits for those already sent: at most half the order timeout, plus their audit
     * records.
     */
    async close(): Promise<void> {
        this.closed = true;
        this.unsubscribe();
        this.cancelTimer?.();
        await this.currentRound;
        await this.engines.close();
    }

    private handleViewChange(): void {
        const fence = this.ownFence();
        if (fence === this.fence) {
            return;
        }
        this.fence = fence;
        this.term = undefined;
        this.cancelTimer?.();
        if (fence !== undefined) {
            this.beginTerm(fence);
        }
    }

    /**
     * Starts a term after a delay. The previous holder may consider its lease valid for one more view lease, and an order that
     * it sends at the end of that time may take effect up to one order timeout later. Engines that don't check fencing tokens
     * would execute the orders of both daemons, so not even their state is read before the delay has passed.
     */
    private beginTerm(fence: number): void {
        const term = OrderTerm.create(fence, {
            ...this.options,
            engines: this.engines,
            limits: this.limits,
            mayOrder: () => this.mayOrder(fence),
        });
        const initialDelay = this.limits.settle + this.limits.orderTimeout;
        this.options.logger.info("acquired the orders lease", { fence, firstOrderIn: initialDelay });
        this.term = term;
        this.schedule(term, initialDelay);
    }

    private schedule(term: OrderTerm, milliseconds: number): void {
        this.cancelTimer = this.options.clock.after(milliseconds, () => {
            this.currentRound = this.round(term);
        });
    }

    private async round(term: OrderTerm): Promise<void> {
        try {
            await term.round();
            await this.engines.closeUnused(this.currentEngineUrls());
        }
        catch (error) {
            // A failed round must not prevent later rounds: the pools would remain unchanged, and nothing would report it.
            this.options.logger.error("order round failed", error);
        }
        if (term === this.term && !this.closed) {
            this.schedule(term, this.interval);
        }
    }

    private currentEngineUrls(): ReadonlySet<string> {
        const backends = Object.values(this.options.control.view().backends);
        return new Set(backends.filter(({ state }) => state !== "gone").map(({ announcement }) => announcement.url));
    }

    private mayOrder(fence: number): boolean {
        return !this.closed && this.ownFence() === fence && this.options.control.mayStart();
    }

    private ownFence(): number | undefined {
        const lease = this.options.control.view().leases[ordersLease];
        const session = this.options.control.session();
        const isOwn = lease?.holder.daemon === session.daemon && lease.holder.incarnation === session.incarnation;
        return isOwn ? lease.fence : undefined;
    }
}
