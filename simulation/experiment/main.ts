// Simulates days with many seeds under variants of the placement tuning, and reports how their outcomes differ.
import { writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type Finding, formatFinding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { dayFile, dayNames, readDay } from "../places/day.js";
import { type Experiment, type Measure, measures, runExperiment } from "./experiment.js";
import { reportPage } from "./report.js";
import { tableOf } from "./table.js";
import { ThreadRunner } from "./taskRunner.js";
import { readVariants, unchangedVariant, type Variant } from "./variant.js";

const invalidFileExitCode = 2;
/** Half of the processors, since other measurements may run on the same machine. */
const defaultThreads = Math.max(1, Math.floor(availableParallelism() / 2));

const options = await yargs(hideBin(process.argv))
    .usage("npm run experiment -- --variants FILE --days celeste-large large-crashes --seeds 20")
    .option("days", {
        type: "string",
        array: true,
        default: [...dayNames()],
        describe: "names of bundled days, or files",
    })
    .option("variants", { type: "string", describe: "JSON file of variants; default: only the product's tuning" })
    .option("seeds", { type: "number", default: 10, describe: "number of seeds for each day and variant" })
    .option("first", { type: "number", default: 1, describe: "first seed" })
    .option("measure", { choices: measures, default: "worth" as Measure, describe: "metric shown in the table" })
    .option("threads", { type: "number", default: defaultThreads, describe: "number of threads" })
    .option("output", { type: "string", describe: "JSON file to write all results to" })
    .option("report", { type: "string", describe: "HTML file to write plots and tables to" })
    .check(({ seeds, threads }) => {
        if (!Number.isInteger(seeds) || seeds < 1 || !Number.isInteger(threads) || threads < 1) {
            throw new Error("--seeds and --threads must be positive integers");
        }
        return true;
    })
    .epilogue(`Exit codes: 0 success, 1 error, ${invalidFileExitCode} invalid file.`)
    .strict()
    .parse();

/** Prints the findings about an invalid file and exits. */
function exitWithFindings(findings: readonly Finding[]): never {
    findings.forEach(finding => console.error(formatFinding(finding)));
    process.exit(invalidFileExitCode);
}

const days = options.days.map(name => {
    return readDay(dayFile(name)).caseOf({ Left: exitWithFindings, Right: day => ({ name, day }) });
});
const variants: readonly Variant[] = options.variants === undefined
    ? [unchangedVariant]
    : readVariants(options.variants).caseOf({ Left: exitWithFindings, Right: read => read });
const experiment: Experiment = {
    days,
    variants,
    seeds: Array.from({ length: options.seeds }, (_, number) => options.first + number),
};

const totalTasks = days.length * variants.length * options.seeds;
let completedTasks = 0;
const comparisons = await runExperiment(experiment, ThreadRunner.create(options.threads), () => {
    completedTasks += 1;
    if (process.stderr.isTTY) {
        process.stderr.write(`\r${completedTasks} of ${totalTasks} simulations done`);
    }
});
if (process.stderr.isTTY) {
    process.stderr.write("\n");
}
tableOf(comparisons, options.measure).forEach(line => console.log(line));
if (options.report !== undefined) {
    writeFileSync(options.report, await reportPage(comparisons, experiment.seeds));
}
if (options.output !== undefined) {
    writeFileSync(
        options.output,
        `${JSON.stringify({ seeds: experiment.seeds, variants, comparisons }, undefined, 4)}\n`,
    );
}
