import yargs, { type Argv } from "yargs";
import { addConfigCommands } from "./configCommands.js";
import { addDaemonCommands } from "./daemonCommands.js";
import { type Ending, type ExitCode, exitCodeHelp, exitCodes } from "./exitCode.js";
import { addLogCommands } from "./logCommands.js";
import { addOperatorCommands } from "./operatorCommands.js";

class UsageError extends Error {}

/** Runs the command line; the exit code of the process says how it went. */
export async function main(argv: readonly string[]): Promise<void> {
    const code = await runCommandLine(argv);
    process.exitCode = code;
}

/** Runs the command line and returns the exit code. Each command's code is loaded only when it is called. */
export async function runCommandLine(argv: readonly string[]): Promise<ExitCode> {
    let code: ExitCode = exitCodes.done;
    const end: Ending = ended => {
        code = ended;
    };
    const parser = yargs([...argv])
        .scriptName("basilpaddle")
        .usage("$0 <command>\n\nRoutes requests to separate prefill and decode pools.")
        .parserConfiguration({ "parse-positional-numbers": false })
        .strict()
        .demandCommand(1, "Name a command.")
        .recommendCommands()
        .help()
        .alias("help", "h")
        .version(false)
        .wrap(100)
        .epilogue(exitCodeHelp)
        .exitProcess(false)
        .fail((message, error, shown) => {
            // A command that failed while it ran comes without a message; everything else is wrong in the command line.
            if (typeof message !== "string") {
                throw error;
            }
            shown.showHelp("error");
            process.stderr.write(`\n${message}\n`);
            // Without an error thrown here, yargs would go on and run the command.
            throw new UsageError(message);
        });
    addCommands(parser, end);
    try {
        await parser.parseAsync();
    }
    catch (error) {
        if (error instanceof UsageError) {
            return exitCodes.findings;
        }
        process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
        return exitCodes.failed;
    }
    return code;
}

function addCommands(parser: Argv, end: Ending): void {
    addDaemonCommands(parser, end);
    addConfigCommands(parser, end);
    addOperatorCommands(parser, end);
    addLogCommands(parser, end);
}
