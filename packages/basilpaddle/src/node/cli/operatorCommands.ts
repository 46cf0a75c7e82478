import type { Argv } from "yargs";
import type { Ending } from "./exitCode.js";
import { withOperatorName, withOperatorOptions } from "./operatorOptions.js";

/** Adds the commands that look at a deployment or drain a part of it. */
export function addOperatorCommands(parser: Argv, end: Ending): void {
    parser
        .command(
            "status",
            "Show daemons, leases, pools and backend servers, and what is in force where",
            withOperatorOptions,
            async given => end(await (await import("./commands/status.js")).run(given)),
        )
        .command(
            "drain <name>",
            "Take a backend server out: no new work, what it runs goes to its end",
            nested =>
                withOperatorName(withOperatorOptions(nested))
                    .positional("name", { type: "string", demandOption: true, describe: "the backend server" })
                    .epilogue("A daemon is drained by SIGTERM to its process."),
            async given => end(await (await import("./commands/drain.js")).run(given)),
        )
        .command(
            "audit",
            "Show who did what, when and with which outcome, the newest first",
            nested =>
                withOperatorOptions(nested)
                    .option("limit", { type: "number", default: 50, describe: "most entries" })
                    .option("before", { type: "number", describe: "only entries older than this index" })
                    .option("topic", {
                        choices: ["configuration", "membership", "order"] as const,
                        describe: "only entries of this topic",
                    }),
            async given => end(await (await import("./commands/audit.js")).run(given)),
        )
        .command(
            "held",
            "Show which requests are held back since backend servers ended under them",
            withOperatorOptions,
            async given => end(await (await import("./commands/held.js")).run(given)),
        )
        .command(
            "release <request>",
            "Let a request run again that is held back",
            nested =>
                withOperatorName(withOperatorOptions(nested)).positional("request", {
                    type: "string",
                    demandOption: true,
                    describe: "the request, as `held` and the field `content` of logs name it",
                }),
            async given => end(await (await import("./commands/release.js")).run(given)),
        )
        .command(
            "metrics",
            "Print the metrics of the daemon that is asked",
            withOperatorOptions,
            async given => end(await (await import("./commands/metrics.js")).run(given)),
        );
}
