import { initialiseControl } from "../../daemon/control/index.js";
import { resolveSettings } from "../../daemon/start/index.js";
import type { Settings } from "../../protocol/index.js";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { Output } from "../output.js";

/** Arguments of `init`. */
export type InitArguments = {
    readonly settings: string;
    readonly cluster: string;
    readonly json: boolean;
};

/** Initialises the empty data folder of a control daemon of a new deployment. */
export async function run(args: InitArguments): Promise<ExitCode> {
    const output = Output.create(args.json);
    const resolved = await resolveSettings(args.settings);
    return resolved.caseOf<Promise<ExitCode> | ExitCode>({
        Left: findings => {
            output.findings(findings);
            return exitCodes.findings;
        },
        Right: settings => initialise(settings, args, output),
    });
}

async function initialise(settings: Settings, args: InitArguments, output: Output): Promise<ExitCode> {
    if (settings.role !== "control") {
        const cause = `is for the role ${settings.role}; only a control daemon has a data folder`;
        output.findings([{ file: args.settings, place: "role", cause }]);
        return exitCodes.findings;
    }
    try {
        const names = settings.controls.map(control => control.name);
        const identity = await initialiseControl(settings, args.cluster);
        output.result({ kind: "initialised", dataFolder: settings.dataFolder, ...identity }, () => [
            `${settings.dataFolder} is ready for ${identity.identity}, one of ${names.join(", ")}`,
        ]);
        return exitCodes.done;
    }
    catch (error) {
        output.problem({ kind: "refused", message: (error as Error).message });
        return exitCodes.refused;
    }
}
