/** Interval between two samples. */
const sampleIntervalMilliseconds = 60_000;

type Sample = { readonly applied: number; readonly at: number; };

/**
 * Samples the applied log index over time, to find the index up to which entries are older than a retention time on this
 * daemon's monotonic clock. By wall clocks, a leader whose clock is hours ahead would delete run records too early, and a
 * run that may happen only once would happen twice. Time counts from the daemon's start: a restart makes records live
 * longer, never shorter.
 */
export class AppliedIndexHistory {
    /** At most one sample per interval of the retention time, plus two: the newest expired one, and the newest of all. */
    private samples: Sample[] = [];

    private constructor(private readonly retentionMilliseconds: number) {}

    /** Keeps samples for the given retention time in monotonic milliseconds. */
    static create(retentionMilliseconds: number): AppliedIndexHistory {
        return new AppliedIndexHistory(retentionMilliseconds);
    }

    /** Records the index up to which the log is applied now. */
    record(applied: number, now: number): void {
        const last = this.samples.at(-1);
        if (last !== undefined && now - last.at < sampleIntervalMilliseconds) {
            return;
        }
        this.samples.push({ applied, at: now });
        const lastExpired = this.samples.findLastIndex(({ at }) => now - at >= this.retentionMilliseconds);
        this.samples = this.samples.slice(Math.max(0, lastExpired));
    }

    /** The index that had been applied one retention time ago; undefined while no sample is that old. */
    appliedBeforeRetention(now: number): number | undefined {
        return this.samples.findLast(({ at }) => now - at >= this.retentionMilliseconds)?.applied;
    }

    /** Number of samples kept. */
    get size(): number {
        return this.samples.length;
    }
}
