import type { Argv } from "yargs";
import type { Ending } from "./exitCode.js";
import { withJson } from "./operatorOptions.js";

/** Adds the commands that read logs; they ask no daemon. */
export function addLogCommands(parser: Argv, end: Ending): void {
    parser.command(
        "explain <request> <files..>",
        "Tell from log files how a request ended, and why",
        nested =>
            withJson(nested)
                .positional("request", { type: "string", demandOption: true, describe: "identifier of the attempt" })
                .positional("files", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    describe: "logs of any daemons",
                }),
        async given => end(await (await import("./commands/explain.js")).run(given)),
    );
    parser.command(
        "losses <files..>",
        "Tell from log files where requests lost time or failed, by cause",
        nested =>
            withJson(nested)
                .positional("files", { type: "string", array: true, demandOption: true, describe: "logs of gateways" })
                .option("stream-target", {
                    type: "number",
                    default: 900,
                    describe: "milliseconds to the first event of a stream beyond which it is late",
                })
                .option("plain-target", {
                    type: "number",
                    default: 200,
                    describe: "milliseconds to a plain answer beyond which it is late",
                })
                .option("slice", { type: "number", default: 2_000, describe: "milliseconds of one moment" })
                .check(({ slice }) => {
                    if (!(slice > 0)) {
                        throw new Error("--slice should be a number of milliseconds above 0");
                    }
                    return true;
                }),
        async given => end(await (await import("./commands/losses.js")).run(given)),
    );
}
