import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";
import { table } from "../output.js";

const millisecondsInSecond = 1_000;

/** Lists the requests and parts of prompts that are quarantined because backend servers crashed while running them. */
export function run(args: OperatorArguments): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(context, "held", await context.client.read("held"), ({ requests }) => {
                const rows = requests.map(({ digest, left, crashes }) => [
                    digest,
                    `${Math.round(left / millisecondsInSecond)} s`,
                    crashes.map(({ server, age }) => `${server} ${Math.round(age / millisecondsInSecond)} s ago`).join(
                        ", ",
                    ),
                ]);
                return rows.length === 0
                    ? ["no request and no part of prompts is quarantined"]
                    : table([
                        "request or part of prompts",
                        "time left",
                        "backend servers that crashed while running it",
                    ], rows);
            }),
    );
}
