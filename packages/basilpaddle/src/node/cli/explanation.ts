import { z } from "zod";

/** How long before a request's arrival log lines of its gateway, or about its backend servers, count as related. */
const relatedBeforeMilliseconds = 10_000;
/** How long after its end they count as related: a directory may detect the end of an engine a little later than the gateway. */
const relatedAfterMilliseconds = 1_000;
/** Message of the log line in which a gateway reports how a request ended. */
const requestMessage = "request";
/** Message of the log line of a request that a gateway refused before it looked for a backend server. */
export const turnedAwayMessage = "request turned away";
/** Messages of the log lines in which a daemon reports what it has learnt of a backend server, or of several. */
const serverStateMessage = "the known state of a backend server changed";
const announcedServersMessage = "a directory announced backend servers";
/** Messages of log lines that concern only one request. */
const requestMessages: ReadonlySet<string> = new Set([requestMessage, turnedAwayMessage]);

const lineSchema = z.looseObject({ at: z.iso.datetime(), daemon: z.string(), message: z.string() });
const requestSchema = z.looseObject({
    request: z.string(),
    end: z.string().optional(),
    cause: z.string().optional(),
    /** Status of a request that was turned away at once. */
    status: z.number().optional(),
    milliseconds: z.number().default(0),
    path: z.array(z.string()).default([]),
});

/** One line of a daemon's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** One log line that is related to a request. */
export type RelatedLine = {
    /** Milliseconds since the request's arrival at its gateway; negative before it. */
    readonly after: number;
    readonly daemon: string;
    readonly message: string;
    /** All other fields of the line. */
    readonly facts: Readonly<Record<string, unknown>>;
};

/** One attempt of a request, with its related log lines. */
export type Explanation = {
    readonly request: string;
    readonly gateway: string;
    readonly arrivedAt: string;
    readonly milliseconds: number;
    readonly end: string;
    readonly cause: string;
    /** The steps of the attempt, in order. */
    readonly path: readonly string[];
    /** Related log lines in order: those of its gateway and of its relays around that time, of any daemon about its backend servers, what its gateway last learnt of these, and about the same content. */
    readonly beliefs: readonly RelatedLine[];
};

/** Parses log lines. Lines in another form, such as stack traces or a line truncated by a crash, are skipped and counted. */
export function readLogLines(
    texts: readonly string[],
): { readonly lines: readonly LogLine[]; readonly unread: number; } {
    const lines: LogLine[] = [];
    let unread = 0;
    for (const text of texts.flatMap(content => content.split("\n")).filter(line => line.trim() !== "")) {
        // A log collector may have put its own time or a host's name in front of the line.
        const parsed = lineSchema.safeParse(parseJson(text.slice(Math.max(0, text.indexOf("{")))));
        if (parsed.success) {
            lines.push(parsed.data);
        }
        else {
            unread += 1;
        }
    }
    lines.sort((one, other) => Date.parse(one.at) - Date.parse(other.at));
    return { lines, unread };
}

/** Explains each attempt of the request whose end is logged in the lines. */
export function explain(lines: readonly LogLine[], request: string): Explanation[] {
    return lines
        .filter(line => requestMessages.has(line.message) && line.request === request)
        .map(line => explainAttempt(lines, line));
}

function explainAttempt(lines: readonly LogLine[], line: LogLine): Explanation {
    const { request, status, cause = "", milliseconds, path, ...parsed } = requestSchema.parse(line);
    const end = parsed.end ?? (status === undefined ? "open" : `turned away with ${status}`);
    const endedAt = Date.parse(line.at);
    const arrivedAt = endedAt - milliseconds;
    const servers = serversInPath(path);
    const relays = new Set(path.flatMap(step => / via (\S+)/.exec(step)?.[1] ?? []));
    const lastStates = new Set([...servers].map(server => {
        return lines.findLast(other => {
            return other.daemon === line.daemon && tellsStateOf(other, server) && Date.parse(other.at) <= endedAt;
        });
    }));
    const contents: readonly unknown[] = [line.content ?? [], line.promptParts ?? []].flat();
    const isRelated = (other: LogLine): boolean => {
        const at = Date.parse(other.at);
        const isNear = at >= arrivedAt - relatedBeforeMilliseconds && at <= endedAt + relatedAfterMilliseconds;
        const isSameDaemon = other.daemon === line.daemon || relays.has(other.daemon);
        // Crashes that quarantine a request, or a part of its prompt, may have happened hours before, during other attempts.
        const hasSameContent = contents.includes(other.content);
        return !requestMessages.has(other.message)
            && (hasSameContent || lastStates.has(other) || isNear && (isSameDaemon || namesAnyServer(other, servers)));
    };
    const relatedLines = lines.filter(isRelated).map(({ at, daemon, message, ...facts }) => {
        return { after: Date.parse(at) - arrivedAt, daemon, message, facts };
    });
    const arrived = new Date(arrivedAt).toISOString();
    return { request, gateway: line.daemon, arrivedAt: arrived, milliseconds, end, cause, path, beliefs: relatedLines };
}

/** Backend servers that a path names: `read ID ...` and `run ID ...` of streams, `ID outcome ...` of plain requests. */
function serversInPath(path: readonly string[]): ReadonlySet<string> {
    const stepsWithoutServer = new Set(["placed", "first", "refused", "heldBack", "pause", "resumes", "bound"]);
    const stepWords = path.map(step => step.split(" ")).filter(([first = ""]) => !stepsWithoutServer.has(first));
    return new Set(stepWords.map(([first = "", second = ""]) => first === "read" || first === "run" ? second : first));
}

/** Whether the line tells what its daemon learnt of a backend server: `id`, or an entry of `servers`, "ID STATE SEQUENCE". */
function tellsStateOf({ message, id, servers }: LogLine, server: string): boolean {
    return (message === serverStateMessage && id === server)
        || (message === announcedServersMessage && Array.isArray(servers)
            && servers.some(entry => String(entry).startsWith(`${server} `)));
}

function namesAnyServer(line: LogLine, servers: ReadonlySet<string>): boolean {
    return ["id", "engine", "expected", "instance"].some(field => servers.has(String(line[field])));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Not a log line; the caller counts it.
        return undefined;
    }
}
