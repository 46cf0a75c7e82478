// Plays variants of the placing on emulated days with many seeds, and tells what differs.
import { writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type Finding, formatFinding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { dayFile, dayNames, readDay } from "../places/day.js";
import { type Experiment, type Measure, measures, playExperiment } from "./experiment.js";
import { ThreadPlayer } from "./player.js";
import { reportPage } from "./report.js";
import { tableOf } from "./table.js";
import { readVariants, unchanged, type Variant } from "./variant.js";

const findingsCode = 2;
/** Half of the processors: others may be measuring on the same machine. */
const usualThreads = Math.max(1, Math.floor(availableParallelism() / 2));

const options = await yargs(hideBin(process.argv))
    .usage("npm run experiment -- --variants FILE --days celeste-large large-crashes --seeds 20")
    .option("days", {
        type: "string",
        array: true,
        default: [...dayNames()],
        describe: "days of the project by name, or files",
    })
    .option("variants", { type: "string", describe: "JSON file of variants; without it the product as it stands" })
    .option("seeds", { type: "number", default: 10, describe: "seeds for each day and variant" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .option("measure", { choices: measures, default: "worth" as Measure, describe: "the figure of the table" })
    .option("threads", { type: "number", default: usualThreads, describe: "threads that play" })
    .option("output", { type: "string", describe: "JSON file for all figures" })
    .option("report", { type: "string", describe: "HTML file for a page with plots and tables" })
    .check(({ seeds, threads }) => {
        if (!Number.isInteger(seeds) || seeds < 1 || !Number.isInteger(threads) || threads < 1) {
            throw new Error("--seeds and --threads take whole numbers from 1");
        }
        return true;
    })
    .epilogue(`Exit codes: 0 played, 1 a fault, ${findingsCode} a file isn't in form.`)
    .strict()
    .parse();

/** Tells what is wrong with a file, and ends. */
function give(findings: readonly Finding[]): never {
    findings.forEach(finding => console.error(formatFinding(finding)));
    process.exit(findingsCode);
}

const days = options.days.map(name => {
    return readDay(dayFile(name)).caseOf({ Left: give, Right: day => ({ name, day }) });
});
const variants: readonly Variant[] = options.variants === undefined
    ? [unchanged]
    : readVariants(options.variants).caseOf({ Left: give, Right: read => read });
const experiment: Experiment = {
    days,
    variants,
    seeds: Array.from({ length: options.seeds }, (_, number) => options.first + number),
};

const all = days.length * variants.length * options.seeds;
let played = 0;
const comparisons = await playExperiment(experiment, ThreadPlayer.create(options.threads), () => {
    played += 1;
    if (process.stderr.isTTY) {
        process.stderr.write(`\r${played} of ${all} played`);
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
