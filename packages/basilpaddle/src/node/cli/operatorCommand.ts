import type { Either } from "purify-ts";
import type { OperatorAnswer } from "../daemon/operators/index.js";
import { type ExitCode, exitCodes } from "./exitCode.js";
import { type ClientFailure, OperatorClient } from "./operatorClient.js";
import { Output } from "./output.js";

/** Arguments common to all commands that query a daemon. */
export type OperatorArguments = {
    readonly at: string;
    readonly timeout: number;
    readonly json: boolean;
};

/** Client and output of a command. */
export type OperatorContext = {
    readonly client: OperatorClient;
    readonly output: Output;
};

/** Runs a command with a client of a daemon's operators' interface, which is closed afterwards. */
export async function withClient(
    args: OperatorArguments,
    run: (context: OperatorContext) => Promise<ExitCode>,
): Promise<ExitCode> {
    const client = OperatorClient.create(args.at, args.timeout);
    try {
        return await run({ client, output: Output.create(args.json) });
    }
    finally {
        await client.close();
    }
}

/** Prints the answer if it is of the expected kind, otherwise the failure, and returns the exit code. */
export async function showAnswer<K extends OperatorAnswer["kind"]>(
    { output }: OperatorContext,
    kind: K,
    answer: Either<ClientFailure, OperatorAnswer>,
    lines: (answer: Extract<OperatorAnswer, { kind: K; }>) => readonly string[],
): Promise<ExitCode> {
    return answer.caseOf<ExitCode>({
        Left: failure => {
            output.problem(failure);
            return exitCodes.unreachable;
        },
        Right: value => {
            if (value.kind === kind) {
                const expected = value as Extract<OperatorAnswer, { kind: K; }>;
                output.result(expected, () => lines(expected));
                return exitCodes.done;
            }
            return reportUnexpected(output, value);
        },
    });
}

/** Reports a failure, or an answer of another kind than expected, and returns the exit code. */
export function reportUnexpected(output: Output, answer: OperatorAnswer): ExitCode {
    if (answer.kind !== "failure") {
        output.problem({ kind: "failure", message: `unexpected answer of kind ${answer.kind} from the daemon` });
        return exitCodes.failed;
    }
    if (answer.findings !== undefined) {
        output.findings(answer.findings);
        return exitCodes.findings;
    }
    output.problem(answer);
    switch (answer.code) {
        case "undecided":
            return exitCodes.undecided;
        case "unreachable":
        case "notLeader":
            return exitCodes.unreachable;
        case "badRequest":
        case "findings":
            return exitCodes.findings;
        default:
            return exitCodes.refused;
    }
}
