import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";

/** Shows the configuration in force. */
export function run(args: OperatorArguments): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(context, "configuration", await context.client.read("config"), answer => [
                `revision ${answer.revision}` + (answer.revision === 0
                    ? " (no change was applied yet)"
                    : ` by ${answer.operator}, change ${answer.changeId}`),
                ...answer.files.map(file => `from ${file.name}`),
                JSON.stringify(answer.declaration, undefined, 4),
            ]),
    );
}
