import { expect } from "chai";
import { droppedCounterName, RecordedMetrics, seriesLimit } from "../recordedMetrics.js";

describe("recorded metrics", () => {
    it("are written in the Prometheus text format", () => {
        const metrics = RecordedMetrics.create();
        metrics.count("requests_total", { pool: "a", code: "x" });
        metrics.count("requests_total", { code: "x", pool: "a" }, 2);
        metrics.gauge("slots", 7);
        metrics.observe("first_token_milliseconds", 3);
        metrics.observe("first_token_milliseconds", 700);
        metrics.observe("first_token_milliseconds", 900_000);
        const lines = metrics.text().split("\n");
        expect(lines).to.include("# TYPE requests_total counter");
        expect(lines).to.include("requests_total{code=\"x\",pool=\"a\"} 3");
        expect(lines).to.include("slots 7");
        expect(lines).to.include("first_token_milliseconds_bucket{le=\"2\"} 0");
        expect(lines).to.include("first_token_milliseconds_bucket{le=\"5\"} 1");
        expect(lines).to.include("first_token_milliseconds_bucket{le=\"1000\"} 2");
        expect(lines).to.include("first_token_milliseconds_bucket{le=\"300000\"} 2");
        expect(lines).to.include("first_token_milliseconds_bucket{le=\"+Inf\"} 3");
        expect(lines).to.include("first_token_milliseconds_sum 900703");
        expect(lines).to.include("first_token_milliseconds_count 3");
    });

    it("escape special characters in label values", () => {
        const metrics = RecordedMetrics.create();
        metrics.count("odd_total", { value: "a\"b\\c\nd" });
        expect(metrics.text()).to.include("odd_total{value=\"a\\\"b\\\\c\\nd\"} 1");
    });

    it("limit the number of series and count dropped values", () => {
        // Each distinct label value creates a series: a metric labelled with caller input would grow a daemon's memory for
        // weeks if the number of series weren't limited.
        const metrics = RecordedMetrics.create();
        for (let word = 0; word < seriesLimit + 5; word++) {
            metrics.count("words_total", { word: String(word) });
        }
        metrics.observe("odd_milliseconds", Number.NaN);
        expect(metrics.text()).to.include(`${droppedCounterName}{metric="words_total"} 5`);
        expect(metrics.text()).to.include(`${droppedCounterName}{metric="odd_milliseconds"} 1`);
        expect(metrics.text().split("\n").filter(line => line.startsWith("words_total{"))).to.have.length(seriesLimit);
    });
});
