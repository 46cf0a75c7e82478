import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { defaultTuning } from "../../packages/basilpaddle/src/node/index.js";
import { capacity, deployments } from "./deployments.js";
import { type RunMetrics, spread } from "./metrics.js";
import { type Fault, faults, policies, type PolicyName, run } from "./run.js";

const percent = (share: number): string => (100 * share).toFixed(1);

function formatRow(name: string, runs: readonly RunMetrics[]): string {
    const summarise = (pick: (metrics: RunMetrics) => number): ReturnType<typeof spread> => spread(runs.map(pick));
    const goodput = summarise(metrics => metrics.goodput);
    const wasted = summarise(metrics => metrics.wasted);
    const reasons = new Map<string, number>();
    for (const metrics of runs) {
        for (const [reason, share] of Object.entries(metrics.wasteReasons)) {
            reasons.set(reason, (reasons.get(reason) ?? 0) + share / runs.length);
        }
    }
    return [
        name.padEnd(40),
        `${percent(goodput.median)} (${percent(goodput.min)}-${percent(goodput.max)})`.padEnd(20),
        `${percent(wasted.median)} (${percent(wasted.min)}-${percent(wasted.max)})`.padEnd(18),
        summarise(metrics => metrics.goodTokens).median.toFixed(0).padStart(6),
        percent(summarise(metrics => metrics.idlePrefill).median).padStart(6),
        percent(summarise(metrics => metrics.idleSlots).median).padStart(6),
        percent(summarise(metrics => metrics.refused / metrics.requests).median).padStart(6),
        percent(summarise(metrics => metrics.refusedLate / metrics.requests).median).padStart(6),
        percent(summarise(metrics => metrics.failed / metrics.requests).median).padStart(6),
        percent(summarise(metrics => metrics.fairness).median).padStart(6),
        summarise(metrics => metrics.firstTokenP50).median.toFixed(0).padStart(6),
        summarise(metrics => metrics.firstTokenP99).median.toFixed(0).padStart(6),
        ` ${[...reasons].map(([reason, share]) => `${reason} ${percent(share)}`).join(", ")}`,
    ].join(" ");
}

const options = await yargs(hideBin(process.argv))
    .option("deployment", { type: "array", string: true, default: ["celeste"], choices: Object.keys(deployments) })
    .option("load", {
        type: "array",
        number: true,
        default: [1],
        describe: "offered load as a ratio of the pool's capacity",
    })
    .option("policy", { type: "array", string: true, default: ["pool"] as PolicyName[], choices: policies })
    .option("fault", { type: "array", string: true, default: ["none"] as Fault[], choices: faults })
    .option("import-again", {
        type: "boolean",
        default: true,
        describe: "retry an import while the decode engine has no free slot",
    })
    .option("seeds", { type: "number", default: 5 })
    .option("first-seed", { type: "number", default: 1 })
    .option("tuning", {
        type: "string",
        default: "",
        describe: `such as lead=20,confidence=1; ${Object.keys(defaultTuning).join(", ")}`,
    })
    .strict()
    .parse();

const tuning = Object.fromEntries(
    options.tuning.split(",").filter(part => part !== "").map(part => {
        const [name, value] = part.split("=");
        if (name === undefined || !(name in defaultTuning) || Number.isNaN(Number(value))) {
            throw new Error(
                `--tuning: "${part}" must be NAME=NUMBER with one of the names ${
                    Object.keys(defaultTuning).join(", ")
                }`,
            );
        }
        return [name, Number(value)];
    }),
);

console.log(
    `${
        "deployment load fault policy".padEnd(40)
    } goodput % (range)    wasted % (range)   tok/s  idleP  idleD refus%  late% fail%  fair% ttft50 ttft99  wasted by reason %`,
);
for (const name of options.deployment) {
    const deployment = deployments[name]!;
    console.log(`# ${name}: carries ${capacity(deployment).toFixed(1)} requests a second`);
    for (const load of options.load) {
        for (const fault of options.fault) {
            for (const policy of options.policy) {
                const runs = Array.from(
                    { length: options.seeds },
                    (_, offset) =>
                        run({
                            deployment,
                            load,
                            policy,
                            fault,
                            seed: options.firstSeed + offset,
                            tuning,
                            retryImport: options.importAgain,
                        }),
                );
                console.log(formatRow(`${name} ${load} ${fault} ${policy}`, runs));
            }
        }
    }
}
