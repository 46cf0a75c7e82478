// Simulates the bundled days with requests of three priorities, by the order of the queue, and prints the results by priority.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { bundledDay, dayNames } from "./day.js";
import { DaySimulation } from "./daySimulation.js";
import { PriorityMix } from "./priorityMix.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run places:priorities -- --seeds 5 --load 1.5")
    .option("seeds", { type: "number", default: 5, describe: "number of seeds for each day" })
    .option("load", { type: "number", default: 1, describe: "factor of the rate of requests" })
    .option("day", { type: "string", array: true, default: dayNames(), describe: "names of the days" })
    .strict()
    .parse();

const mixes = [
    ["by target", PriorityMix.create(false, 0)],
    ["by priority, floor 0", PriorityMix.create(true, 0)],
    ["by priority, floor 0.1", PriorityMix.create(true, 0.1)],
    ["by priority, floor 0.3", PriorityMix.create(true, 0.3)],
] as const;

console.log(`${"day".padEnd(16)}${"order".padEnd(24)}in time and unserved of priority 0, 1, 2`);
for (const name of options.day) {
    const day = bundledDay(name);
    const workload = { ...day.workload, rate: day.workload.rate * options.load };
    for (const [order, mix] of mixes) {
        const counts = [0, 1, 2].map(() => ({ all: 0, inTime: 0, unserved: 0 }));
        for (let seed = 1; seed <= options.seeds; seed++) {
            const simulation = DaySimulation.create({ ...day, workload }, seed, {}, mix);
            simulation.runToEnd();
            for (const { request, firstAt, lost } of simulation.results()) {
                const { priority, target } = mix.kindOf(request);
                const count = counts[priority]!;
                count.all += 1;
                count.inTime += !lost && firstAt !== undefined && firstAt - request.at <= target ? 1 : 0;
                count.unserved += firstAt === undefined ? 1 : 0;
            }
        }
        const columns = counts.map(({ all, inTime, unserved }) =>
            `${(inTime / all).toFixed(3).padStart(8)}${(unserved / all).toFixed(3).padStart(7)}`
        );
        console.log(name.padEnd(16) + order.padEnd(24) + columns.join("  "));
    }
}
