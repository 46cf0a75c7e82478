/** The work that one attempt caused on an engine: numbers of calls and tokens. */
export type AttemptRecord = {
    prefills: number;
    prefillTokens: number;
    imports: number;
    decodes: number;
    tokens: number;
    cancels: number;
};

/** Attempts that are kept; the oldest are dropped first. */
const maxAttempts = 100_000;

/** Counts the work that each attempt caused on an engine. */
export class AttemptRecords {
    private readonly attempts = new Map<string, AttemptRecord>();

    static create(): AttemptRecords {
        return new AttemptRecords();
    }

    of(attempt: string): AttemptRecord {
        const existing = this.attempts.get(attempt);
        if (existing !== undefined) {
            return existing;
        }
        const record: AttemptRecord = { prefills: 0, prefillTokens: 0, imports: 0, decodes: 0, tokens: 0, cancels: 0 };
        this.attempts.set(attempt, record);
        if (this.attempts.size > maxAttempts) {
            this.attempts.delete(this.attempts.keys().next().value!);
        }
        return record;
    }

    all(): Record<string, AttemptRecord> {
        return Object.fromEntries(this.attempts);
    }
}
