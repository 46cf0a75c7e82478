import { type AllowanceWindow, summariseAllowances } from "../allowanceSummary.js";
import { type ExitCode, exitCodes } from "../exitCode.js";
import { readLogFiles } from "../logFiles.js";
import { Output, table } from "../output.js";

/** Shows from log files in which span most of each organisation's allowance ran, and what granted it. */
export async function run(
    args: {
        readonly files: readonly string[];
        readonly window: number;
        readonly organisation?: string | undefined;
        readonly json: boolean;
    },
): Promise<ExitCode> {
    const output = Output.create(args.json);
    const read = await readLogFiles(args.files, output);
    if (read === undefined) {
        return exitCodes.failed;
    }
    const organisations = summariseAllowances(read.lines, args);
    const { unread } = read;
    output.result({ kind: "allowances", organisations, unread }, () => organisations.flatMap(formatWindow));
    return exitCodes.done;
}

function formatWindow({ organisation, from, ran, decisions }: AllowanceWindow): string[] {
    const rows = decisions.map(({ by, granted, refunded, refused }) => [by, granted, refunded, refused]);
    return [
        `${organisation}: ${ran} units ran of requests that arrived from ${from} on`,
        ...table(["decided by", "granted", "refunded of it", "refused"], rows),
    ];
}
