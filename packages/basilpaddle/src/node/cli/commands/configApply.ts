import type { OperatorAnswer, PostedChange } from "../../daemon/operators/index.js";
import { type Configuration, loadConfiguration } from "../../state/index.js";
import { changeIdentifier, defaultBase } from "../changeIdentifier.js";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { type OperatorArguments, type OperatorContext, reportUnexpected, withClient } from "../operatorCommand.js";
import { Output } from "../output.js";

/** Arguments of `config apply`. */
export type ApplyArguments = OperatorArguments & {
    readonly dir: string;
    readonly operator: string;
    readonly base: number | undefined;
    readonly changeId: string | undefined;
    readonly note: string;
};

/** Sends the configuration folder as a change, and waits until it is in force. */
export async function run(args: ApplyArguments): Promise<ExitCode> {
    const loaded = await loadConfiguration(args.dir);
    return loaded.caseOf<Promise<ExitCode> | ExitCode>({
        Left: findings => {
            Output.create(args.json).findings(findings);
            return exitCodes.findings;
        },
        Right: configuration => withClient(args, context => apply(context, args, configuration)),
    });
}

async function apply(context: OperatorContext, args: ApplyArguments, configuration: Configuration): Promise<ExitCode> {
    const { operator, note } = args;
    const files = [...configuration.files];
    const base = args.base ?? await readBase(context, { operator, note, files });
    if (typeof base !== "number") {
        return base.exitCode;
    }
    const changeId = args.changeId ?? changeIdentifier({ operator, base, note, files });
    const change: PostedChange = { changeId, operator, base, note, files };
    // After a lost answer the change may have been accepted; its identifier makes sending it again idempotent.
    const firstAnswer = await context.client.apply(change);
    const firstAnswerWasLost = firstAnswer.swap().toMaybe().extract()?.kind === "lost";
    const answer = firstAnswerWasLost ? await context.client.apply(change) : firstAnswer;
    return answer.caseOf<ExitCode>({
        Left: failure => {
            context.output.problem({
                kind: firstAnswerWasLost ? "undecided" : failure.kind,
                message: firstAnswerWasLost
                    ? `${failure.message}; it isn't known whether change ${changeId} was accepted: run the same command again`
                    : failure.message,
            });
            return firstAnswerWasLost ? exitCodes.undecided : exitCodes.unreachable;
        },
        Right: value => reportResult(context, value, changeId),
    });
}

async function readBase(
    { client, output }: OperatorContext,
    content: Pick<PostedChange, "operator" | "note" | "files">,
): Promise<number | { readonly exitCode: ExitCode; }> {
    const inForce = await client.read("config");
    return inForce.caseOf<number | { readonly exitCode: ExitCode; }>({
        Left: failure => {
            output.problem(failure);
            return { exitCode: exitCodes.unreachable };
        },
        Right: value =>
            value.kind === "configuration"
                ? defaultBase(value, content)
                : { exitCode: reportUnexpected(output, value) },
    });
}

function reportResult({ output }: OperatorContext, answer: OperatorAnswer, changeId: string): ExitCode {
    if (answer.kind !== "applied") {
        return reportUnexpected(output, answer);
    }
    const { result, daemons } = answer;
    switch (result.kind) {
        case "accepted":
            output.result({ ...answer, changeId }, () => [
                `revision ${result.revision} is accepted and in force (${
                    daemons.join(", ") || "no entry daemon is up"
                })`,
            ]);
            return exitCodes.done;
        case "conflict": {
            const { operator, changeId: winner } = result.winner;
            output.problem({
                ...result,
                message:
                    `conflict: revision ${result.revision} is ${operator}'s change ${winner}; nothing was changed. `
                    + "Look at `basilpaddle config show`, then apply again.",
            });
            return exitCodes.conflict;
        }
        default:
            output.problem({ kind: result.kind, message: `unexpected result of the change: ${result.kind}` });
            return exitCodes.failed;
    }
}
