// Executes batches of random runs for the given time and prints the number of runs and steps. A failed batch is reported with
// its seed and ends the runs of its subject; the other subjects still run.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type Subject, Tally } from "./subject.js";
import { subjects } from "./subjects.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run random-runs -- --subject view --seconds 60 --seed 1")
    .option("subject", {
        choices: ["all", ...subjects.map(({ name }) => name)],
        default: "all",
        describe: "subject to test",
    })
    .option("seconds", {
        type: "number",
        default: 60,
        describe: "time to spend on each subject; 0 runs a single batch",
    })
    .option("seed", {
        type: "number",
        default: 1,
        describe: "seed of the first batch; each further batch increments it",
    })
    .option("shrink", { type: "boolean", default: true, describe: "shrink a failing run to a minimal one" })
    .strict()
    .parse();

let currentBatch = { name: "", seed: options.seed };

function reportFailure(error: unknown): void {
    const { name, seed } = currentBatch;
    console.error(`${name}: seed ${seed} FAILED`, error);
    console.error(`reproduce with: npm run random-runs -- --subject ${name} --seed ${seed} --seconds 0`);
    process.exitCode = 1;
}

/** Executes batches until the time is over or one fails. */
async function runSubject(subject: Subject): Promise<void> {
    const total = new Tally();
    const end = performance.now() + options.seconds * 1_000;
    let seed = options.seed;
    do {
        currentBatch = { name: subject.name, seed };
        const batch = new Tally();
        try {
            await subject.runBatch(seed, batch, options.shrink);
        }
        catch (error) {
            reportFailure(error);
            console.log(`${subject.name}: failed at seed ${seed} after ${total.describe()}`);
            return;
        }
        total.merge(batch);
        seed += 1;
    } while (performance.now() < end);
    console.log(
        `${subject.name}: ${total.describe()}, seeds ${options.seed} to ${seed - 1}: no invariant was violated`,
    );
}

// An exception outside of the awaited promises of a run would end the process without reporting the seed.
process.on("uncaughtException", error => {
    reportFailure(error);
    process.exit(1);
});
for (const subject of subjects.filter(({ name }) => options.subject === "all" || options.subject === name)) {
    await runSubject(subject);
}
