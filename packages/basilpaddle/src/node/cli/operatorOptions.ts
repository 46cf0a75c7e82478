import type { Argv } from "yargs";

/** Environment variable with the operators' address of a daemon, used if `--at` isn't given. */
export const atVariable = "BASILPADDLE_AT";

/** Adds the options of all commands that query a daemon. */
export function withOperatorOptions<T>(parser: Argv<T>) {
    return withJson(parser)
        .option("at", {
            type: "string",
            default: process.env[atVariable] ?? "",
            defaultDescription: `$${atVariable}`,
            describe: "operators' address of any daemon, as host:port",
        })
        .option("timeout", { type: "number", default: 10_000, describe: "milliseconds to wait for the outcome" })
        .check(args => {
            if (args.at === "") {
                throw new Error(`Name a daemon with --at host:port, or in the environment variable ${atVariable}.`);
            }
            if (!/^(\[[0-9a-fA-F:]+\]|[^:]+):\d+$/.test(String(args.at))) {
                throw new Error(`--at is ${String(args.at)}; it must be host:port, such as 127.0.0.11:7070`);
            }
            if (!(Number(args.timeout) > 0)) {
                throw new Error("--timeout must be a number of milliseconds above 0");
            }
            return true;
        });
}

/** Adds `--json`. */
export function withJson<T>(parser: Argv<T>) {
    return parser.option("json", { type: "boolean", default: false, describe: "print one JSON value for a program" });
}

/** Adds `--operator`, the name that is recorded in the audit trail. */
export function withOperatorName<T>(parser: Argv<T>) {
    return parser.option("operator", {
        type: "string",
        demandOption: true,
        describe: "name of the operator, which is recorded in the audit trail",
    });
}
