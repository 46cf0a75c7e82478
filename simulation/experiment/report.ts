import * as vega from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { type Comparison, type Measure, measures } from "./experiment.js";
import { differenceText, meanText } from "./table.js";

/** Pixels of a plot, and of one of its rows. */
const plotWidth = 420;
const rowHeight = 18;

/** Writes an experiment as one page that opens without a network: a plot and a table for each measure. */
export async function reportPage(comparisons: readonly Comparison[], seeds: readonly number[]): Promise<string> {
    const sections = await Promise.all(measures.map(async measure => {
        const rows = comparisons.filter(comparison => comparison.measure === measure);
        return `<section><h2>${escaped(measure)}</h2>${await plotOf(rows, measure)}${tableOf(rows)}</section>`;
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
<p>Seeds ${first} to ${last}, the same for each variant. A point is the mean of the differences to the first variant, a line
the interval that holds it with 95 in 100. Bold rows: a difference is seen.</p>
${sections.join("\n")}
</html>
`;
}

/** The differences of one measure as SVG; nothing where there is only one variant. */
async function plotOf(rows: readonly Comparison[], measure: Measure): Promise<string> {
    const values = rows.flatMap(({ day, variant, difference }) => {
        if (difference === undefined) {
            return [];
        }
        const [least, most] = difference.interval ?? [difference.mean, difference.mean];
        return [{ row: `${day}, ${variant}`, variant, mean: difference.mean, least, most }];
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
                    x: { field: "least", type: "quantitative", title: `difference in ${measure}` },
                    x2: { field: "most" },
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

function tableOf(rows: readonly Comparison[]): string {
    const lines = rows.map(row => {
        const cells = [row.day, row.variant, meanText(row), differenceText(row)].map(cell =>
            `<td>${escaped(cell)}</td>`
        );
        return `<tr${row.difference?.isSeen === true ? " class=\"seen\"" : ""}>${cells.join("")}</tr>`;
    });
    const head = ["day", "variant", "mean", "difference"].map(name => `<th>${name}</th>`).join("");
    return `<table><tr>${head}</tr>${lines.join("")}</table>`;
}

function escaped(text: string): string {
    return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}
