import { loadConfiguration } from "../../state/index.js";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { Output } from "../output.js";

/** Checks a configuration folder without contacting a daemon. */
export async function run(args: { readonly dir: string; readonly json: boolean; }): Promise<ExitCode> {
    const output = Output.create(args.json);
    const loaded = await loadConfiguration(args.dir);
    return loaded.caseOf<ExitCode>({
        Left: findings => {
            output.findings(findings);
            return exitCodes.findings;
        },
        Right: ({ declaration, files, ignored }) => {
            const names = files.map(file => file.name);
            output.result({ kind: "checked", files: names, ignored, declaration }, () => [
                `${names.length} files are valid: ${names.join(", ")}`,
                ...(ignored.length > 0 ? [`ignored: ${ignored.join(", ")}`] : []),
                `pools: ${joinNames(declaration.pools)}`,
                `services: ${joinNames(declaration.services)}`,
                `routes: ${declaration.routes.map(route => route.name).join(", ") || "none"}`,
                `organisations: ${joinNames(declaration.organisations)}`,
            ]);
            return exitCodes.done;
        },
    });
}

function joinNames(entries: Readonly<Record<string, unknown>>): string {
    return Object.keys(entries).join(", ") || "none";
}
