/** The work that one attempt caused on an engine: numbers of calls and tokens. */
export type AttemptRan = {
    prefills: number;
    prefillTokens: number;
    imports: number;
    decodes: number;
    tokens: number;
    cancels: number;
};

/** Attempts that are kept; the oldest are dropped first. */
const mostAttempts = 100_000;

/** Counts the work that each attempt caused on an engine. */
export class Ran {
    private readonly attempts = new Map<string, AttemptRan>();

    static create(): Ran {
        return new Ran();
    }

    of(attempt: string): AttemptRan {
        const known = this.attempts.get(attempt);
        if (known !== undefined) {
            return known;
        }
        const ran: AttemptRan = { prefills: 0, prefillTokens: 0, imports: 0, decodes: 0, tokens: 0, cancels: 0 };
        this.attempts.set(attempt, ran);
        if (this.attempts.size > mostAttempts) {
            this.attempts.delete(this.attempts.keys().next().value!);
        }
        return ran;
    }

    all(): Record<string, AttemptRan> {
        return Object.fromEntries(this.attempts);
    }
}
