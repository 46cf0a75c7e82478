import { type ExitCode, exitCodes } from "../exitCode.js";
import { readLogFiles } from "../logFiles.js";
import { type LossOptions, type LossSummary, summariseLosses, summariseRouteLosses } from "../lossSummary.js";
import { Output, table } from "../output.js";

/** Summarises from log files, by cause, which requests were late or failed. */
export async function run(
    args: LossOptions & { readonly files: readonly string[]; readonly byRoute: boolean; readonly json: boolean; },
): Promise<ExitCode> {
    const output = Output.create(args.json);
    const read = await readLogFiles(args.files, output);
    if (read === undefined) {
        return exitCodes.failed;
    }
    const { lines, unread } = read;
    const summary = summariseLosses(lines, args);
    const routes = args.byRoute ? summariseRouteLosses(lines, args) : undefined;
    output.result({ kind: "losses", ...summary, routes, unread }, () => [
        ...formatSummary(summary),
        ...(routes ?? []).flatMap(route => ["", `route ${route.route}`, ...formatSummary(route)]),
    ]);
    return exitCodes.done;
}

function formatSummary(summary: LossSummary): string[] {
    const { requests, whole, losses, promptsRead, readInVain, retries } = summary;
    const rows = losses.map(({ kind, cause, count, servers, moments }) => [
        count,
        kind,
        cause,
        servers.map(server => `${server.id} ${server.count}`).join(", "),
        moments.map(({ from, count: momentCount }) => `${from.slice(11, 19)} ${momentCount}`).join(", "),
    ]);
    return [
        `${requests} requests ended, ${whole} of them answered in time; ${readInVain} of ${promptsRead} prefills were wasted`,
        `${retries.count} were retried after a refusal: ${retries.answered} answered, ${retries.refusedAgain} refused again`,
        ...table(["count", "kind", "cause", "last backend servers", "most frequent time slices from"], rows),
    ];
}
