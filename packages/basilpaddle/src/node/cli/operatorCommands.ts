import type { Argv } from "yargs";
import type { ExitCodeCallback } from "./exitCode.js";
import { withOperatorName, withOperatorOptions } from "./operatorOptions.js";

/** Adds the commands that inspect a deployment, drain backend servers and release quarantined requests. */
export function addOperatorCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    parser
        .command(
            "status",
            "Show daemons, leases, pools and backend servers, and which revision is in force where",
            withOperatorOptions,
            async args => setExitCode(await (await import("./commands/status.js")).run(args)),
        )
        .command(
            "drain <name>",
            "Drain a backend server: it gets no new work, its running requests are completed",
            nested =>
                withOperatorName(withOperatorOptions(nested))
                    .positional("name", { type: "string", demandOption: true, describe: "the backend server" })
                    .epilogue("A daemon is drained by SIGTERM to its process."),
            async args => setExitCode(await (await import("./commands/drain.js")).run(args)),
        )
        .command(
            "audit",
            "Show the audit trail: who did what, when and with which outcome, newest first",
            nested =>
                withOperatorOptions(nested)
                    .option("limit", { type: "number", default: 50, describe: "maximum number of entries" })
                    .option("before", { type: "number", describe: "only entries older than this index" })
                    .option("topic", {
                        choices: ["configuration", "membership", "order"] as const,
                        describe: "only entries of this topic",
                    }),
            async args => setExitCode(await (await import("./commands/audit.js")).run(args)),
        )
        .command(
            "held",
            "List the requests that are quarantined because backend servers crashed while running them",
            withOperatorOptions,
            async args => setExitCode(await (await import("./commands/held.js")).run(args)),
        )
        .command(
            "release <request>",
            "Release a request from quarantine, so that it may run again",
            nested =>
                withOperatorName(withOperatorOptions(nested)).positional("request", {
                    type: "string",
                    demandOption: true,
                    describe: "digest of the request, as shown by `held` and in the log field `content`",
                }),
            async args => setExitCode(await (await import("./commands/release.js")).run(args)),
        )
        .command(
            "metrics",
            "Print the metrics of the queried daemon",
            withOperatorOptions,
            async args => setExitCode(await (await import("./commands/metrics.js")).run(args)),
        );
}
