import { z } from "zod";
import type { LogLine } from "./explanation.js";

/** Text of the line in which a gateway says how a request ended. */
const requestMessage = "request";

const requestSchema = z.looseObject({
    end: z.string().default("open"),
    cause: z.string().default(""),
    milliseconds: z.number(),
    path: z.array(z.string()).default([]),
});
type RequestLine = z.infer<typeof requestSchema>;

/** One step of a request's way, as its gateway logs it. */
type Step = {
    readonly kind: "placed" | "refused" | "read" | "run" | "first" | "pause" | "heldBack" | "other";
    /** Who placed it, or the backend server. */
    readonly by: string;
    readonly outcome: string;
    readonly milliseconds: number;
    readonly cause: string;
};

/** Requests that lost their worth, or a part of it, in the same way. */
export type Loss = {
    /** Whether the caller still got a whole answer. */
    readonly kind: "late" | "unserved";
    readonly cause: string;
    readonly count: number;
    /** Backend servers that were asked last, most often first. */
    readonly servers: readonly { readonly id: string; readonly count: number; }[];
    /** Slices of time in which it came about, with counts. */
    readonly moments: readonly { readonly from: string; readonly count: number; }[];
};

/** Where requests lost time or failed, by cause. */
export type LossAccount = {
    readonly requests: number;
    readonly whole: number;
    readonly losses: readonly Loss[];
    /** Prompts that were read, and of these the ones whose result no run took to its end. */
    readonly promptsRead: number;
    readonly readInVain: number;
};

/** How losses are told apart. */
export type LossOptions = {
    /** Milliseconds to the first event, or to a plain answer, beyond which it is late. */
    readonly streamTarget: number;
    readonly plainTarget: number;
    /** Milliseconds of one moment. */
    readonly slice: number;
};

/** Backend servers and moments named for each cause. */
const mostNamed = 4;

/** Adds up what the lines tell of requests. */
export function accountOf(lines: readonly LogLine[], options: LossOptions): LossAccount {
    const found = new Map<
        string,
        { readonly kind: Loss["kind"]; readonly servers: string[]; readonly moments: string[]; }
    >();
    let requests = 0;
    let whole = 0;
    let promptsRead = 0;
    let readInVain = 0;
    for (const line of lines.filter(({ message }) => message === requestMessage)) {
        const parsed = requestSchema.safeParse(line);
        if (!parsed.success) {
            continue;
        }
        requests += 1;
        const steps = parsed.data.path.map(stepOf);
        const reads = steps.filter(({ kind, outcome }) => kind === "read" && outcome === "done").length;
        promptsRead += reads;
        readInVain += reads - Math.min(reads, parsed.data.end === "answered" ? 1 : 0);
        const loss = lossOf(parsed.data, steps, options);
        if (loss === undefined) {
            whole += 1;
            continue;
        }
        const key = `${loss.kind} ${loss.cause}`;
        const entry = found.get(key) ?? { kind: loss.kind, servers: [], moments: [] };
        found.set(key, entry);
        entry.servers.push(
            steps.findLast(({ kind }) => kind === "run" || kind === "read" || kind === "other")?.by ?? "none",
        );
        entry.moments.push(sliceOf(Date.parse(line.at) - parsed.data.milliseconds, options.slice));
    }
    const losses = [...found].map(([key, { kind, servers, moments }]): Loss => ({
        kind,
        cause: key.slice(kind.length + 1),
        count: servers.length,
        servers: counted(servers).slice(0, mostNamed).map(([id, count]) => ({ id, count })),
        moments: counted(moments).slice(0, mostNamed).map(([from, count]) => ({ from, count })),
    }));
    losses.sort((one, other) => other.count - one.count);
    return { requests, whole, losses, promptsRead, readInVain };
}

function lossOf(
    request: RequestLine,
    steps: readonly Step[],
    options: LossOptions,
): { readonly kind: Loss["kind"]; readonly cause: string; } | undefined {
    if (request.end !== "answered") {
        const cause = request.end === "callerGone"
            ? `its caller left while ${stageOf(steps)}`
            : generalised(request.cause);
        return { kind: "unserved", cause: `${request.end}: ${cause}` };
    }
    const first = steps.find(({ kind }) => kind === "first");
    if (steps.some(({ kind }) => kind === "pause")) {
        return { kind: "late", cause: "a pause within the stream" };
    }
    const took = first?.milliseconds ?? request.milliseconds;
    const target = first === undefined ? options.plainTarget : options.streamTarget;
    return took > target ? { kind: "late", cause: longestBefore(steps) } : undefined;
}

/** What took most of the time to the first event. */
function longestBefore(steps: readonly Step[]): string {
    const times = new Map<string, number>();
    const firstAt = steps.findIndex(({ kind }) => kind === "first");
    for (const step of firstAt < 0 ? steps : steps.slice(0, firstAt)) {
        const name = nameOf(step);
        times.set(name, (times.get(name) ?? 0) + step.milliseconds);
    }
    const first = steps[firstAt];
    if (first !== undefined) {
        const known = [...times.values()].reduce((sum, time) => sum + time, 0);
        times.set("the run's own first event, its prompt read there or elsewhere", first.milliseconds - known);
    }
    return [...times].sort(([, one], [, other]) => other - one)[0]?.[0] ?? "the backend server";
}

function nameOf({ kind, outcome }: Step): string {
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

/** What a request was at when its caller left. */
function stageOf(steps: readonly Step[]): string {
    const last = steps.at(-1);
    if (last === undefined || last.kind === "placed" || last.kind === "refused") {
        return "it waited for a place";
    }
    if (steps.some(({ kind }) => kind === "first")) {
        return "its stream ran";
    }
    return last.kind === "read" ? "its prompt was read" : "it waited for its answer";
}

/** Reads a step: `placed BY MS`, `refused MS`, `first MS`, `pause MS`, `read ID OUTCOME MS`, `heldBack (SERVER AGE, ...)`, `run ID OUTCOME MS (CAUSE)`, `ID OUTCOME MS`. */
function stepOf(text: string): Step {
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

/** A cause without its figures, so that like ones are counted together. */
function generalised(cause: string): string {
    return cause.replace(/\d+(\.\d+)?/g, "N");
}

function sliceOf(at: number, slice: number): string {
    return new Date(Math.floor(at / slice) * slice).toISOString();
}

function counted(values: readonly string[]): [string, number][] {
    const counts = new Map<string, number>();
    values.forEach(value => counts.set(value, (counts.get(value) ?? 0) + 1));
    return [...counts].sort(([, one], [, other]) => other - one);
}
