import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";

/** Marks the current incarnation of a backend server as `leaving`, as if it had sent a leave message. */
export function run(
    args: OperatorArguments & { readonly name: string; readonly operator: string; },
): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(context, "drained", await context.client.drain(args.name, args.operator), answer => [
                `${answer.backend} (incarnation ${answer.incarnation}) gets no new work; its running requests are completed`,
            ]),
    );
}
