// Compares how gateways may keep the allowances of organisations, on emulated days with several seeds.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { meanOf } from "../experiment/difference.js";
import { type AllowanceOutcome, simulateAllowances } from "./allowanceSimulation.js";
import { allowanceDays } from "./day.js";
import { policies, type Policy } from "./policies.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run allowances -- --seeds 10")
    .option("seeds", { type: "number", default: 5, describe: "number of seeds for each day and policy" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .option("days", {
        type: "string",
        array: true,
        default: Object.keys(allowanceDays),
        describe: "names of bundled days",
    })
    .strict()
    .parse();

const measures: readonly (keyof AllowanceOutcome)[] = [
    "excess",
    "refusedUnder",
    "refusedHighest",
    "refusedLowest",
    "p50",
    "p99",
    "leaderMessages",
    "gatewayMessages",
];

/** Mean and half of the range of a measure over the seeds. */
function column(outcomes: readonly AllowanceOutcome[], measure: keyof AllowanceOutcome): string {
    const values = outcomes.map(outcome => outcome[measure]);
    const range = (Math.max(...values) - Math.min(...values)) / 2;
    return `${meanOf(values).toFixed(3)} ±${range.toFixed(3)}`.padStart(16);
}

console.log(["day".padEnd(28), "policy".padEnd(10), ...measures.map(measure => measure.padStart(16))].join(""));
for (const name of options.days) {
    const day = allowanceDays[name];
    if (day === undefined) {
        throw new Error(`there is no day ${name}`);
    }
    for (const policy of Object.keys(policies) as Policy[]) {
        const outcomes: AllowanceOutcome[] = [];
        for (let seed = options.first; seed < options.first + options.seeds; seed++) {
            outcomes.push(await simulateAllowances(day, policy, seed));
        }
        console.log(
            [name.padEnd(28), policy.padEnd(10), ...measures.map(measure => column(outcomes, measure))].join(""),
        );
    }
}
