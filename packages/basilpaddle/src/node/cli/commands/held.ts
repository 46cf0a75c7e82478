import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, show, withClient } from "../operatorCommand.js";
import { table } from "../output.js";

const millisecondsInSecond = 1_000;

/** Shows which requests are held back since backend servers ended under them. */
export function run(given: OperatorArguments): Promise<ExitCode> {
    return withClient(
        given,
        async context =>
            show(context, "held", await context.client.read("held"), ({ requests }) => {
                const rows = requests.map(({ digest, left, crashes }) => [
                    digest,
                    `${Math.round(left / millisecondsInSecond)} s`,
                    crashes.map(({ server, age }) => `${server} ${Math.round(age / millisecondsInSecond)} s ago`).join(
                        ", ",
                    ),
                ]);
                return rows.length === 0
                    ? ["no request is held back"]
                    : table(["request", "for", "backend servers that ended under it"], rows);
            }),
    );
}
