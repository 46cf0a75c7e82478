/**
 * Time after its last request for another engine after which a displaced attempt no longer counts as waiting for a slot.
 */
const retryWindowMilliseconds = 400;

/**
 * Attempts with a finished prefill whose decode engine rejected them because it was full. They get free slots before queued
 * requests do.
 */
export class DisplacedAttempts {
    private readonly requestedAt = new Map<string, number>();

    static create(): DisplacedAttempts {
        return new DisplacedAttempts();
    }

    /** Records that an attempt requested another decode engine and none had a free slot. */
    add(attempt: string, now: number): void {
        this.requestedAt.set(attempt, now);
    }

    remove(attempt: string): void {
        this.requestedAt.delete(attempt);
    }

    /** Number of attempts that still wait for a slot. */
    count(now: number): number {
        for (const [attempt, lastRequestAt] of this.requestedAt) {
            if (now - lastRequestAt > retryWindowMilliseconds) {
                this.requestedAt.delete(attempt);
            }
        }
        return this.requestedAt.size;
    }
}
