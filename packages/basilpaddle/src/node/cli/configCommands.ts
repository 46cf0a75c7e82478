import type { Argv } from "yargs";
import type { ExitCodeCallback } from "./exitCode.js";
import { withJson, withOperatorName, withOperatorOptions } from "./operatorOptions.js";

/** Adds the `config` commands. */
export function addConfigCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser.command("config", "Check, apply and show the configuration", nested => {
        addFolderCommands(nested, setExitCode);
        addReadCommands(nested, setExitCode);
        return nested.demandCommand(1, "Name a command of config.");
    });
}

function addFolderCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser
        .command(
            "check <dir>",
            "Check a configuration folder without contacting a daemon",
            nested => withFolder(withJson(nested)),
            async args => setExitCode(await (await import("./commands/configCheck.js")).run(args)),
        )
        .command(
            "apply <dir>",
            "Make a configuration folder the configuration in force",
            nested =>
                withFolder(withOperatorName(withOperatorOptions(nested)))
                    .option("base", {
                        type: "number",
                        describe: "revision that the change is made against  [default: the one in force]",
                    })
                    .option("change-id", {
                        type: "string",
                        describe: "identifier of the change  [default: derived from its content and base]",
                    })
                    .option("note", {
                        type: "string",
                        default: "",
                        describe: "reason for the change, kept in the history",
                    })
                    .check(({ base }) => {
                        if (base !== undefined && !(Number.isInteger(base) && base >= 0)) {
                            throw new Error("--base must be a revision: an integer of at least 0");
                        }
                        return true;
                    }),
            async args => setExitCode(await (await import("./commands/configApply.js")).run(args)),
        );
}

function addReadCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser
        .command(
            "show",
            "Show the configuration in force",
            withOperatorOptions,
            async args => setExitCode(await (await import("./commands/configShow.js")).run(args)),
        )
        .command(
            "history",
            "List the accepted changes, newest first",
            nested =>
                withOperatorOptions(nested).option("limit", {
                    type: "number",
                    default: 20,
                    describe: "maximum number of entries",
                }),
            async args => setExitCode(await (await import("./commands/configHistory.js")).run(args)),
        );
}

function withFolder<T>(parser: Argv<T>) {
    return parser.positional("dir", { type: "string", demandOption: true, describe: "the configuration folder" });
}
