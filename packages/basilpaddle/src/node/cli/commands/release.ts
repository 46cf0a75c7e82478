import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";

/** Releases a request from quarantine. */
export function run(
    args: OperatorArguments & { readonly request: string; readonly operator: string; },
): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(context, "released", await context.client.release(args.request, args.operator), answer => [
                answer.wasSuspected
                    ? `${answer.digest} is released; all daemons allow it again within about a second`
                    : `this daemon has no crash records of ${answer.digest}`,
            ]),
    );
}
