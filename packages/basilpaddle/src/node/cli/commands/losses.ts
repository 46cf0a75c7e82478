import { type ExitCode, exitCodes } from "../exitCode.js";
import { readLogFiles } from "../logFiles.js";
import { accountOf, type LossAccount, type LossOptions } from "../lossAccount.js";
import { Output, table } from "../output.js";

/** Tells from log files where requests lost time or failed, by cause. */
export async function run(
    given: LossOptions & { readonly files: readonly string[]; readonly json: boolean; },
): Promise<ExitCode> {
    const output = Output.create(given.json);
    const read = await readLogFiles(given.files, output);
    if (read === undefined) {
        return exitCodes.failed;
    }
    const { lines, unread } = read;
    const account = accountOf(lines, given);
    output.result({ kind: "losses", ...account, unread }, () => written(account));
    return exitCodes.done;
}

function written(account: LossAccount): string[] {
    const { requests, whole, losses, promptsRead, readInVain } = account;
    const rows = losses.map(({ kind, cause, count, servers, moments }) => [
        count,
        kind,
        cause,
        servers.map(server => `${server.id} ${server.count}`).join(", "),
        moments.map(({ from, count: times }) => `${from.slice(11, 19)} ${times}`).join(", "),
    ]);
    return [
        `${requests} requests ended, ${whole} of them answered in time; ${readInVain} of ${promptsRead} prompts were read in vain`,
        ...table(["count", "kind", "cause", "asked last", "most often in the time from"], rows),
    ];
}
