// Compares ways to know the software version that began a stream, on the same emulated days.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { dayOfSize, troubles } from "./day.js";
import { simulateVersions } from "./versionSimulation.js";
import { ways } from "./ways.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run versions -- --gateways 10 30 100")
    .option("gateways", { type: "number", array: true, default: [10, 100], describe: "sizes to compare" })
    .option("seed", { type: "number", default: 1, describe: "seed of the days" })
    .strict()
    .parse();

for (const gateways of options.gateways) {
    for (const trouble of troubles) {
        for (const way of ways) {
            const startedAt = process.cpuUsage();
            const outcome = await simulateVersions(dayOfSize(gateways, trouble), way, options.seed);
            const { user, system } = process.cpuUsage(startedAt);
            console.log(JSON.stringify({ gateways, trouble, ...outcome, processorSeconds: (user + system) / 1e6 }));
        }
    }
}
