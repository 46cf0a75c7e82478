import { type RetryBudgetRules, ServiceRetryBudget } from "../../coordination/index.js";
import type { Clock, Metrics } from "../../utils/index.js";

/** Cause of a request that isn't sent again for lack of a retry. */
export const noRetryLeft = "no retry is left in the allowance";

/** Dependencies of the allowance. */
export type RetryAllowanceOptions = {
    readonly rules: RetryBudgetRules;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Upper bound of the number of gateways that share the allowance. */
    readonly maxGateways: () => number;
    /** Borrows a retry from the leader, beyond this gateway's own part. */
    readonly borrow: (service: string) => Promise<boolean>;
};

/** The retry allowance of each service: this gateway's own part first, then retries that the leader lends. */
export class RetryAllowance {
    private readonly budgets = new Map<string, ServiceRetryBudget>();
    private readonly startedAt: number;

    private constructor(private readonly options: RetryAllowanceOptions) {
        this.startedAt = options.clock.monotonic();
    }

    static create(options: RetryAllowanceOptions): RetryAllowance {
        return new RetryAllowance(options);
    }

    /** Counts a request of the service. */
    recordRequest(service: string): void {
        this.budget(service).recordRequest(this.now());
    }

    /** Takes one retry; returns false if none is available. */
    async takeRetry(service: string): Promise<boolean> {
        const { maxGateways, borrow } = this.options;
        if (this.budget(service).takeRetry(this.now(), maxGateways())) {
            this.count("own");
            return true;
        }
        const isLent = await borrow(service);
        this.count(isLent ? "lent" : "refused");
        return isLent;
    }

    /** Returns a retry that didn't reach a server. A borrowed one is added to this gateway's part, not returned to the leader. */
    returnRetry(service: string): void {
        this.count("returned");
        this.budget(service).returnRetry(this.now());
    }

    private count(outcome: "own" | "lent" | "refused" | "returned"): void {
        this.options.metrics.count("basilpaddle_retries_total", { outcome });
    }

    private budget(service: string): ServiceRetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = ServiceRetryBudget.create(this.options.rules, this.startedAt);
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
