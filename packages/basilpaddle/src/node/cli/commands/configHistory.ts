import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";
import { table } from "../output.js";

/** Lists the accepted changes, newest first. */
export function run(args: OperatorArguments & { readonly limit: number; }): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(
                context,
                "history",
                await context.client.read("history", { limit: args.limit }),
                ({ entries }) =>
                    table(
                        ["revision", "at", "operator", "change", "files", "note"],
                        entries.map(entry => [
                            entry.revision,
                            new Date(entry.at).toISOString(),
                            entry.operator,
                            entry.changeId,
                            entry.files.length,
                            entry.note,
                        ]),
                    ),
            ),
    );
}
