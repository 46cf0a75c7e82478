import yargs, { type Argv } from "yargs";
import { describeCode } from "../utils/index.js";
import { addConfigCommands } from "./configCommands.js";
import { addDaemonCommands } from "./daemonCommands.js";
import { type ExitCode, type ExitCodeCallback, exitCodeHelp, exitCodes } from "./exitCode.js";
import { addLogCommands } from "./logCommands.js";
import { addOperatorCommands } from "./operatorCommands.js";

class UsageError extends Error {}

/** Runs the command line and sets the exit code of the process. */
export async function main(argv: readonly string[]): Promise<void> {
    const code = await runCommandLine(argv);
    process.exitCode = code;
}

/** Runs the command line and resolves with the exit code. The code of each command is loaded only when it is called. */
export async function runCommandLine(argv: readonly string[]): Promise<ExitCode> {
    let code: ExitCode = exitCodes.done;
    const setExitCode: ExitCodeCallback = newCode => {
        code = newCode;
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
        .version(JSON.stringify(describeCode()))
        .wrap(100)
        .epilogue(exitCodeHelp)
        .exitProcess(false)
        .fail((message, error, yargsInstance) => {
            // An error thrown by a running command comes without a message; everything else is a mistake in the command line.
            if (typeof message !== "string") {
                throw error;
            }
            yargsInstance.showHelp("error");
            process.stderr.write(`\n${message}\n`);
            // Unless an error is thrown here, yargs continues and runs the command.
            throw new UsageError(message);
        });
    addCommands(parser, setExitCode);
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

function addCommands(parser: Argv, setExitCode: ExitCodeCallback): void {
    addDaemonCommands(parser, setExitCode);
    addConfigCommands(parser, setExitCode);
    addOperatorCommands(parser, setExitCode);
    addLogCommands(parser, setExitCode);
}
