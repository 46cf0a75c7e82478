import { z } from "zod";
import { type LogLine, turnedAwayMessage } from "./explanation.js";

/** Message of the log line in which a gateway reports how a request ended. */
const requestMessage = "request";

const turnedAwaySchema = z.looseObject({ status: z.number(), cause: z.string().default("") });

const requestSchema = z.looseObject({
    end: z.string().default("open"),
    cause: z.string().default(""),
    milliseconds: z.number(),
    path: z.array(z.string()).default([]),
    route: z.string().default(""),
    content: z.string().default(""),
});
type RequestLine = z.infer<typeof requestSchema>;

/** One step in the path of a request, as logged by its gateway. */
type PathStep = {
    readonly kind: "placed" | "refused" | "read" | "run" | "first" | "pause" | "heldBack" | "other";
    /** The component that placed the request, or the backend server of the step. */
    readonly by: string;
    readonly outcome: string;
    readonly milliseconds: number;
    readonly cause: string;
};

/** Requests that were late or unserved for the same cause. */
export type Loss = {
    /** `late`: answered, but too late or with a pause. `unserved`: not answered. */
    readonly kind: "late" | "unserved";
    readonly cause: string;
    readonly count: number;
    /** Backend servers of the last calls, most frequent first. */
    readonly servers: readonly { readonly id: string; readonly count: number; }[];
    /** Time slices in which these requests arrived, most frequent first. */
    readonly moments: readonly { readonly from: string; readonly count: number; }[];
};

/** Summary of late and unserved requests, by cause. */
export type LossSummary = {
    readonly requests: number;
    /** Requests that were answered in time and without a pause. */
    readonly whole: number;
    readonly losses: readonly Loss[];
    /** Completed prefills, and how many of them were wasted because no answer was completed with their result. */
    readonly promptsRead: number;
    readonly readInVain: number;
    readonly retries: RetriedRequests;
};

/** Requests whose content was sent again after a refusal, and how the last attempt ended. */
export type RetriedRequests = { readonly count: number; readonly answered: number; readonly refusedAgain: number; };

/** Losses of the requests of one route. */
export type RouteLosses = LossSummary & { readonly route: string; };

/** Thresholds for late requests, and the length of time slices. */
export type LossOptions = {
    /** Milliseconds to the first event of a stream, or to a plain answer, after which a request is late. */
    readonly streamTarget: number;
    readonly plainTarget: number;
    /** Length of one time slice in milliseconds. */
    readonly slice: number;
};

/** Maximum number of backend servers and time slices listed for each cause. */
const maxListed = 4;

/** Summarises the ends of requests route by route, the route with the most requests first. */
export function summariseRouteLosses(lines: readonly LogLine[], options: LossOptions): RouteLosses[] {
    const linesByRoute = new Map<string, LogLine[]>();
    for (const line of lines.filter(({ message }) => message === requestMessage)) {
        const route = requestSchema.safeParse(line).data?.route ?? "";
        const routeLines = linesByRoute.get(route) ?? [];
        linesByRoute.set(route, routeLines);
        routeLines.push(line);
    }
    return [...linesByRoute]
        .map(([route, routeLines]) => ({ route, ...summariseLosses(routeLines, options) }))
        .sort((one, other) => other.requests - one.requests);
}

/** Summarises the ends of requests in the log lines. */
export function summariseLosses(lines: readonly LogLine[], options: LossOptions): LossSummary {
    const entriesByCause = new Map<
        string,
        { readonly kind: Loss["kind"]; readonly servers: string[]; readonly moments: string[]; }
    >();
    let requests = 0;
    let answeredInTime = 0;
    let totalPrefills = 0;
    let wastedPrefills = 0;
    const recordLoss = (loss: Pick<Loss, "kind" | "cause">, server: string, arrivedAt: number): void => {
        const key = `${loss.kind} ${loss.cause}`;
        const entry = entriesByCause.get(key) ?? { kind: loss.kind, servers: [], moments: [] };
        entriesByCause.set(key, entry);
        entry.servers.push(server);
        entry.moments.push(sliceStart(arrivedAt, options.slice));
    };
    for (const line of lines.filter(({ message }) => message === turnedAwayMessage)) {
        const parsed = turnedAwaySchema.safeParse(line);
        if (parsed.success) {
            requests += 1;
            const cause = `turned away with ${parsed.data.status}: ${parsed.data.cause}`;
            recordLoss({ kind: "unserved", cause }, "none", Date.parse(line.at));
        }
    }
    for (const line of lines.filter(({ message }) => message === requestMessage)) {
        const parsed = requestSchema.safeParse(line);
        if (!parsed.success) {
            continue;
        }
        requests += 1;
        const steps = parsed.data.path.map(parseStep);
        const completedPrefills = steps.filter(({ kind, outcome }) => kind === "read" && outcome === "done").length;
        totalPrefills += completedPrefills;
        wastedPrefills += completedPrefills - Math.min(completedPrefills, parsed.data.end === "answered" ? 1 : 0);
        const loss = classifyLoss(parsed.data, steps, options);
        if (loss === undefined) {
            answeredInTime += 1;
            continue;
        }
        const lastServer = steps.findLast(({ kind }) => kind === "run" || kind === "read" || kind === "other")?.by;
        recordLoss(loss, lastServer ?? "none", Date.parse(line.at) - parsed.data.milliseconds);
    }
    const losses = [...entriesByCause].map(([key, { kind, servers, moments }]): Loss => ({
        kind,
        cause: key.slice(kind.length + 1),
        count: servers.length,
        servers: countValues(servers).slice(0, maxListed).map(([id, count]) => ({ id, count })),
        moments: countValues(moments).slice(0, maxListed).map(([from, count]) => ({ from, count })),
    }));
    losses.sort((one, other) => other.count - one.count);
    return {
        requests,
        whole: answeredInTime,
        losses,
        promptsRead: totalPrefills,
        readInVain: wastedPrefills,
        retries: countRetries(lines),
    };
}

