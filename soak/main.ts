// Runs seeds of the fault soak, several in parallel, and writes the logs of runs that violated an invariant.
import { mkdir, writeFile } from "node:fs/promises";
import * as path from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createPlan } from "./plan.js";
import { runSoak, type SoakReport } from "./run.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run soak -- --seeds 50 --first 1 --jobs 3")
    .option("seeds", { type: "number", default: 5, describe: "number of seeds to run" })
    .option("first", { type: "number", describe: "first seed; derived from the current time by default" })
    .option("jobs", { type: "number", default: 3, describe: "number of runs in parallel" })
    .option("seconds", { type: "number", describe: "seconds during which faults are injected" })
    .option("gateways", { type: "number", describe: "gateways of each run; derived from the seed by default" })
    .option("directories", { type: "number", describe: "directories of each run; derived from the seed by default" })
    .option("departures", {
        type: "boolean",
        default: true,
        describe: "whether backend servers leave in series; without, a seed's plan is as it was before they did",
    })
    .option("versions", {
        type: "boolean",
        describe: "whether they have several software versions, and callers resume streams; as departures by default",
    })
    .option("kept", { type: "number", default: 8, describe: "callers that keep their connection until it closes" })
    .option("standstills", { type: "number", default: 0, describe: "standstills of gateways, beside the other faults" })
    .option("logs", { type: "string", default: "target/soak", describe: "folder for the logs of failed runs" })
    .strict()
    .parse();

// A run that is stopped by a signal must not leave daemon processes behind. An explicit exit runs the exit handlers, which
// kill them.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}

const first = options.first ?? Math.floor(Date.now() / 1_000) % 1_000_000;
const { seconds, gateways, directories, departures, versions, kept, standstills } = options;
const size = {
    departures,
    keptCallers: kept,
    standstills,
    ...versions === undefined ? {} : { versions },
    ...seconds === undefined ? {} : { seconds },
    ...gateways === undefined ? {} : { gateways },
    ...directories === undefined ? {} : { directories },
};

async function writeLogs(report: SoakReport): Promise<string> {
    const folder = path.join(options.logs, String(report.seed));
    await mkdir(folder, { recursive: true });
    await writeFile(path.join(folder, "faults.txt"), report.faults.join("\n"));
    await writeFile(path.join(folder, "violations.json"), JSON.stringify(report.violations, undefined, 4));
    for (const [name, log] of report.logs) {
        await writeFile(path.join(folder, `${name}.log`), log);
    }
    return folder;
}

async function runSeed(seed: number): Promise<boolean> {
    const report = await runSoak(createPlan(seed, size));
    const { violations, requests, ends, cuts, streams, faults } = report;
    const [endCounts, cutCounts, streamCounts] = [ends, cuts, streams].map(counts => JSON.stringify(counts));
    const summary = `${requests} requests ${endCounts} ${cutCounts}, streams ${streamCounts}, ${faults.length} faults`;
    if (violations.length === 0) {
        console.log(`seed ${seed}: kept; ${summary}`);
        return true;
    }
    console.log(`seed ${seed}: BROKEN; ${summary}; logs in ${await writeLogs(report)}`);
    violations.slice(0, 8).forEach(({ invariant, what }) => console.log(`    ${invariant}: ${what}`));
    return false;
}

let next = first;
let failedSeeds = 0;
async function runSeeds(): Promise<void> {
    while (next < first + options.seeds) {
        const seed = next++;
        try {
            const isKept = await runSeed(seed);
            failedSeeds += isKept ? 0 : 1;
        }
        catch (error) {
            failedSeeds += 1;
            console.log(`seed ${seed}: FAILED`, error);
        }
    }
}

await Promise.all(Array.from({ length: options.jobs }, () => runSeeds()));
console.log(
    `${options.seeds} seeds from ${first}: ${options.seeds - failedSeeds} kept every invariant, ${failedSeeds} didn't`,
);
process.exitCode = failedSeeds === 0 ? 0 : 1;
