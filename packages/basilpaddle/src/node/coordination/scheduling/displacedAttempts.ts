/** Milliseconds after which an attempt that was displaced and doesn't ask again needs no slot any more. */
const askedAgainWithin = 400;

/** Attempts with a finished prefill whose decode engine proved to be full. Slots that come free are theirs first. */
export class DisplacedAttempts {
    private readonly askedAt = new Map<string, number>();

    static create(): DisplacedAttempts {
        return new DisplacedAttempts();
    }

    /** Notes that an attempt has asked and got nothing. */
    add(attempt: string, now: number): void {
        this.askedAt.set(attempt, now);
    }

    remove(attempt: string): void {
        this.askedAt.delete(attempt);
    }

    /** How many still wait for a slot. */
    count(now: number): number {
        for (const [attempt, askedAt] of this.askedAt) {
            if (now - askedAt > askedAgainWithin) {
                this.askedAt.delete(attempt);
            }
        }
        return this.askedAt.size;
    }
}