function countRetries(lines: readonly LogLine[]): RetriedRequests {
    const endsByContent = new Map<string, string[]>();
    const sorted = lines.filter(({ message }) => message === requestMessage)
        .sort((one, other) => Date.parse(one.at) - Date.parse(other.at));
    for (const line of sorted) {
        const { content = "", end = "" } = requestSchema.safeParse(line).data ?? {};
        const ends = endsByContent.get(content);
        if (ends?.at(-1) === "refused") {
            ends.push(end);
        }
        else if (content !== "") {
            endsByContent.set(content, [end]);
        }
    }
    const lastEnds = [...endsByContent.values()].filter(({ length }) => length > 1).map(ends => ends.at(-1));
    return {
        count: lastEnds.length,
        answered: lastEnds.filter(end => end === "answered").length,
        refusedAgain: lastEnds.filter(end => end === "refused").length,
    };
}

function classifyLoss(
    request: RequestLine,
    steps: readonly PathStep[],
    options: LossOptions,
): { readonly kind: Loss["kind"]; readonly cause: string; } | undefined {
    if (request.end !== "answered") {
        const cause = request.end === "callerGone"
            ? `its caller left while ${stageAtDisconnect(steps)}`
            : withoutNumbers(request.cause);
        return { kind: "unserved", cause: `${request.end}: ${cause}` };
    }
    const first = steps.find(({ kind }) => kind === "first");
    if (steps.some(({ kind }) => kind === "pause")) {
        return { kind: "late", cause: "a pause within the stream" };
    }
    const duration = first?.milliseconds ?? request.milliseconds;
    const target = first === undefined ? options.plainTarget : options.streamTarget;
    return duration > target ? { kind: "late", cause: slowestPhase(steps) } : undefined;
}

/** The phase that took most of the time to the first event. */
function slowestPhase(steps: readonly PathStep[]): string {
    const phaseMilliseconds = new Map<string, number>();
    const firstAt = steps.findIndex(({ kind }) => kind === "first");
    for (const step of firstAt < 0 ? steps : steps.slice(0, firstAt)) {
        const name = phaseOf(step);
        phaseMilliseconds.set(name, (phaseMilliseconds.get(name) ?? 0) + step.milliseconds);
    }
    const first = steps[firstAt];
    if (first !== undefined) {
        const earlierMilliseconds = [...phaseMilliseconds.values()].reduce((sum, time) => sum + time, 0);
        phaseMilliseconds.set(
            "the run's own first event, its prompt read there or elsewhere",
            first.milliseconds - earlierMilliseconds,
        );
    }
    return [...phaseMilliseconds].sort(([, one], [, other]) => other - one)[0]?.[0] ?? "the backend server";
}

function phaseOf({ kind, outcome }: PathStep): string {
    switch (kind) {
        case "placed":
        case "refused":
            return "the wait for a place";
        case "read":
            return outcome === "done" ? "the reading of the prompt" : "a reading that failed";
        case "run":
            return `a run that was ${outcome === "turnedAway" ? "turned away" : outcome}`;
        default:
            return `a call that was ${outcome}`;
    }
}

/** The stage in which a request was when its caller disconnected. */
function stageAtDisconnect(steps: readonly PathStep[]): string {
    const last = steps.at(-1);
    if (last === undefined || last.kind === "placed" || last.kind === "refused") {
        return "it waited for a place";
    }
    if (steps.some(({ kind }) => kind === "first")) {
        return "its stream ran";
    }
    return last.kind === "read" ? "its prompt was read" : "it waited for its answer";
}

/** Parses a step: `placed BY MS`, `refused MS`, `first MS`, `pause MS`, `read ID OUTCOME MS`, `heldBack (SERVER AGE, ...)`, `run ID OUTCOME MS (CAUSE)`, `ID OUTCOME MS`. */
function parseStep(text: string): PathStep {
    const [words = "", cause = ""] = text.split(/ \((.*)\)$/s);
    const [first = "", second = "", third = "", fourth = ""] = words.split(" ");
    switch (first) {
        case "refused":
        case "first":
        case "pause":
            return { kind: first, by: "", outcome: "", milliseconds: Number(second) || 0, cause };
        case "heldBack":
            return { kind: "heldBack", by: "", outcome: "", milliseconds: 0, cause };
        case "placed":
            return { kind: "placed", by: second, outcome: "", milliseconds: Number(third) || 0, cause };
        case "read":
        case "run":
            return { kind: first, by: second, outcome: third, milliseconds: Number(fourth) || 0, cause };
        default:
            return { kind: "other", by: first, outcome: second, milliseconds: Number(third) || 0, cause };
    }
}

/**
 * Replaces the numbers in a cause, so that causes that differ only in numbers are counted together. The priority that
 * displaced a request is kept: it tells an operator whose requests took the capacity.
 */
function withoutNumbers(cause: string): string {
    return cause.replace(/(?<!gave way to rank \d*)\d+(\.\d+)?/g, "N");
}

function sliceStart(at: number, slice: number): string {
    return new Date(Math.floor(at / slice) * slice).toISOString();
}

function countValues(values: readonly string[]): [string, number][] {
    const counts = new Map<string, number>();
    values.forEach(value => counts.set(value, (counts.get(value) ?? 0) + 1));
    return [...counts].sort(([, one], [, other]) => other - one);
}
