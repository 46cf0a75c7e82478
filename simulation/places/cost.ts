// Measures the processor time that placing takes, by load and by the size of the pool.
import { EnginePlaces } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { ownDay } from "./day.js";
import { playDay } from "./play.js";

const seconds = 10;
const millisecondsInSecond = 1_000;
const steps = ["ask", "review", "release", "prefilled"] as const;
type Step = (this: EnginePlaces, ...given: unknown[]) => unknown;

let spent = 0;
const prototype = EnginePlaces.prototype as unknown as Record<typeof steps[number], Step>;
for (const name of steps) {
    const step = prototype[name];
    prototype[name] = function(...given): unknown {
        const startedAt = performance.now();
        try {
            return step.apply(this, given);
        }
        finally {
            spent += performance.now() - startedAt;
        }
    };
}

console.log("engines  times the load  requests/s  ms of processor a second  µs a request");
for (const size of [1, 2, 4, 8]) {
    for (const times of [1, 2, 3]) {
        const day = ownDay("celeste-grown");
        const { pool, workload } = day;
        const larger = { ...pool, prefill: pool.prefill * size, decode: pool.decode * size };
        const rate = workload.rate * size * times;
        spent = 0;
        const length = seconds * millisecondsInSecond;
        playDay({ ...day, pool: larger, workload: { ...workload, rate, length, bursts: [] } }, 1);
        const engines = larger.prefill + larger.decode;
        const row = [engines, times, rate, (spent / seconds).toFixed(1), (spent * 1_000 / (rate * seconds)).toFixed(0)];
        console.log(row.map(value => String(value).padStart(12)).join(""));
    }
}
