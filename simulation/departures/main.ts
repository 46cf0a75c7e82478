// Plays emulated days with backend servers that leave beside kills of directories and gateways, and reports work that they got late.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { randomDay } from "./day.js";
import { simulateDepartures } from "./departureSimulation.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run departures -- --seeds 100")
    .option("seeds", { type: "number", default: 100, describe: "number of days" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .strict()
    .parse();

const times: number[] = [];
let broken = 0;
for (let seed = options.first; seed < options.first + options.seeds; seed++) {
    const { late, unacknowledged, excluded, acknowledgeTimes } = await simulateDepartures(
        randomDay(SeededRandomness.create(seed)),
        seed,
    );
    times.push(...acknowledgeTimes);
    if (late.length + unacknowledged.length + excluded.length > 0) {
        broken += 1;
        console.log(JSON.stringify({ seed, late, unacknowledged, excluded }));
    }
}
times.sort((one, other) => one - other);
const atFraction = (fraction: number): number => Math.round(times[Math.floor(fraction * (times.length - 1))] ?? 0);
console.log(
    `${options.seeds} days, ${broken} broken; ${times.length} departures acknowledged after ${
        atFraction(0.5)
    } ms at p50, `
        + `${atFraction(0.99)} at p99, ${atFraction(1)} at most`,
);
process.exitCode = broken === 0 ? 0 : 1;
