import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, show, withClient } from "../operatorCommand.js";

/** Lets a request run again that is held back. */
export function run(
    given: OperatorArguments & { readonly request: string; readonly operator: string; },
): Promise<ExitCode> {
    return withClient(
        given,
        async context =>
            show(context, "released", await context.client.release(given.request, given.operator), answer => [
                answer.wasSuspected
                    ? `${answer.digest} may run again, at every daemon within a second or so`
                    : `nothing was held against ${answer.digest} at this daemon`,
            ]),
    );
}
