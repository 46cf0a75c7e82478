/** Slices of the window; more would only make the edges finer. */
const windowSlices = 10;
/**
 * Slices that are counted: the one that is under way besides those of a whole window. Without it what was spent at the
 * beginning of a slice would be forgotten up to a slice too early, and some window would hold two allowances.
 */
const slices = windowSlices + 1;

/** What one gateway may spend on sending requests again. */
export type RepeatBudgetRules = {
    /** Repeats allowed for each request of the service. */
    readonly ratio: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** Repeats allowed in a window beyond the ratio, over all gateways. */
    readonly slack: number;
};

/** Part of the allowance that gateways spend alone; a second part is lent out by the leader, the rest is a margin. */
const margin = 0.7;
/**
 * Part of the slack that the leader lends out one by one. Equal parts of the slack are a repeat or two for each of
 * hundreds of gateways, and faults don't hit these alike: requests were turned away whose gateway's part was spent, beside others with theirs whole.
 */
const lentPart = 0.2;
/**
 * The same for a leader's first window: what the one before it lent in its last second isn't told yet, and may be all that
 * it had. With gateways' own parts, both leaders' together must not be more than the slack.
 */
const firstLentPart = 0.1;

/**
 * The part of a service's allowance for repeats that this gateway may spend alone, without asking anybody: the ratio
 * of the requests that it saw itself, and its part of the slack. Repeats of all gateways together then stay within the
 * allowance, without a round trip a request. Against failures that hit everyone at once: unlimited repeats multiply
 * the load on the backend servers that are left.
 */
export class RepeatBudget {
    private readonly requests = new Array<number>(slices).fill(0);
    private readonly repeats = new Array<number>(slices).fill(0);
    private slice = 0;

    private constructor(private readonly rules: RepeatBudgetRules) {}

    static create(rules: RepeatBudgetRules): RepeatBudget {
        return new RepeatBudget(rules);
    }

    /** Notes a request of the service. */
    request(now: number): void {
        this.turn(now);
        this.requests[this.slice % slices]! += 1;
    }

    /** Takes one repeat out of the allowance, or tells that none is left. */
    take(now: number, gateways: number): boolean {
        this.turn(now);
        const own = sum(this.requests) * this.rules.ratio;
        const allowed = margin * (own + this.rules.slack / Math.max(1, gateways));
        if (sum(this.repeats) + 1 > allowed) {
            return false;
        }
        this.repeats[this.slice % slices]! += 1;
        return true;
    }

    /** Repeats taken within the last window. */
    taken(now: number): number {
        this.turn(now);
        return sum(this.repeats);
    }

    /** Gives a repeat back that reached no server after all. */
    giveBack(now: number): void {
        this.turn(now);
        const position = this.slice % slices;
        this.repeats[position] = Math.max(0, this.repeats[position]! - 1);
    }

    private turn(now: number): void {
        const current = Math.floor(now / (this.rules.window / windowSlices));
        if (this.slice === 0 || current - this.slice >= slices) {
            this.requests.fill(0);
            this.repeats.fill(0);
            this.slice = current;
            return;
        }
        while (this.slice < current) {
            this.slice += 1;
            this.requests[this.slice % slices] = 0;
            this.repeats[this.slice % slices] = 0;
        }
    }
}

/**
 * The repeats that the leader lends to gateways whose own part is spent. What the leader before lent within the last
 * window counts too: gateways tell what they borrowed, and until all have, nothing is lent in the first window.
 */
export class SharedRepeatBudget {
    private readonly lent: RepeatBudget;

    private constructor(private readonly rules: RepeatBudgetRules, private readonly startedAt: number) {
        this.lent = RepeatBudget.create({ ratio: 0, window: rules.window, slack: rules.slack * lentPart / margin });
    }

    /** `now`: when this leader began. */
    static create(rules: RepeatBudgetRules, now: number): SharedRepeatBudget {
        return new SharedRepeatBudget(rules, now);
    }

    /**
     * Lends one repeat, or tells that none is left. `borrowed`: what gateways say that they borrowed within the last window,
     * whoever lent it; undefined while some haven't said it.
     */
    lend(now: number, borrowed: number | undefined): boolean {
        if (now - this.startedAt > this.rules.window) {
            return this.lent.take(now, 1);
        }
        if (borrowed === undefined) {
            return false;
        }
        // What this leader lent itself may not be told yet either.
        const known = Math.max(borrowed, this.lent.taken(now));
        return known + 1 <= this.rules.slack * firstLentPart && this.lent.take(now, 1);
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
