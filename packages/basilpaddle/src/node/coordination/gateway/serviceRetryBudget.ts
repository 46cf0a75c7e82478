import { TokenBucket } from "../allowance/index.js";

/** Number of slices of the window; more would only refine its edges. */
const windowSlices = 10;
/**
 * Number of slices to count: those of a whole window, the current one, and one for the time between taking a retry and its
 * arrival at a server, which may follow a prefill. Without the extra slices, retries from the beginning of a slice, or those
 * that arrive late, would expire too early, and a window could contain twice the allowance.
 */
const countedSlices = windowSlices + 2;

/** Limits of the retries of a service's requests. */
export type RetryBudgetRules = {
    /** Retries allowed per request of the service. */
    readonly ratio: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** Retries allowed in a window in addition to the ratio, over all gateways. */
    readonly slack: number;
};

/** Fraction of the ratio that a gateway uses for its own requests; the rest is a margin for requests that come in waves. */
const ownRequestsFraction = 0.7;
/**
 * Parts of the slack. Gateways use one without asking, in equal shares: all that there is while no leader answers. The leader
 * lends the others, one retry at a time: with hundreds of gateways an equal share is a retry or two, but faults affect gateways
 * unevenly, and requests were refused at gateways that had used up their share while others hadn't used any of theirs.
 * Together the parts must not exceed the slack, with a margin for shares that differ while some gateways are cut off.
 */
const ownShareFraction = 0.2;
const lentBurstFraction = 0.4;
const lentFlowFraction = 0.3;
const millisecondsInSecond = 1_000;

/**
 * The part of a service's retry allowance that this gateway may use without asking the leader: the ratio of the requests
 * that it received itself, and its share of the slack. The retries of all gateways together then stay within the allowance
 * without a round trip per request. It limits retries during failures that affect all gateways at once, when unlimited
 * retries would multiply the load on the remaining backend servers.
 */
export class ServiceRetryBudget {
    private readonly requests = new Array<number>(countedSlices).fill(0);
    private readonly retries = new Array<number>(countedSlices).fill(0);
    private currentSlice = 0;

    private constructor(private readonly rules: RetryBudgetRules, private readonly shareFrom: number) {}

    /**
     * `startedAt`: when this gateway's process started. Its share of the slack is available one window later: the process
     * before it may have used the whole share just before it ended, and nobody knows.
     */
    static create(rules: RetryBudgetRules, startedAt: number): ServiceRetryBudget {
        return new ServiceRetryBudget(rules, startedAt + countedSlices * rules.window / windowSlices);
    }

    /** Records a request of the service. */
    recordRequest(now: number): void {
        this.advanceWindow(now);
        this.requests[this.currentSlice % countedSlices]! += 1;
    }

    /** Takes a retry from this gateway's share of the allowance; returns false if none is left. */
    takeRetry(now: number, gateways: number): boolean {
        this.advanceWindow(now);
        const shareOfSlack = now < this.shareFrom ? 0 : ownShareFraction * this.rules.slack / Math.max(1, gateways);
        const allowed = ownRequestsFraction * this.rules.ratio * sum(this.requests) + shareOfSlack;
        if (sum(this.retries) + 1 > allowed) {
            return false;
        }
        this.retries[this.currentSlice % countedSlices]! += 1;
        return true;
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
 * The retries that the leader lends to gateways beyond their own part. A new leader begins with nothing to lend and gains it
 * with time: whatever its predecessors have lent, and to whom, all leaders together lend no more in a window than one.
 */
export class SharedRetryBudget {
    private constructor(private readonly bucket: TokenBucket, private readonly canLend: boolean) {}

    /** `now`: when this leader's term began. */
    static create({ slack, window }: RetryBudgetRules, now: number): SharedRetryBudget {
        const rate = slack * lentFlowFraction / window * millisecondsInSecond;
        const bucket = TokenBucket.create({ rate, burst: slack * lentBurstFraction }, 0, now);
        return new SharedRetryBudget(bucket, slack > 0);
    }

    /** Lends one retry; returns false if none is left. */
    lend(now: number): boolean {
        return this.canLend && this.bucket.take(1, now);
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
