import * as hdr from "hdr-histogram-js";
import { type MetricLabels, Metrics } from "./metrics.js";

/** Maximum number of series per metric; a label with unbounded values would otherwise exhaust the daemon's memory. */
export const seriesLimit = 1_000;
/** Counts values dropped because the metric had too many series or the value wasn't a finite number. */
export const droppedCounterName = "basilpaddle_metrics_dropped_total";

/** Histograms store integers: thousandths of the metric's unit. */
const histogramScale = 1_000;
/** Upper bounds of the buckets, in the metric's unit. */
const bucketBounds = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000, 300_000];

type Distribution = { readonly counts: hdr.JsHistogram; sum: number; };
type Family =
    | { readonly kind: "counter" | "gauge"; readonly series: Map<string, number>; }
    | { readonly kind: "histogram"; readonly series: Map<string, Distribution>; };

/** Stores the daemon's metrics and renders them in the Prometheus text format. */
export class RecordedMetrics extends Metrics {
    private readonly families = new Map<string, Family>();
    private readonly collectors = new Set<() => void>();

    static create(): RecordedMetrics {
        return new RecordedMetrics();
    }

    override count(name: string, labels: MetricLabels = {}, amount: number = 1): void {
        const family = this.family(name, "counter");
        const key = this.series(family, name, labels, amount);
        if (key !== undefined && family.kind === "counter") {
            family.series.set(key, (family.series.get(key) ?? 0) + amount);
        }
    }

    override gauge(name: string, value: number, labels: MetricLabels = {}): void {
        const family = this.family(name, "gauge");
        const key = this.series(family, name, labels, value);
        if (key !== undefined && family.kind === "gauge") {
            family.series.set(key, value);
        }
    }

    override observe(name: string, value: number, labels: MetricLabels = {}): void {
        const family = this.family(name, "histogram");
        const key = this.series(family, name, labels, value);
        if (key === undefined || family.kind !== "histogram" || value < 0) {
            return;
        }
        let distribution = family.series.get(key);
        if (distribution === undefined) {
            distribution = { counts: createCounts(), sum: 0 };
            family.series.set(key, distribution);
        }
        distribution.counts.recordValue(Math.round(value * histogramScale));
        distribution.sum += value;
    }

    /** Registers a collector that is called before each rendering to set gauges; the returned function removes it. */
    onCollect(collector: () => void): () => void {
        this.collectors.add(collector);
        return () => this.collectors.delete(collector);
    }

    /** Renders all metrics in the Prometheus text format 0.0.4. */
    text(): string {
        for (const collector of this.collectors) {
            collector();
        }
        const lines: string[] = [];
        for (const [name, family] of [...this.families].sort(([one], [other]) => one < other ? -1 : 1)) {
            lines.push(`# TYPE ${name} ${family.kind}`);
            if (family.kind === "histogram") {
                family.series.forEach((distribution, labels) =>
                    lines.push(...histogramLines(name, labels, distribution))
                );
            }
            else {
                family.series.forEach((value, labels) => lines.push(`${name}${formatLabels(labels)} ${value}`));
            }
        }
        return `${lines.join("\n")}\n`;
    }

    private family(name: string, kind: Family["kind"]): Family {
        let family = this.families.get(name);
        if (family === undefined) {
            family = kind === "histogram" ? { kind, series: new Map() } : { kind, series: new Map() };
            this.families.set(name, family);
        }
        return family;
    }

    private series(family: Family, name: string, labels: MetricLabels, value: number): string | undefined {
        const key = labelText(labels);
        const seriesLimitReached = !family.series.has(key) && family.series.size >= seriesLimit;
        if (Number.isFinite(value) && !seriesLimitReached) {
            return key;
        }
        if (name !== droppedCounterName) {
            this.count(droppedCounterName, { metric: name });
        }
        return undefined;
    }
}

function createCounts(): hdr.JsHistogram {
    return hdr.build({
        bitBucketSize: 32,
        autoResize: true,
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000 * histogramScale,
        numberOfSignificantValueDigits: 2,
    }) as hdr.JsHistogram;
}

function histogramLines(name: string, labels: string, { counts, sum }: Distribution): string[] {
    const lines: string[] = [];
    let cumulativeCount = 0;
    let nextIndex = 0;
    for (const bound of bucketBounds) {
        const last = Math.min(counts.countsArrayIndex(bound * histogramScale), counts.countsArrayLength - 1);
        for (; nextIndex <= last; nextIndex++) {
            cumulativeCount += counts.getCountAtIndex(nextIndex);
        }
        lines.push(`${name}_bucket${formatLabels(labels, `le="${bound}"`)} ${cumulativeCount}`);
    }
    lines.push(`${name}_bucket${formatLabels(labels, "le=\"+Inf\"")} ${counts.totalCount}`);
    lines.push(`${name}_sum${formatLabels(labels)} ${sum}`);
    lines.push(`${name}_count${formatLabels(labels)} ${counts.totalCount}`);
    return lines;
}

function labelText(labels: MetricLabels): string {
    return Object.entries(labels).map(([name, value]) => `${name}="${escapeLabelValue(value)}"`).sort().join(",");
}

function formatLabels(...labels: string[]): string {
    const text = labels.filter(label => label !== "").join(",");
    return text === "" ? "" : `{${text}}`;
}

function escapeLabelValue(value: string): string {
    return value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", "\\n");
}
