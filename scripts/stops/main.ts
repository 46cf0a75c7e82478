// Plays planned stops of gateways as real processes, and prints what the callers got by the moment of their sending.
import { mkdir, writeFile } from "node:fs/promises";
import * as path from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { playRow, type RowResult, rows } from "./rows.js";
import { summaryLine, tableHead, tableLines } from "./table.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run stops -- --seed 1 --directories 3 --jobs 2")
    .option("seed", { type: "number", default: 1, describe: "draws when callers begin" })
    .option("directories", {
        type: "number",
        choices: [1, 3] as const,
        default: 3,
        describe: "directories of each row",
    })
    .option("jobs", { type: "number", default: 2, describe: "rows in parallel" })
    .option("rows", { type: "string", default: "", describe: "plays only rows whose name contains it" })
    .option("logs", { type: "string", default: "target/stops", describe: "folder for the logs of the processes" })
    .strict()
    .parse();

// A run that is stopped by a signal must not leave processes behind: an explicit exit kills them.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}

/** Output of the processes, and what became of each request and stop; times on the monotonic clock of this process. */
async function writeLogs({ row, outputs, exchanges, stops, runs }: RowResult): Promise<void> {
    const folder = path.join(options.logs, `${options.seed}-${row.name.replace(/\W+/g, "-")}`);
    await mkdir(folder, { recursive: true });
    const requests = exchanges.map(exchange => ({ ...exchange, run: runs.get(exchange.attempt) }));
    await writeFile(path.join(folder, "requests.json"), JSON.stringify({ stops, requests }));
    await Promise.all([...outputs].map(([name, text]) => writeFile(path.join(folder, `${name}.log`), text)));
}

const chosen = rows.filter(({ name }) => name.includes(options.rows));
const results = new Map<string, RowResult>();
const waiting = [...chosen];
async function playRows(): Promise<void> {
    for (let row = waiting.shift(); row !== undefined; row = waiting.shift()) {
        const result = await playRow(row, options.seed, options.directories);
        await writeLogs(result);
        results.set(row.name, result);
    }
}
await Promise.all(Array.from({ length: options.jobs }, () => playRows()));
const ordered = chosen.map(({ name }) => results.get(name)!);
console.log(
    [...tableHead, ...ordered.flatMap(tableLines), "", ...ordered.map(result => `- ${summaryLine(result)}`)].join("\n"),
);
