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
}
