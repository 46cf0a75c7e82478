import { type ExitCode, exitCodes } from "../exitCode.js";
import { type OperatorArguments, withClient } from "../operatorCommand.js";

/** Prints the metrics of the queried daemon. */
export function run(args: OperatorArguments): Promise<ExitCode> {
    return withClient(args, async ({ client, output }) => {
        const text = await client.metrics();
        return text.caseOf<ExitCode>({
            Left: failure => {
                output.problem(failure);
                return exitCodes.unreachable;
            },
            Right: metrics => {
                output.result({ kind: "metrics", samples: parseSamples(metrics) }, () => [metrics.trimEnd()]);
                return exitCodes.done;
            },
        });
    });
}

function parseSamples(text: string): { readonly series: string; readonly value: number; }[] {
    return text.split("\n").filter(line => line !== "" && !line.startsWith("#")).map(line => {
        const end = line.lastIndexOf(" ");
        return { series: line.slice(0, end), value: Number(line.slice(end + 1)) };
    });
}
