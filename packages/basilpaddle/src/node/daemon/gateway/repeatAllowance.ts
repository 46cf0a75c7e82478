import { RepeatBudget, type RepeatBudgetRules } from "../../coordination/index.js";
import type { Clock } from "../../utils/index.js";

/** What the allowance is drawn with. */
export type RepeatAllowanceOptions = {
    readonly rules: RepeatBudgetRules;
    readonly clock: Clock;
    /** Gateways that share the allowance: never fewer than there may be. */
    readonly sharers: () => number;
    /** Asks the leader for a repeat beyond this gateway's own part. */
    readonly borrow: (service: string) => Promise<boolean>;
};

/** The allowance for repeats of each service: this gateway's own part first, then what the leader lends. */
export class RepeatAllowance {
    private readonly budgets = new Map<string, RepeatBudget>();
    /** What the leader lent, for the next leader to know. */
    private readonly loans = new Map<string, RepeatBudget>();

    private constructor(private readonly options: RepeatAllowanceOptions) {}

    static create(options: RepeatAllowanceOptions): RepeatAllowance {
        return new RepeatAllowance(options);
    }

    /** Notes a request of the service. */
    request(service: string): void {
        this.budget(service).request(this.now());
    }

    /** Takes one repeat, or tells that none is to be had. */
    async take(service: string): Promise<boolean> {
        const { sharers, borrow, rules } = this.options;
        if (this.budget(service).take(this.now(), sharers())) {
            return true;
        }
        const granted = await borrow(service);
        if (granted) {
            const loans = this.loans.get(service) ?? RepeatBudget.create({ ...rules, slack: Number.POSITIVE_INFINITY });
            this.loans.set(service, loans);
            loans.take(this.now(), 1);
        }
        return granted;
    }

    /** Repeats that were borrowed within the last window, by service. */
    borrowed(): { readonly service: string; readonly count: number; }[] {
        const loans = [...this.loans].map(([service, taken]) => ({ service, count: taken.taken(this.now()) }));
        return loans.filter(({ count }) => count > 0);
    }

    /** Gives a repeat back that reached no server after all; one that was lent stays here as the gateway's own. */
    giveBack(service: string): void {
        this.budget(service).giveBack(this.now());
    }

    private budget(service: string): RepeatBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = RepeatBudget.create(this.options.rules);
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
