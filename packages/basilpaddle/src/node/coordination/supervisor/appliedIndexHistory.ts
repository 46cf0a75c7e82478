/** Interval between two samples. */
const sampleIntervalMilliseconds = 60_000;

type Sample = { readonly applied: number; readonly at: number; };

/**
 * Samples the applied log index over time, to find the index up to which entries are older than a retention time by this
 * daemon's monotonic clock. With wall clocks, a leader whose clock is hours ahead would delete run records too early, and a
 * request that may run only once could run twice. Time is measured from the daemon's start, so that a restart prolongs the
 * retention of records and never shortens it.
 */
export class AppliedIndexHistory {
    /** At most one sample per interval within the retention time, plus the newest one older than it and the latest one. */
    private samples: Sample[] = [];

    private constructor(private readonly retentionMilliseconds: number) {}

    /** `retentionMilliseconds`: age in monotonic milliseconds up to which samples are kept. */
    static create(retentionMilliseconds: number): AppliedIndexHistory {
        return new AppliedIndexHistory(retentionMilliseconds);
    }

    /** Records the index up to which the log is applied now. */
    record(applied: number, now: number): void {
        const latestSample = this.samples.at(-1);
        if (latestSample !== undefined && now - latestSample.at < sampleIntervalMilliseconds) {
            return;
        }
        this.samples.push({ applied, at: now });
        const newestExpired = this.samples.findLastIndex(({ at }) => now - at >= this.retentionMilliseconds);
        this.samples = this.samples.slice(Math.max(0, newestExpired));
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
