import type { Argv } from "yargs";
import type { ExitCodeCallback } from "./exitCode.js";
import { withJson } from "./operatorOptions.js";

/** Adds the commands that run a daemon or initialise its data folder. */
export function addDaemonCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser
        .command(
            "entry",
            "Run an entry daemon until it is stopped",
            nested => withSettings(nested).epilogue(signals),
            async args => setExitCode(await (await import("./commands/daemon.js")).run("entry", args)),
        )
        .command(
            "control",
            "Run a control daemon until it is stopped",
            nested => withSettings(nested).epilogue(signals),
            async args => setExitCode(await (await import("./commands/daemon.js")).run("control", args)),
        )
        .command(
            "init",
            "Initialise the empty data folder of a control daemon of a new deployment",
            nested =>
                withJson(withSettings(nested))
                    .option("cluster", {
                        type: "string",
                        demandOption: true,
                        describe: "name of the deployment, the same for each of its control daemons",
                    })
                    .epilogue(
                        "Run it once for each control daemon, before its first start. A daemon that has lost its data folder "
                            + "is started without running it again, and rejoins the deployment.",
                    ),
            async args => setExitCode(await (await import("./commands/init.js")).run(args)),
        );
}

const signals = "SIGTERM or SIGINT shuts down gracefully: no new work is accepted, requests in progress are completed. "
    + "A second signal aborts requests in progress and reports them.";

function withSettings<T>(parser: Argv<T>) {
    return parser.option("settings", { type: "string", demandOption: true, describe: "the JSON settings file" });
}
