import { readFile } from "node:fs/promises";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { explain, type Explanation, readLogLines } from "../explanation.js";
import { Output } from "../output.js";

/** Tells from log files how a request ended and what was believed around it. */
export async function run(
    given: { readonly request: string; readonly files: readonly string[]; readonly json: boolean; },
): Promise<ExitCode> {
    const output = Output.create(given.json);
    let texts: readonly string[];
    try {
        texts = await Promise.all(given.files.map(file => readFile(file, "utf8")));
    }
    catch (error) {
        output.problem({ kind: "unreadable", message: (error as Error).message });
        return exitCodes.failed;
    }
    const { lines, unread } = readLogLines(texts);
    const attempts = explain(lines, given.request);
    if (attempts.length === 0) {
        const message = `none of ${lines.length} lines tells of ${given.request}; ${unread} weren't log lines`;
        output.problem({ kind: "unknown", message });
        return exitCodes.refused;
    }
    output.result({ kind: "explained", attempts, unread }, () => attempts.flatMap(written));
    return exitCodes.done;
}

function written(attempt: Explanation): string[] {
    const { request, gateway, arrivedAt, milliseconds, end, cause, path, beliefs } = attempt;
    return [
        `${request} came to ${gateway} at ${arrivedAt} and ended after ${milliseconds} ms: ${end} (${cause})`,
        "decided on the way:",
        ...path.map(step => `  ${step}`),
        "believed around that time (milliseconds from its arrival):",
        ...beliefs.map(({ after, daemon, message, facts }) => {
            return `  ${String(after).padStart(7)} ${daemon}: ${message} ${JSON.stringify(facts)}`;
        }),
    ];
}
