/** Bounds of the timeout; the leader itself holds a request for at most 100 ms before it answers. */
const minTimeoutMilliseconds = 250;
const maxTimeoutMilliseconds = 700;
/** The timeout as a multiple of the slowest recent answer. */
const slownessFactor = 2;
/** Half-life of the slowest answer's weight. */
const slownessHalfLifeMilliseconds = 2_000;

/**
 * How long a placement request waits for the leader before its gateway places locally.
 *
 * Each gateway detects by a request of its own that the leader's host failed; with hundreds of gateways that affects every
 * request of the first seconds, so the timeout is short. A newly elected leader is slow, since all gateways contact it at
 * once, and a timeout that is too short for it makes gateways consider it unresponsive repeatedly. So the timeout follows the
 * slowest recent answers.
 */
export class LeaderTimeout {
    private slowest = 0;
    private slowestAt = 0;

    static create(): LeaderTimeout {
        return new LeaderTimeout();
    }

    /** Records how long an answer took. */
    recordAnswer(milliseconds: number, now: number): void {
        const slowest = this.current(now);
        if (milliseconds >= slowest) {
            this.slowest = milliseconds;
            this.slowestAt = now;
        }
    }

    /** Timeout in milliseconds of the next placement request. */
    timeout(now: number): number {
        return Math.min(maxTimeoutMilliseconds, Math.max(minTimeoutMilliseconds, slownessFactor * this.current(now)));
    }

    /** Timeout in milliseconds of a probe. No request waits for it, and even a slow answer shows that the leader is up. */
    probeTimeout(): number {
        return maxTimeoutMilliseconds;
    }

    private current(now: number): number {
        return this.slowest * 0.5 ** ((now - this.slowestAt) / slownessHalfLifeMilliseconds);
    }
}
