import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";
import { table } from "../output.js";

/** Arguments of `audit`. */
export type AuditArguments = OperatorArguments & {
    readonly limit: number;
    readonly before: number | undefined;
    readonly topic: string | undefined;
};

/** Shows the audit trail, newest entries first. */
export function run({ limit, before, topic, ...args }: AuditArguments): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(
                context,
                "audit",
                await context.client.read("audit", { limit, before, topic }),
                ({ entries }) =>
                    table(
                        ["index", "at", "who", "action", "subject", "revision", "outcome", "note"],
                        entries.map(entry => [
                            entry.index,
                            new Date(entry.at).toISOString(),
                            entry.who,
                            entry.action,
                            entry.subject,
                            entry.revision,
                            entry.outcome,
                            entry.note ?? "",
                        ]),
                    ),
            ),
    );
}
