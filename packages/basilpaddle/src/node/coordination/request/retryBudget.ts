const depositPerRequest = 0.1;
const capacity = 10;

/**
 * Limits a daemon's retries to a tenth of the requests it receives, with a reserve of 10. Without the limit, a failure of
 * many engines would double the load on the others, which would then fail as well.
 */
export class RetryBudget {
    private tokens = capacity;

    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Credits the budget for one received request. */
    deposit(): void {
        this.tokens = Math.min(capacity, this.tokens + depositPerRequest);
    }

    /** Spends one retry. Returns false if none is left. */
    tryWithdraw(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
