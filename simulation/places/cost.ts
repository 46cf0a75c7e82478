// Measures the wall-clock time spent in the placement code, by load and pool size.
import { PlacementQueue } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { bundledDay } from "./day.js";
import { simulateDay } from "./daySimulation.js";

const simulatedSeconds = 10;
const millisecondsInSecond = 1_000;
const measuredMethods = ["enqueueRequest", "review", "release", "prefillCompleted"] as const;
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

console.log("engines  times the load  requests/s  ms a second  µs a request");
for (const poolSizeFactor of [1, 2, 4, 8]) {
    for (const loadFactor of [1, 2, 3]) {
        const day = bundledDay("celeste-grown");
        const { pool, workload } = day;
        const larger = { ...pool, prefill: pool.prefill * poolSizeFactor, decode: pool.decode * poolSizeFactor };
        const rate = workload.rate * poolSizeFactor * loadFactor;
        spentMilliseconds = 0;
        const length = simulatedSeconds * millisecondsInSecond;
        simulateDay({ ...day, pool: larger, workload: { ...workload, rate, length, bursts: [] } }, 1);
        const engines = larger.prefill + larger.decode;
        const row = [
            engines,
            loadFactor,
            rate,
            (spentMilliseconds / simulatedSeconds).toFixed(1),
            (spentMilliseconds * 1_000 / (rate * simulatedSeconds)).toFixed(0),
        ];
        console.log(row.map(value => String(value).padStart(12)).join(""));
    }
}
