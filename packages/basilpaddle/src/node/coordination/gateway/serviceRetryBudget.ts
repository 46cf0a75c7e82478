/** Number of slices of the window; more would only refine its edges. */
const windowSlices = 10;
/**
 * Number of slices to count: those of a whole window and the current one. Without the extra slice, retries from the
 * beginning of a slice would expire up to one slice too early, and a window could contain twice the allowance.
 */
const countedSlices = windowSlices + 1;

/** Limits of the retries of a service's requests. */
export type RetryBudgetRules = {
    /** Retries allowed per request of the service. */
    readonly ratio: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** Retries allowed in a window in addition to the ratio, over all gateways. */
    readonly slack: number;
};

/** Fraction of the allowance that gateways use locally; the leader lends another fraction, and the rest is a margin. */
const localFraction = 0.7;
/**
 * Fraction of the slack that the leader lends, one retry at a time. Divided equally among hundreds of gateways, the slack is
 * a retry or two for each, but faults affect gateways unevenly: requests were refused at gateways that had used up their
 * share while others hadn't used any of theirs.
 */
const leaderFraction = 0.2;
/**
 * The same during a leader's first window. The previous leader may have lent its whole fraction in its last second, which
 * gateways haven't reported yet; together with the gateways' local shares, both leaders must not exceed the slack.
 */
const firstWindowLeaderFraction = 0.1;

/**
 * The share of a service's retry allowance that this gateway may use without asking the leader: the ratio of the requests
 * that it received itself, and its share of the slack. The retries of all gateways together then stay within the allowance
 * without a round trip per request. It limits retries during failures that affect all gateways at once, when unlimited
 * retries would multiply the load on the remaining backend servers.
 */
export class ServiceRetryBudget {
    private readonly requests = new Array<number>(countedSlices).fill(0);
    private readonly retries = new Array<number>(countedSlices).fill(0);
    private currentSlice = 0;

    private constructor(private readonly rules: RetryBudgetRules) {}

    static create(rules: RetryBudgetRules): ServiceRetryBudget {
        return new ServiceRetryBudget(rules);
    }

    /** Records a request of the service. */
    recordRequest(now: number): void {
        this.advanceWindow(now);
        this.requests[this.currentSlice % countedSlices]! += 1;
    }

    /** Takes a retry from this gateway's share of the allowance; returns false if none is left. */
    takeRetry(now: number, gateways: number): boolean {
        this.advanceWindow(now);
        const ownAllowance = sum(this.requests) * this.rules.ratio;
        const allowed = localFraction * (ownAllowance + this.rules.slack / Math.max(1, gateways));
        if (sum(this.retries) + 1 > allowed) {
            return false;
        }
        this.retries[this.currentSlice % countedSlices]! += 1;
        return true;
    }

    /** Number of retries used within the last window. */
    usedRetries(now: number): number {
        this.advanceWindow(now);
        return sum(this.retries);
    }

    /** Returns a retry to the allowance, since its request reached no server. */
    returnRetry(now: number): void {
        this.advanceWindow(now);
        const position = this.currentSlice % countedSlices;
        this.retries[position] = Math.max(0, this.retries[position]! - 1);
    }

    private advanceWindow(now: number): void {
        const current = Math.floor(now / (this.rules.window / windowSlices));
        if (this.currentSlice === 0 || current - this.currentSlice >= countedSlices) {
            this.requests.fill(0);
            this.retries.fill(0);
            this.currentSlice = current;
            return;
        }
        while (this.currentSlice < current) {
            this.currentSlice += 1;
            this.requests[this.currentSlice % countedSlices] = 0;
            this.retries[this.currentSlice % countedSlices] = 0;
        }
    }
}

/**
 * The retries that the leader lends to gateways that have used up their own share. Those that the previous leader lent
 * within the last window count as well: gateways report what they borrowed, and until all have, nothing is lent during the
 * first window.
 */
export class SharedRetryBudget {
    private readonly lentBudget: ServiceRetryBudget;

    private constructor(private readonly rules: RetryBudgetRules, private readonly startedAt: number) {
        this.lentBudget = ServiceRetryBudget.create({
            ratio: 0,
            window: rules.window,
            slack: rules.slack * leaderFraction / localFraction,
        });
    }

    /** `now`: when this leader's term began. */
    static create(rules: RetryBudgetRules, now: number): SharedRetryBudget {
        return new SharedRetryBudget(rules, now);
    }

    /**
     * Lends one retry; returns false if none is left. `borrowed`: number of retries that gateways report to have borrowed
     * within the last window, from any leader; undefined while reports are missing.
     */
    lend(now: number, borrowed: number | undefined): boolean {
        if (now - this.startedAt > this.rules.window) {
            return this.lentBudget.takeRetry(now, 1);
        }
        if (borrowed === undefined) {
            return false;
        }
        // Retries that this leader lent may not be reported yet either.
        const borrowedOrLent = Math.max(borrowed, this.lentBudget.usedRetries(now));
        return borrowedOrLent + 1 <= this.rules.slack * firstWindowLeaderFraction && this.lentBudget.takeRetry(now, 1);
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
