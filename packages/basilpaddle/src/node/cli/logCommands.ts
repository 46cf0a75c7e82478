import type { Argv } from "yargs";
import type { ExitCodeCallback } from "./exitCode.js";
import { withJson } from "./operatorOptions.js";

/** Adds the commands that analyse log files, without contacting a daemon. */
export function addLogCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser.command(
        "explain <request> <files..>",
        "Explain from log files how a request ended, and why",
        nested =>
            withJson(nested)
                .positional("request", { type: "string", demandOption: true, describe: "identifier of the attempt" })
                .positional("files", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    describe: "log files of any daemons",
                }),
        async args => setExitCode(await (await import("./commands/explain.js")).run(args)),
    );
    parser.command(
        "losses <files..>",
        "Summarise from log files, by cause, which requests were late or failed",
        nested =>
            withJson(nested)
                .positional("files", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    describe: "log files of gateways",
                })
                .option("stream-target", {
                    type: "number",
                    default: 900,
                    describe: "milliseconds to the first event of a stream after which it counts as late",
                })
                .option("plain-target", {
                    type: "number",
                    default: 200,
                    describe: "milliseconds to a plain answer after which it counts as late",
                })
                .option("slice", {
                    type: "number",
                    default: 2_000,
                    describe: "length of one time slice in milliseconds",
                })
                .option("by-route", {
                    type: "boolean",
                    default: false,
                    describe: "show the losses of each route as well",
                })
                .check(({ slice }) => {
                    if (!(slice > 0)) {
                        throw new Error("--slice must be a number of milliseconds above 0");
                    }
                    return true;
                }),
        async args => setExitCode(await (await import("./commands/losses.js")).run(args)),
    );
    parser.command(
        "allowances <files..>",
        "Show from log files in which span most of each organisation's allowance ran, and what granted it",
        nested =>
            withJson(nested)
                .positional("files", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    describe: "log files of gateways",
                })
                .option("window", { type: "number", default: 8_000, describe: "length of the span in milliseconds" })
                .option("organisation", { type: "string", describe: "only this organisation" }),
        async args => setExitCode(await (await import("./commands/allowances.js")).run(args)),
    );
}
