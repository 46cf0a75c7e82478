import { z } from "zod";
import {
    type Command,
    type CommandResult,
    type Incarnation,
    incarnationSchema,
    outcomes,
    type StoredAnswer,
    storedAnswerSchema,
} from "../protocol/index.js";
import { Invariant } from "./invariant.js";

/** Schema of the record of one run of a non-idempotent request. */
export const runSchema = z.object({
    key: z.string(),
    digest: z.string(),
    owner: incarnationSchema,
    token: z.string(),
    startedAt: z.int(),
    /** Log index of its start or release; the record expires once that index is old enough. */
    sinceIndex: z.int(),
    /** `released`: the run is proven not to have executed; its record is kept to reject a late start with its token. */
    state: z.enum(["running", "answered", "released", ...outcomes]),
    answer: storedAnswerSchema.optional(),
    /**
     * Tokens of released arrivals, latest last. An arrival is one receipt of a request by an entry daemon. A delayed copy
     * of the start of a released arrival may still be committed.
     */
    releasedTokens: z.array(z.string()),
    /** Log index of its end; gives stored answers the same age order at every replica. */
    endedIndex: z.int().optional(),
});

/** The record of one run of a non-idempotent request. */
export type Run = z.infer<typeof runSchema>;

/** Limits of the run records. */
export type RunLimits = {
    /** Maximum number of records; a start of a new key beyond it is rejected. */
    readonly records: number;
    /** Maximum total size of the stored answers in bytes; a new answer evicts the oldest ones. */
    readonly answerBytes: number;
    /** Maximum size of one stored answer in bytes; a larger one isn't stored. */
    readonly oneAnswerBytes: number;
};

/** Default limits of the run records. */
export const defaultRunLimits: RunLimits = Object.freeze({
    records: 40_000,
    answerBytes: 4 * 1024 * 1024,
    oneAnswerBytes: 256 * 1024,
});

/** Maximum number of released tokens stored per key. */
const releaseLimitPerKey = 4;

type StartRun = Extract<Command, { kind: "startRun"; }>;
type FinishRun = Extract<Command, { kind: "finishRun"; }>;
type ReleaseRun = Extract<Command, { kind: "releaseRun"; }>;
type ExpireRuns = Extract<Command, { kind: "expireRuns"; }>;

/** Records of non-idempotent runs; a key starts at most once while its record exists, unless it is released. */
export class Runs {
    private readonly runs = new Map<string, Run>();
    /** The runs with a stored answer, oldest answer first. */
    private readonly runsWithAnswer = new Map<string, Run>();
    private answerBytes = 0;

    private constructor(private readonly limits: RunLimits) {}

    static create(limits: RunLimits, runs: readonly Run[] = []): Runs {
        const created = new Runs(limits);
        for (const run of runs) {
            created.runs.set(run.key, run);
            created.answerBytes += answerBytesOf(run.answer);
        }
        for (
            const run of runs.filter(each => each.answer !== undefined).sort((a, b) => endIndexOf(a) - endIndexOf(b))
        ) {
            created.runsWithAnswer.set(run.key, run);
        }
        return created;
    }

    /** Whether there is a record for the key. */
    has(key: string): boolean {
        return this.runs.has(key);
    }

    /** All records in the order in which their keys were added. */
    list(): readonly Run[] {
        return [...this.runs.values()];
    }

    /** Number of records, and total size of the stored answers in bytes. */
    usage(): { readonly records: number; readonly answerBytes: number; } {
        return { records: this.runs.size, answerBytes: this.answerBytes };
    }

    /** Whether any record has a `sinceIndex` at or below the log index. */
    hasUpTo(index: number): boolean {
        for (const run of this.runs.values()) {
            if (run.sinceIndex <= index) {
                return true;
            }
        }
        return false;
    }

    /**
     * Starts a run, or returns the state of the existing one. A resend with the same token gets `started` again while
     * the run is running, for the case that the first result was lost. A running run whose owner's session is closed is
     * reported as `unknown`, since nobody will finish it.
     */
    start(index: number, command: StartRun, isOpen: (owner: Incarnation) => boolean): CommandResult {
        const existing = this.runs.get(command.key);
        if (existing?.state === "released" && existing.releasedTokens.includes(command.token)) {
            return staleRun(command.key);
        }
        if (existing !== undefined && existing.state !== "released") {
            return existing.token === command.token && existing.state === "running"
                ? { kind: "started" }
                : existingRunResult(existing, command, isOpen);
        }
        if (existing === undefined && this.runs.size >= this.limits.records) {
            return { kind: "full", limit: this.limits.records };
        }
        this.runs.set(command.key, {
            key: command.key,
            digest: command.digest,
            owner: command.owner,
            token: command.token,
            startedAt: command.at,
            sinceIndex: index,
            state: "running",
            releasedTokens: existing?.releasedTokens ?? [],
        });
        return { kind: "started" };
    }

