/** Labels of a metric. Their values come from bounded sets such as pools, codes or reasons, never from keys, prompts or callers. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Sink for the daemon's metrics. Names follow the Prometheus conventions, with the unit as a suffix. */
export abstract class Metrics {
    /** Increments a counter. */
    abstract count(name: string, labels?: MetricLabels, amount?: number): void;

    /** Sets a gauge. */
    abstract gauge(name: string, value: number, labels?: MetricLabels): void;

    /** Records a value in a histogram. */
    abstract observe(name: string, value: number, labels?: MetricLabels): void;
}

/** Discards all metrics; for tests and one-shot commands. */
export class SilentMetrics extends Metrics {
    static create(): SilentMetrics {
        return new SilentMetrics();
    }

    override count(): void {}

    override gauge(): void {}

    override observe(): void {}
}
