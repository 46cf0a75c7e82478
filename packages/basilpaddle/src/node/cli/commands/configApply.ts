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
export async function run(given: ApplyArguments): Promise<ExitCode> {
    const loaded = await loadConfiguration(given.dir);
    return loaded.caseOf<Promise<ExitCode> | ExitCode>({
        Left: findings => {
            Output.create(given.json).findings(findings);
            return exitCodes.findings;
        },
        Right: configuration => withClient(given, context => apply(context, given, configuration)),
    });
}

async function apply(context: OperatorContext, given: ApplyArguments, configuration: Configuration): Promise<ExitCode> {
    const { operator, note } = given;
    const files = [...configuration.files];
    const base = given.base ?? await readBase(context, { operator, note, files });
    if (typeof base !== "number") {
        return base.exitCode;
    }
    const changeId = given.changeId ?? changeIdentifier({ operator, base, note, files });
    const change: PostedChange = { changeId, operator, base, note, files };
    // After a lost answer the change may have been accepted; its identifier makes sending it again idempotent.
    const first = await context.client.apply(change);
    const wasLost = first.swap().toMaybe().extract()?.kind === "lost";
    const answer = wasLost ? await context.client.apply(change) : first;
    return answer.caseOf<ExitCode>({
        Left: failure => {
            context.output.problem({
                kind: wasLost ? "undecided" : failure.kind,
                message: wasLost
                    ? `${failure.message}; it isn't known whether change ${changeId} was accepted: run the same command again`
                    : failure.message,
            });
            return wasLost ? exitCodes.undecided : exitCodes.unreachable;
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
            output.problem({ kind: result.kind, message: `the change was answered with ${result.kind}` });
            return exitCodes.failed;
    }
}
