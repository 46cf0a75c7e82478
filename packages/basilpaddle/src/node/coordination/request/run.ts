import { createHash } from "node:crypto";
import type { Command, CommandResult, Outcome, Refusal, StoredAnswer } from "../../protocol/index.js";
import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import { pause } from "./scope.js";

const startTimeoutMilliseconds = 3_000;
/** Time for which the end of a caller's answer is delayed until the run's end is recorded. */
const finishTimeoutMilliseconds = 2_000;
const initialBackoffMilliseconds = 100;
const maxBackoffMilliseconds = 5_000;
const maxPendingRecords = 10_000;
/** Largest answer that is stored so that a retry of the request can be answered with it. */
export const maxStoredAnswerBytes = 262_144;

/** Identifies a run by its key, and its content by a digest, so that a retry of the same request is recognised. */
export type RunIdentity = { readonly key: string; readonly digest: string; };

/** A run that this daemon may execute once. */
export type Run = RunIdentity & { readonly token: string; };

/** Whether a non-idempotent request may run. */
export type RunStart =
    | { readonly kind: "started"; readonly run: Run; }
    | { readonly kind: "replayed"; readonly answer: StoredAnswer; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Options of `RunRecords`. */
export type RunRecordOptions = {
    readonly control: ControlClient;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Identifies the run of a request by its organisation, its route and the caller's idempotency key, with a digest of its body. */
export function identifyRun(organisation: string, route: string, key: string, body: Uint8Array): RunIdentity {
    return {
        // The caller's key is hashed to bound the length, and so that no key can collide with a run of another route.
        key: `${organisation}${route}/${createHash("sha256").update(key).digest("hex")}`,
        digest: createHash("sha256").update(body).digest("hex"),
    };
}

/** Records the runs of non-idempotent requests at the control daemons. */
export class RunRecords {
    private readonly stopController = new AbortController();
    private pending = 0;

    private constructor(private readonly options: RunRecordOptions) {}

    static create(options: RunRecordOptions): RunRecords {
        return new RunRecords(options);
    }

    /** Number of records of run ends that were proposed and are not known to be committed yet. */
    get pendingCount(): number {
        return this.pending;
    }

    /**
     * Records the run's start, timeout in milliseconds. Nothing may be sent to a backend server before the result is
     * `started`.
     */
    async start(identity: RunIdentity, timeout: number): Promise<RunStart> {
        const run = { ...identity, token: this.options.randomness.identifier() };
        const command: Command = {
            kind: "startRun",
            ...run,
            owner: this.options.control.session(),
            at: this.options.clock.wall(),
        };
        const proposed = await this.options.control.propose(
            command,
            Math.max(1, Math.min(startTimeoutMilliseconds, timeout)),
        );
        return proposed.caseOf<RunStart>({
            Left: undecided => {
                // The record may still be committed. Nothing was run, so its release is proposed until a quorum decides it;
                // otherwise requests with the caller's key would be refused as "in progress" until the record expires.
                this.retryInBackground(this.releaseCommand(run));
                return refused(
                    "noQuorum",
                    "notRun",
                    `the start of the run could not be recorded: ${undecided.reason}`,
                    1_000,
                );
            },
            Right: result => runStartOf(run, result),
        });
    }

    /** Records how the run ended. If no quorum decides that in time, resolves and retries in the background. */
    async finish(run: Run, result: "answered" | Outcome, answer: StoredAnswer | undefined): Promise<void> {
        const storedAnswer = answer !== undefined && answer.body.length <= maxStoredAnswerBytes ? answer : undefined;
        await this.recordEnd({
            kind: "finishRun",
            key: run.key,
            token: run.token,
            result,
            answer: storedAnswer,
            at: this.options.clock.wall(),
        });
    }

    /** Deletes the record of a run that provably no backend server executed. */
    async release(run: Run): Promise<void> {
        await this.recordEnd(this.releaseCommand(run));
    }

    close(): void {
        this.stopController.abort();
    }

    private releaseCommand(run: Run): Command {
        return { kind: "releaseRun", key: run.key, token: run.token, at: this.options.clock.wall() };
    }

    /** Waits until no record is pending, for at most `timeout` milliseconds. Returns the number of pending ones. */
    async drain(timeout: number): Promise<number> {
        const deadline = this.options.clock.monotonic() + timeout;
        while (this.pending > 0 && this.options.clock.monotonic() < deadline) {
            await pause(this.options.clock, 20);
        }
        return this.pending;
    }

    private async recordEnd(command: Command): Promise<void> {
        this.pending++;
        const decided = await this.proposeOnce(command);
        this.pending--;
        if (!decided) {
            this.retryInBackground(command);
        }
    }

    private async proposeOnce(command: Command): Promise<boolean> {
        try {
            return (await this.options.control.propose(command, finishTimeoutMilliseconds)).isRight();
        }
        catch (failure) {
            this.options.logger.error("proposing a run record failed", {
                kind: command.kind,
                failure: String(failure),
            });
            return false;
        }
    }

    private retryInBackground(command: Command): void {
        if (this.pending >= maxPendingRecords) {
            this.options.metrics.count("basilpaddle_run_records_dropped_total");
            this.options.logger.error("too many undecided run records; dropping one, which stays until it expires", {
                kind: command.kind,
            });
            return;
        }
        this.pending++;
        this.updateGauge();
        void this.retryUntilDecided(command).finally(() => {
            this.pending--;
            this.updateGauge();
        });
    }

    private async retryUntilDecided(command: Command): Promise<void> {
        let backoff = initialBackoffMilliseconds;
        while (!this.stopController.signal.aborted) {
            await pause(
                this.options.clock,
                backoff * (0.5 + this.options.randomness.fraction()),
                this.stopController.signal,
            );
            if (await this.proposeOnce(command)) {
                return;
            }
            backoff = Math.min(maxBackoffMilliseconds, backoff * 2);
        }
    }

    private updateGauge(): void {
        this.options.metrics.gauge("basilpaddle_run_records_undecided", this.pending);
    }
}

function refused(code: Refusal["code"], outcome: Outcome, message: string, retryAfter?: number): RunStart {
    return { kind: "refused", refusal: { code, outcome, message, retryAfter } };
}

function runStartOf(run: Run, result: CommandResult): RunStart {
    if (result.kind === "started") {
        return { kind: "started", run };
    }
    if (result.kind === "known") {
        return startOfKnownRun(result);
    }
    if (result.kind === "full") {
        return refused("recordsFull", "notRun", `the limit of ${result.limit} recorded runs is reached`, 60_000);
    }
    return refused("internal", "notRun", `unexpected result of recording the run: ${result.kind}`);
}

/**
 * For a run that is already recorded: its answer, or a refusal with the outcome of the run instead of that of this
 * request.
 */
function startOfKnownRun(known: Extract<CommandResult, { kind: "known"; }>): RunStart {
    if (!known.sameDigest) {
        return refused("keyReused", "notRun", "the idempotency key was already used with a different request body");
    }
    switch (known.state) {
        case "running":
            return refused("runInProgress", "unknown", "a request with this idempotency key is still running", 1_000);
        case "answered":
            return known.answer === undefined
                ? refused(
                    "answerNotKept",
                    "failedAfterStarting",
                    "the request was already run, but its answer was not stored",
                )
                : { kind: "replayed", answer: known.answer };
        case "notRun":
        case "failedAfterStarting":
        case "unknown":
            return refused(
                "outcomeUnknown",
                known.state,
                "the request with this idempotency key did not complete its answer",
            );
    }
}
