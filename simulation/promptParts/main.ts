// Compares ways to find the part of prompts that crashes engines, on the same emulated days.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { meanOf } from "../experiment/difference.js";
import { partDays } from "./day.js";
import { type PartOutcome, simulateParts } from "./partSimulation.js";
import { ways } from "./ways.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run prompt-parts -- --seeds 20")
    .option("seeds", { type: "number", default: 20, describe: "number of seeds for each day and way" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .option("days", { type: "string", array: true, default: Object.keys(partDays), describe: "days to emulate" })
    .strict()
    .parse();

const measures: readonly (keyof PartOutcome)[] = [
    "crashes",
    "reached",
    "late",
    "begun",
    "wronglyQuarantined",
    "messages",
];
const cell = (text: string): string => text.padStart(10);

console.log(
    ["day".padEnd(16), "way".padEnd(14), cell("most late"), cell("most crash"), ...measures.map(cell)].join(" "),
);
for (const name of options.days) {
    for (const [way, create] of Object.entries(ways)) {
        const outcomes = Array.from(
            { length: options.seeds },
            (_, index) => simulateParts(partDays[name]!, create, options.first + index),
        );
        const most = (["late", "crashes"] as const).map(measure =>
            cell(String(Math.max(...outcomes.map(outcome => outcome[measure]))))
        );
        const means = measures.map(measure => cell(meanOf(outcomes.map(outcome => outcome[measure])).toFixed(2)));
        console.log([name.padEnd(16), way.padEnd(14), ...most, ...means].join(" "));
    }
}