    /** Records the outcome of a run. Only the first outcome counts. */
    finish(index: number, command: FinishRun): CommandResult {
        const run = this.runs.get(command.key);
        if (run === undefined || run.token !== command.token) {
            return staleRun(command.key);
        }
        if (run.state === "running") {
            const answer = this.makeRoomFor(command.answer);
            this.answerBytes += answerBytesOf(answer);
            const ended: Run = { ...run, state: command.result, answer, endedIndex: index };
            this.runs.set(command.key, ended);
            if (answer !== undefined) {
                this.runsWithAnswer.set(command.key, ended);
            }
        }
        return { kind: "done", index };
    }

    /**
     * Lets the key of a run that is proven not to have executed start again. The release may be committed before the
     * start that it undoes, or before a resent copy of it. If the token weren't stored, that late start would occupy the
     * key until the record expires, and the caller would be told that a request is running which nobody runs.
     */
    release(index: number, command: ReleaseRun): CommandResult {
        const run = this.runs.get(command.key);
        const releasedTokens = withReleasedToken(run, command.token);
        if (run !== undefined && run.state !== "released" && (run.token !== command.token || run.state !== "running")) {
            // Another arrival runs under this key. It may be released as well before the start that this release undoes
            // is committed, so this token has to be stored too.
            if (run.token !== command.token && run.state === "running") {
                this.runs.set(command.key, { ...run, releasedTokens });
            }
            return staleRun(command.key);
        }
        if (run === undefined && this.runs.size >= this.limits.records) {
            return { kind: "done", index };
        }
        this.runs.set(command.key, {
            key: command.key,
            digest: run?.digest ?? "",
            owner: run?.owner ?? { daemon: "unknown", incarnation: "unknown" },
            token: command.token,
            startedAt: run?.startedAt ?? command.at,
            sinceIndex: index,
            state: "released",
            releasedTokens,
        });
        return { kind: "done", index };
    }

    /** Deletes every record with a `sinceIndex` at or below the command's index. */
    expire(index: number, command: ExpireRuns): CommandResult {
        for (const run of this.runs.values()) {
            if (run.sinceIndex <= command.upTo) {
                this.dropAnswer(run.key);
                this.runs.delete(run.key);
            }
        }
        Invariant.assert(this.answerBytes >= 0, `the stored answers have ${this.answerBytes} bytes`);
        return { kind: "done", index };
    }

    /**
     * Evicts the oldest answers until the given one fits, and returns it; returns undefined for one that is too large.
     * A caller that lost its answer resends soon. If the oldest answers were kept instead, no resend would find its
     * answer once the limit is reached.
     */
    private makeRoomFor(answer: StoredAnswer | undefined): StoredAnswer | undefined {
        const bytes = answerBytesOf(answer);
        if (bytes > this.limits.oneAnswerBytes || bytes > this.limits.answerBytes) {
            return undefined;
        }
        for (const run of this.runsWithAnswer.values()) {
            if (this.answerBytes + bytes <= this.limits.answerBytes) {
                break;
            }
            this.dropAnswer(run.key);
        }
        return answer;
    }

    private dropAnswer(key: string): void {
        const run = this.runsWithAnswer.get(key);
        if (run !== undefined) {
            this.answerBytes -= answerBytesOf(run.answer);
            this.runsWithAnswer.delete(key);
            this.runs.set(key, { ...run, answer: undefined });
        }
    }
}

function existingRunResult(run: Run, command: StartRun, isOpen: (owner: Incarnation) => boolean): CommandResult {
    const state = run.state === "released" ? "notRun" : run.state;
    return {
        kind: "known",
        state: state === "running" && !isOpen(run.owner) ? "unknown" : state,
        owner: run.owner,
        sameDigest: run.digest === command.digest,
        // A request with another body under the same key must not see the answer to the first one.
        answer: run.digest === command.digest ? run.answer : undefined,
    };
}

function withReleasedToken(run: Run | undefined, token: string): string[] {
    const earlier = run?.releasedTokens.filter(each => each !== token) ?? [];
    return [...earlier, token].slice(-releaseLimitPerKey);
}

function endIndexOf(run: Run): number {
    return run.endedIndex ?? 0;
}

function staleRun(key: string): CommandResult {
    return { kind: "stale", reason: `the run of ${key} doesn't belong to this arrival` };
}

function answerBytesOf(answer: StoredAnswer | undefined): number {
    if (answer === undefined) {
        return 0;
    }
    const headers = Object.entries(answer.headers).reduce((sum, [name, value]) => sum + name.length + value.length, 0);
    return answer.body.byteLength + headers;
}
