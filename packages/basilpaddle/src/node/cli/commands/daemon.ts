import {
    type DaemonExit,
    EarlyStopSignals,
    resolveSettings,
    serveUntilStopped,
    startControl,
    startEntry,
} from "../../daemon/start/index.js";
import type { Settings } from "../../protocol/index.js";
import { createLogger, describeCode, type Logger } from "../../utils/index.js";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { Output } from "../output.js";

/** Runs a daemon until it is stopped or fails. */
export async function run(role: Settings["role"], args: { readonly settings: string; }): Promise<ExitCode> {
    const resolved = await resolveSettings(args.settings);
    return resolved.caseOf<Promise<ExitCode> | ExitCode>({
        Left: findings => {
            Output.create(false).findings(findings);
            return exitCodes.findings;
        },
        Right: settings => {
            if (settings.role === role) {
                return serve(settings);
            }
            const cause = `is for the role ${settings.role}, but the command is ${role}`;
            Output.create(false).findings([{ file: args.settings, place: "role", cause }]);
            return exitCodes.findings;
        },
    });
}

async function serve(settings: Settings): Promise<ExitCode> {
    const logger = createLogger(settings.name, settings.log.level);
    logger.info("starting", { role: settings.role, ...describeCode() });
    const early = EarlyStopSignals.create();
    const daemon = await start(settings, logger);
    if (daemon === undefined) {
        return exitCodes.failed;
    }
    const code = exitCodeOf(await serveUntilStopped(daemon, logger, process, early.take()));
    logger.info("ended", { exitCode: code });
    // Pending work, such as a connection attempt to an unreachable host, must not keep the process of a stopped daemon alive.
    setImmediate(() => process.exit(code));
    return code;
}

async function start(settings: Settings, logger: Logger) {
    try {
        return settings.role === "control" ? await startControl(settings, logger) : await startEntry(settings, logger);
    }
    catch (error) {
        logger.fatal("the daemon can't start", { error });
        return undefined;
    }
}

function exitCodeOf(end: DaemonExit): ExitCode {
    switch (end.kind) {
        case "stopped":
            return exitCodes.done;
        case "cutOff":
            return exitCodes.cutOff;
        case "failed":
            return exitCodes.failed;
    }
}
