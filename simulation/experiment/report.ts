import * as vega from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { type Comparison, type Measure, measures } from "./experiment.js";
import { formatDifference, formatMean } from "./table.js";

/** Width of a plot and height of one of its rows, in pixels. */
const plotWidth = 420;
const rowHeight = 18;

/** Renders an experiment as a self-contained HTML page, which needs no network: a plot and a table for each metric. */
export async function reportPage(comparisons: readonly Comparison[], seeds: readonly number[]): Promise<string> {
    const sections = await Promise.all(measures.map(async measure => {
        const rows = comparisons.filter(comparison => comparison.measure === measure);
        return `<section><h2>${escapeHtml(measure)}</h2>${await plotSvg(rows, measure)}${tableHtml(rows)}</section>`;
    }));
    const [first, last] = [seeds[0], seeds.at(-1)];
    return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Variants on emulated days</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: left; }
tr.seen td { font-weight: bold; }
</style>
<h1>Variants on emulated days</h1>
<p>Seeds ${first} to ${last}, the same for each variant. Each point is the mean difference from the first variant, and each line its
95% confidence interval. In bold rows, the interval excludes zero.</p>
${sections.join("\n")}
</html>
`;
}

/** Plot of the differences of one metric as SVG; empty if there is only one variant. */
async function plotSvg(rows: readonly Comparison[], measure: Measure): Promise<string> {
    const values = rows.flatMap(({ day, variant, difference }) => {
        if (difference === undefined) {
            return [];
        }
        const [lower, upper] = difference.interval ?? [difference.mean, difference.mean];
        return [{ row: `${day}, ${variant}`, variant, mean: difference.mean, lower, upper }];
    });
    if (values.length === 0) {
        return "";
    }
    const y = { field: "row", type: "nominal", title: "", axis: { labelLimit: plotWidth } } as const;
    const color = { field: "variant", type: "nominal", title: "variant" } as const;
    const specification: TopLevelSpec = {
        width: plotWidth,
        height: { step: rowHeight },
        data: { values },
        layer: [
            { mark: { type: "rule", color: "#888" }, encoding: { x: { datum: 0, type: "quantitative" } } },
            {
                mark: { type: "rule", strokeWidth: 2 },
                encoding: {
                    y,
                    color,
                    x: { field: "lower", type: "quantitative", title: `difference in ${measure}` },
                    x2: { field: "upper" },
                },
            },
            {
                mark: { type: "point", filled: true, size: 50, opacity: 1 },
                encoding: { y, color, x: { field: "mean", type: "quantitative" } },
            },
        ],
    };
    const view = new vega.View(vega.parse(compile(specification).spec), { renderer: "none" });
    try {
        return await view.toSVG();
    }
    finally {
        view.finalize();
    }
}

function tableHtml(rows: readonly Comparison[]): string {
    const bodyRows = rows.map(row => {
        const cells = [row.day, row.variant, formatMean(row), formatDifference(row)].map(cell =>
            `<td>${escapeHtml(cell)}</td>`
        );
        return `<tr${row.difference?.isSeen === true ? " class=\"seen\"" : ""}>${cells.join("")}</tr>`;
    });
    const headerCells = ["day", "variant", "mean", "difference"].map(name => `<th>${name}</th>`).join("");
    return `<table><tr>${headerCells}</tr>${bodyRows.join("")}</table>`;
}

function escapeHtml(text: string): string {
    return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}
