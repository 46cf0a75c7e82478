// Simulates the bundled days and prints the results for the callers. Lets a change of the placement be tried in seconds.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { bundledDay, dayNames } from "./day.js";
import { simulateDay } from "./daySimulation.js";
import type { PoolOutcome } from "./outcome.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run places -- --seeds 5")
    .option("seeds", { type: "number", default: 5, describe: "number of seeds for each day" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .strict()
    .parse();

function mean(outcomes: readonly PoolOutcome[], of: (outcome: PoolOutcome) => number): string {
    const value = outcomes.reduce((sum, outcome) => sum + of(outcome), 0) / outcomes.length;
    return value.toFixed(3).padStart(9);
}

console.log("day             in time     late unserved     lost    worth    again     away    short   middle     long");
for (const name of dayNames()) {
    const outcomes = Array.from(
        { length: options.seeds },
        (_, number) => simulateDay(bundledDay(name), options.first + number),
    );
    const columns = [
        mean(outcomes, outcome => outcome.inTime),
        mean(outcomes, outcome => outcome.late),
        mean(outcomes, outcome => outcome.unserved),
        mean(outcomes, outcome => outcome.lost),
        mean(outcomes, outcome => outcome.worth),
        mean(outcomes, outcome => outcome.readAgain),
        mean(outcomes, outcome => outcome.turnedAway),
        ...[0, 1, 2].map(size => mean(outcomes, outcome => outcome.bySize[size]!)),
        mean(outcomes, outcome => outcome.byPrompt[2]),
    ];
    console.log(name.padEnd(14) + columns.join(""));
}
