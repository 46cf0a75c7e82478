import { type ExitCode, exitCodes } from "../exitCode.js";
import { explain, type Explanation } from "../explanation.js";
import { readLogFiles } from "../logFiles.js";
import { Output } from "../output.js";

/** Explains from log files how a request ended, with the related log lines. */
export async function run(
    args: { readonly request: string; readonly files: readonly string[]; readonly json: boolean; },
): Promise<ExitCode> {
    const output = Output.create(args.json);
    const read = await readLogFiles(args.files, output);
    if (read === undefined) {
        return exitCodes.failed;
    }
    const { lines, unread } = read;
    const attempts = explain(lines, args.request);
    if (attempts.length === 0) {
        const message =
            `none of ${lines.length} log lines reports the end of request ${args.request}; ${unread} lines couldn't be parsed`;
        output.problem({ kind: "unknown", message });
        return exitCodes.refused;
    }
    output.result({ kind: "explained", attempts, unread }, () => attempts.flatMap(formatAttempt));
    return exitCodes.done;
}

function formatAttempt(attempt: Explanation): string[] {
    const { request, gateway, arrivedAt, milliseconds, end, cause, path, beliefs } = attempt;
    return [
        `${request} arrived at ${gateway} at ${arrivedAt} and ended after ${milliseconds} ms: ${end} (${cause})`,
        "steps:",
        ...path.map(step => `  ${step}`),
        "related log lines (milliseconds since its arrival):",
        ...beliefs.map(({ after, daemon, message, facts }) => {
            return `  ${String(after).padStart(7)} ${daemon}: ${message} ${JSON.stringify(facts)}`;
        }),
    ];
}
