// Compares how gateways may admit requests of a plain service, on emulated days with several seeds.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { differenceOf, meanOf } from "../experiment/difference.js";
import { serviceDays } from "./day.js";
import { type AdmissionName, admissions, type ServiceOutcome, simulateService } from "./serviceSimulation.js";

const options = await yargs(hideBin(process.argv))
    .usage("npm run services -- --seeds 30")
    .option("seeds", { type: "number", default: 30, describe: "number of seeds for each day and implementation" })
    .option("first", { type: "number", default: 1, describe: "the first seed" })
    .strict()
    .parse();

const columnWidth = 10;
const nameWidth = 28;
const seeds = Array.from({ length: options.seeds }, (_, number) => options.first + number);

console.log("day".padEnd(nameWidth), "admission in time  in burst    late   refused  difference in time (95%)");
for (const [name, day] of Object.entries(serviceDays)) {
    const outcomes = (admission: AdmissionName): ServiceOutcome[] => {
        return seeds.map(seed => simulateService(day, admission, seed));
    };
    const open = outcomes("open");
    for (const admission of Object.keys(admissions) as AdmissionName[]) {
        const own = admission === "open" ? open : outcomes(admission);
        const mean = (of: (outcome: ServiceOutcome) => number): string => {
            return meanOf(own.map(of)).toFixed(3).padStart(columnWidth - 1);
        };
        const { interval } = differenceOf(open.map(({ inTime }) => inTime), own.map(({ inTime }) => inTime));
        console.log(
            name.padEnd(nameWidth),
            admission.padEnd(columnWidth - 2),
            mean(({ inTime }) => inTime),
            mean(({ inTimeInBurst }) => inTimeInBurst),
            mean(({ late }) => late),
            mean(({ refused }) => refused),
            interval === undefined ? "" : `  ${interval[0].toFixed(3)} to ${interval[1].toFixed(3)}`,
        );
    }
}
