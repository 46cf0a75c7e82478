import { type RetryBudgetRules, ServiceRetryBudget } from "../../coordination/index.js";
import type { Clock } from "../../utils/index.js";

/** Dependencies of the allowance. */
export type RetryAllowanceOptions = {
    readonly rules: RetryBudgetRules;
    readonly clock: Clock;
    /** Upper bound of the number of gateways that share the allowance. */
    readonly maxGateways: () => number;
    /** Borrows a retry from the leader, beyond this gateway's own share. */
    readonly borrow: (service: string) => Promise<boolean>;
};

/** The retry allowance of each service: this gateway's own share first, then retries that the leader lends. */
export class RetryAllowance {
    private readonly budgets = new Map<string, ServiceRetryBudget>();
    /** Retries that the leader lent, to be reported to the next leader. */
    private readonly loans = new Map<string, ServiceRetryBudget>();

    private constructor(private readonly options: RetryAllowanceOptions) {}

    static create(options: RetryAllowanceOptions): RetryAllowance {
        return new RetryAllowance(options);
    }

    /** Counts a request of the service. */
    recordRequest(service: string): void {
        this.budget(service).recordRequest(this.now());
    }

    /** Takes one retry; returns false if none is available. */
    async takeRetry(service: string): Promise<boolean> {
        const { maxGateways, borrow, rules } = this.options;
        if (this.budget(service).takeRetry(this.now(), maxGateways())) {
            return true;
        }
        const granted = await borrow(service);
        if (granted) {
            const loans = this.loans.get(service)
                ?? ServiceRetryBudget.create({ ...rules, slack: Number.POSITIVE_INFINITY });
            this.loans.set(service, loans);
            loans.takeRetry(this.now(), 1);
        }
        return granted;
    }

    /** Number of retries borrowed within the last window, by service. */
    borrowed(): { readonly service: string; readonly count: number; }[] {
        const loans = [...this.loans].map(([service, budget]) => ({ service, count: budget.usedRetries(this.now()) }));
        return loans.filter(({ count }) => count > 0);
    }

    /** Returns a retry that didn't reach a server. A borrowed one is added to this gateway's share, not returned to the leader. */
    returnRetry(service: string): void {
        this.budget(service).returnRetry(this.now());
    }

    private budget(service: string): ServiceRetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = ServiceRetryBudget.create(this.options.rules);
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
