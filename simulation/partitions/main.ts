// Compares ways to serve the callers of gateways that are partitioned from all backend servers, on emulated days.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { partitionKinds } from "../../playground/harness/partition.js";
import { meanOf } from "../experiment/difference.js";
import { partitionDay, partitionedSets } from "./day.js";
import { type PartitionOutcome, simulatePartition, ways } from "./partitionSimulation.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run partitions -- --seeds 5")
    .option("seeds", { type: "number", default: 3, describe: "number of seeds for each day and way" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .strict()
    .parse();

const measures: readonly (keyof PartitionOutcome)[] = ["early", "late", "after", "others", "all", "mostRelayed"];
const cell = (text: string): string => text.padStart(12);

console.log(["partitioned".padEnd(14), "kind  ", "way    ", ...measures.map(cell)].join(" "));
for (const name of Object.keys(partitionedSets)) {
    for (const kind of partitionKinds) {
        for (const way of ways) {
            const outcomes: PartitionOutcome[] = [];
            for (let seed = options.first; seed < options.first + options.seeds; seed++) {
                outcomes.push(await simulatePartition(partitionDay(name, kind), way, seed));
            }
            const means = measures.map(measure => cell(meanOf(outcomes.map(outcome => outcome[measure])).toFixed(3)));
            console.log([name.padEnd(14), kind.padEnd(6), way.padEnd(7), ...means].join(" "));
        }
    }
}
