import { z } from "zod";

/** Milliseconds before a request's arrival in which what its gateway, or others of its engines, came to believe is shown. */
const beliefsBefore = 10_000;
/** Milliseconds after its end: a directory may learn of an engine's end a little later than the request. */
const beliefsAfter = 1_000;
/** Text of the line in which a gateway says how a request ended. */
const requestMessage = "request";
/** Texts of the lines that tell of one request and of nothing else. */
const requestMessages: ReadonlySet<string> = new Set([requestMessage, "request turned away"]);

const lineSchema = z.looseObject({ at: z.iso.datetime(), daemon: z.string(), message: z.string() });
const requestSchema = z.looseObject({
    request: z.string(),
    end: z.string().optional(),
    cause: z.string().optional(),
    milliseconds: z.number(),
    path: z.array(z.string()).default([]),
});

/** One line of a daemon's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** One line that bears on a request. */
export type ExplainedLine = {
    /** Milliseconds from the request's arrival at its gateway. */
    readonly after: number;
    readonly daemon: string;
    readonly message: string;
    /** Everything else that the line says. */
    readonly facts: Readonly<Record<string, unknown>>;
};

/** One attempt of a request, with what bears on it. */
export type Explanation = {
    readonly request: string;
    readonly gateway: string;
    readonly arrivedAt: string;
    readonly milliseconds: number;
    readonly end: string;
    readonly cause: string;
    /** What was decided on the way, in order. */
    readonly path: readonly string[];
    /** What its gateway and its backend servers' hearers came to believe around that time, in order. */
    readonly beliefs: readonly ExplainedLine[];
};

/** Reads log lines; what isn't one (a stack trace, a line cut by a crash) is counted and passed over. */
export function readLogLines(
    texts: readonly string[],
): { readonly lines: readonly LogLine[]; readonly unread: number; } {
    const lines: LogLine[] = [];
    let unread = 0;
    for (const text of texts.flatMap(whole => whole.split("\n")).filter(line => line.trim() !== "")) {
        // A collector may have put its own time or a host's name before the line.
        const parsed = lineSchema.safeParse(jsonFrom(text.slice(Math.max(0, text.indexOf("{")))));
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

/** Explains every end of the request that the lines tell of. */
export function explain(lines: readonly LogLine[], request: string): Explanation[] {
    return lines
        .filter(line => line.message === requestMessage && line.request === request)
        .map(line => explainOne(lines, line));
}

function explainOne(lines: readonly LogLine[], line: LogLine): Explanation {
    const { request, end = "open", cause = "", milliseconds, path } = requestSchema.parse(line);
    const endedAt = Date.parse(line.at);
    const arrivedAt = endedAt - milliseconds;
    const servers = serversOf(path);
    const bears = (other: LogLine): boolean => {
        const at = Date.parse(other.at);
        const near = at >= arrivedAt - beliefsBefore && at <= endedAt + beliefsAfter;
        const isOwn = other.daemon === line.daemon;
        // What speaks against a request may have come about hours before, under another of its attempts.
        const isSame = line.content !== undefined && other.content === line.content;
        return !requestMessages.has(other.message) && (isSame || near && (isOwn || namesOne(other, servers)));
    };
    const beliefs = lines.filter(bears).map(({ at, daemon, message, ...facts }) => {
        return { after: Date.parse(at) - arrivedAt, daemon, message, facts };
    });
    const arrived = new Date(arrivedAt).toISOString();
    return { request, gateway: line.daemon, arrivedAt: arrived, milliseconds, end, cause, path, beliefs };
}

/** Backend servers that a path names: `read ID ...` and `run ID ...` of streams, `ID outcome ...` of plain requests. */
function serversOf(path: readonly string[]): ReadonlySet<string> {
    const own = new Set(["placed", "first", "refused", "heldBack", "pause"]);
    const names = path.map(step => step.split(" ")).filter(([first = ""]) => !own.has(first));
    return new Set(names.map(([first = "", second = ""]) => first === "read" || first === "run" ? second : first));
}

function namesOne(line: LogLine, servers: ReadonlySet<string>): boolean {
    return ["id", "engine", "expected", "instance"].some(field => servers.has(String(line[field])));
}

function jsonFrom(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Not a log line: the caller counts it.
        return undefined;
    }
}
