/** Time without another attempt to move after which a displaced attempt no longer counts as waiting for a slot. */
const retryWindowMilliseconds = 400;

/**
 * Attempts with a finished prefill whose decode engine turned out to be full. They have priority for slots that become
 * free.
 */
export class DisplacedAttempts {
    private readonly askedAt = new Map<string, number>();

    static create(): DisplacedAttempts {
        return new DisplacedAttempts();
    }

    /** Records that an attempt asked for another engine and got none. */
    add(attempt: string, now: number): void {
        this.askedAt.set(attempt, now);
    }

    remove(attempt: string): void {
        this.askedAt.delete(attempt);
    }

    /** Number of attempts that still wait for a slot. */
    count(now: number): number {
        for (const [attempt, askedAt] of this.askedAt) {
            if (now - askedAt > retryWindowMilliseconds) {
                this.askedAt.delete(attempt);
            }
        }
        return this.askedAt.size;
    }
}
