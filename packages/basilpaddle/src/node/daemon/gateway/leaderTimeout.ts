/** Milliseconds for the leader to answer, at least and at the most: it holds a question for 100 ms at the most. */
const leastTimeout = 250;
const mostTimeout = 700;
/** Times the slowest answer of late. */
const slownessFactor = 2;
/** Milliseconds in which the slowest answer counts half. */
const halfLife = 2_000;

/**
 * How long a question waits for the leader before its gateway places alone.
 *
 * Each gateway finds out by a request of its own that the leader's host is gone; among hundreds of gateways that is every
 * request of the first seconds. With 400 ms for the leader 18 of the 21 first events that were late on one such day had
 * waited so long, several of them twice. A leader that has just been elected answers late as well, though, while all
 * gateways come to it at once: with 250 ms at all times, gateways gave it up again and again for two seconds, and waited
 * up to 0.9 s in turns. So the timeout follows the slowest answers of late.
 */
export class LeaderTimeout {
    private slowest = 0;
    private seenAt = 0;

    static create(): LeaderTimeout {
        return new LeaderTimeout();
    }

    /** Notes how long an answer took. */
    answered(milliseconds: number, now: number): void {
        const slowest = this.current(now);
        if (milliseconds >= slowest) {
            this.slowest = milliseconds;
            this.seenAt = now;
        }
    }

    /** Milliseconds that the next question should wait. */
    timeout(now: number): number {
        return Math.min(mostTimeout, Math.max(leastTimeout, slownessFactor * this.current(now)));
    }

    /** Milliseconds for a question that nobody waits for: a slow answer to it says that the leader is there. */
    probeTimeout(): number {
        return mostTimeout;
    }

    private current(now: number): number {
        return this.slowest * 0.5 ** ((now - this.seenAt) / halfLife);
    }
}
