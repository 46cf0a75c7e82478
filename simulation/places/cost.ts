// Measures the wall-clock time spent in the placement code, by load and pool size.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { PlacementQueue, speedPlacementTuning } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { bundledDay } from "./day.js";
import { simulateDay } from "./daySimulation.js";

const simulatedSeconds = 10;
const millisecondsInSecond = 1_000;
const measuredMethods = ["enqueueRequest", "review", "release", "prefillCompleted", "recordWriting"] as const;
type Method = (this: PlacementQueue, ...parameters: unknown[]) => unknown;

let spentMilliseconds = 0;
const prototype = PlacementQueue.prototype as unknown as Record<typeof measuredMethods[number], Method>;
for (const name of measuredMethods) {
    const original = prototype[name];
    prototype[name] = function(...parameters): unknown {
        const startedAt = performance.now();
        try {
            return original.apply(this, parameters);
        }
        finally {
            spentMilliseconds += performance.now() - startedAt;
        }
    };
}

const options = await yargs(hideBin(process.argv))
    .usage("npm run places:cost -- --engines 14 100 --speeds 0.7 0.7 1.7")
    .option("engines", { type: "number", array: true, default: [78, 156, 312, 624], describe: "pool sizes" })
    .option("loads", { type: "number", array: true, default: [1, 2, 3], describe: "multiples of the usual load" })
    .option("speeds", { type: "number", array: true, default: [1], describe: "speeds of the engines, by turns" })
    .option("by-speed", { type: "boolean", default: false, describe: "whether the speeds are taken into account" })
    .strict()
    .parse();

console.log("engines  times the load  requests/s  ms a second  µs a request");
for (const engines of options.engines) {
    for (const loadFactor of options.loads) {
        const day = bundledDay("celeste-grown");
        const { pool, workload } = day;
        const sizeFactor = engines / (pool.prefill + pool.decode);
        const prefill = Math.max(1, Math.round(pool.prefill * sizeFactor));
        const resized = { ...pool, prefill, decode: engines - prefill, speeds: options.speeds };
        const rate = workload.rate * sizeFactor * loadFactor;
        spentMilliseconds = 0;
        const length = simulatedSeconds * millisecondsInSecond;
        const measuredDay = { ...day, pool: resized, workload: { ...workload, rate, length, bursts: [] } };
        simulateDay(measuredDay, 1, options.bySpeed ? speedPlacementTuning : {});
        const row = [
            engines,
            loadFactor,
            rate.toFixed(0),
            (spentMilliseconds / simulatedSeconds).toFixed(1),
            (spentMilliseconds * 1_000 / (rate * simulatedSeconds)).toFixed(0),
        ];
        console.log(row.map(value => String(value).padStart(12)).join(""));
    }
}
