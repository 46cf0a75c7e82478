import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { defaultTuning } from "../../packages/basilpaddle/src/node/index.js";
import { capacity, deployments } from "./deployments.js";
import { type Figures, spread } from "./measures.js";
import { type Fault, faults, policies, type PolicyName, run } from "./run.js";

const percent = (part: number): string => (100 * part).toFixed(1);

function row(name: string, runs: readonly Figures[]): string {
    const of = (pick: (figures: Figures) => number): ReturnType<typeof spread> => spread(runs.map(pick));
    const goodput = of(figures => figures.goodput);
    const wasted = of(figures => figures.wasted);
    const reasons = new Map<string, number>();
    for (const figures of runs) {
        for (const [reason, part] of Object.entries(figures.wasteReasons)) {
            reasons.set(reason, (reasons.get(reason) ?? 0) + part / runs.length);
        }
    }
    return [
        name.padEnd(40),
        `${percent(goodput.median)} (${percent(goodput.least)}-${percent(goodput.most)})`.padEnd(20),
        `${percent(wasted.median)} (${percent(wasted.least)}-${percent(wasted.most)})`.padEnd(18),
        of(figures => figures.goodTokens).median.toFixed(0).padStart(6),
        percent(of(figures => figures.idlePrefill).median).padStart(6),
        percent(of(figures => figures.idleSlots).median).padStart(6),
        percent(of(figures => figures.refused / figures.requests).median).padStart(6),
        percent(of(figures => figures.refusedLate / figures.requests).median).padStart(6),
        percent(of(figures => figures.failed / figures.requests).median).padStart(6),
        percent(of(figures => figures.fairness).median).padStart(6),
        of(figures => figures.firstTokenP50).median.toFixed(0).padStart(6),
        of(figures => figures.firstTokenP99).median.toFixed(0).padStart(6),
        ` ${[...reasons].map(([reason, part]) => `${reason} ${percent(part)}`).join(", ")}`,
    ].join(" ");
}

const options = await yargs(hideBin(process.argv))
    .option("deployment", { type: "array", string: true, default: ["celeste"], choices: Object.keys(deployments) })
    .option("load", { type: "array", number: true, default: [1], describe: "part of what the pool can carry" })
    .option("policy", { type: "array", string: true, default: ["pool"] as PolicyName[], choices: policies })
    .option("fault", { type: "array", string: true, default: ["none"] as Fault[], choices: faults })
    .option("import-again", {
        type: "boolean",
        default: true,
        describe: "try an import again while the engine is full",
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
            throw new Error(`--tuning: "${part}" is not one of ${Object.keys(defaultTuning).join(", ")} with a number`);
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
                            importAgain: options.importAgain,
                        }),
                );
                console.log(row(`${name} ${load} ${fault} ${policy}`, runs));
            }
        }
    }
}
