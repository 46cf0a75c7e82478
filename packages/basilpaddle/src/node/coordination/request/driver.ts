import type { Refusal, RefusalCode, View } from "../../protocol/index.js";
import { backendIncarnationOf, quarantineRefusal, type RequestAttempt } from "../quarantine/index.js";
import type { Answer, EndReason } from "./answer.js";
import { Attempt } from "./attempt.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import type { GenerationRequest, RequestEnd } from "./generationRequest.js";
import { Lifecycle } from "./lifecycle.js";
import { OutcomeTracker } from "./outcomeTracker.js";
import type { RequestDependencies } from "./requestDependencies.js";
import type { Run } from "./run.js";
import { type RequestScope, type StopReason, untilAborted } from "./scope.js";

const maxAttempts = 3;
const retryAfterFailureMilliseconds = 1_000;
const stopMessages: Readonly<Record<StopReason, string>> = {
    callerGone: "the caller disconnected",
    deadlineExceeded: "the deadline has passed",
    shuttingDown: "this daemon shut down before the request ended",
};

/** Processes one request from its admission to the last byte of its answer. Nothing else writes to the answer. */
export class RequestDriver {
    private readonly lifecycle = Lifecycle.create();
    private readonly outcomeTracker = OutcomeTracker.create();
    private readonly written: AttemptContext["written"] = {
        tokens: 0,
        promptTokens: 0,
        firstTokenAt: undefined,
        lastTokenAt: 0,
    };
    private run: Run | undefined;

    private constructor(
        private readonly options: RequestDependencies,
        private readonly request: GenerationRequest,
        private readonly answer: Answer,
        private readonly scope: RequestScope,
    ) {}

    /**
     * Processes the request to its end. Never rejects. At the end, all resources of the request are released or being
     * released.
     */
    static async drive(
        options: RequestDependencies,
        request: GenerationRequest,
        answer: Answer,
        scope: RequestScope,
    ): Promise<RequestEnd> {
        const driver = new RequestDriver(options, request, answer, scope);
        const remaining = request.deadlineAt - options.clock.monotonic();
        const disarm = options.clock.after(Math.max(0, remaining), () => scope.stop("deadlineExceeded"));
        try {
            return await driver.drive();
        }
        catch (failure) {
            options.logger.error("request failed with an internal error", {
                request: request.requestId,
                failure: String(failure),
            });
            const refusal = driver.refusal("internal", "a fault of this daemon");
            return { kind: "refused", refusal };
        }
        finally {
            disarm();
        }
    }

    private async drive(): Promise<RequestEnd> {
        this.lifecycle.send("admit");
        this.options.retryBudget.deposit();
        if (!this.options.control.mayStart()) {
            return this.refuse(
                this.refusal("viewExpired", "this daemon's view is not confirmed", retryAfterFailureMilliseconds),
            );
        }
        const quarantined = this.checkQuarantine();
        if (quarantined !== undefined) {
            return this.refuse(quarantined);
        }
        if (this.request.run !== undefined) {
            const remaining = this.request.deadlineAt - this.options.clock.monotonic();
            const start = await this.options.runRecords.start(this.request.run, remaining);
            if (start.kind === "replayed") {
                this.lifecycle.send("replay");
                return start;
            }
            if (start.kind === "refused") {
                return this.refuse(start.refusal);
            }
            this.run = start.run;
        }
        let end: AttemptEnd;
        try {
            end = await this.runAttempts();
        }
        catch (failure) {
            // After an internal error the run's record must not remain in state "running".
            await this.recordRunEnd();
            throw failure;
        }
        return this.end(end);
    }

    private async runAttempts(): Promise<AttemptEnd> {
        const { options, request, answer, scope, lifecycle, outcomeTracker, written } = this;
        const context: AttemptContext = { options, request, answer, scope, lifecycle, outcomeTracker, written };
        const avoid: string[] = [];
        for (let attempt = 1;; attempt++) {
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            const quarantined = this.checkQuarantine();
            if (quarantined !== undefined) {
                return { kind: "refused", refusal: quarantined };
            }
            const tokensBeforeAttempt = written.tokens;
            const backends = options.control.view().backends;
            const end = await Attempt.run(context, avoid);
            this.reportAttemptEnd(end, backends, written.tokens === tokensBeforeAttempt);
            if (end.kind !== "failed" || !this.mayRetry(end, attempt)) {
                return end;
            }
            options.metrics.count("basilpaddle_retries_total", { pool: request.pool, code: end.code });
            options.logger.warn("attempt failed; retrying", { request: request.requestId, message: end.message });
            avoid.push(end.engine as string);
            lifecycle.send("retry");
        }
    }

    /** The refusal if the request is quarantined. Its outcome also covers earlier attempts of this request. */
    private checkQuarantine(): Refusal | undefined {
        const refusal = quarantineRefusal(this.options.crashDetector, this.requestIdentity(), this.options.logger);
        return refusal && { ...refusal, outcome: this.outcomeTracker.outcome };
    }

    /** Reports to the crash detector an engine that failed during the attempt, or an answer, which clears earlier crashes. */
    private reportAttemptEnd(end: AttemptEnd, backends: View["backends"], isEarly: boolean): void {
        if (end.kind === "answered") {
            this.options.crashDetector.reportAnswered(this.requestIdentity());
            return;
        }
        const engine = end.kind === "failed" && end.code === "backendFailed" ? backends[end.engine ?? ""] : undefined;
        if (engine !== undefined) {
            void this.options.crashDetector.reportLostRun(
                this.requestIdentity(),
                backendIncarnationOf(engine.announcement),
                isEarly ? "early" : "late",
            );
        }
    }

    private requestIdentity(): RequestAttempt {
        return { digest: this.request.digest, attempt: this.request.requestId };
    }

    /** Whether to retry. A non-idempotent request is retried only if provably no backend server ran any part of it. */
    private mayRetry(end: Extract<AttemptEnd, { kind: "failed"; }>, attempt: number): boolean {
        if (end.engine === undefined || this.scope.stopped !== undefined || attempt >= maxAttempts) {
            return false;
        }
        if (this.request.run !== undefined && this.outcomeTracker.outcome !== "notRun") {
            return false;
        }
        return this.options.retryBudget.tryWithdraw();
    }

    private async end(end: AttemptEnd): Promise<RequestEnd> {
        if (end.kind === "answered") {
            return this.finish(end.reason);
        }
        if (end.kind === "stopped") {
            return this.cancel(this.scope.stopped ?? "callerGone");
        }
        await untilAborted(this.recordRunEnd(), this.scope.signal, undefined);
        if (end.kind === "refused") {
            return this.refuse({ ...end.refusal, outcome: this.outcomeTracker.outcome });
        }
        const retryAfter = this.request.run === undefined || this.outcomeTracker.outcome === "notRun"
            ? retryAfterFailureMilliseconds
            : undefined;
        return this.refuse(this.refusal(end.code, end.message, retryAfter));
    }

    private async finish(reason: EndReason): Promise<RequestEnd> {
        const { tokens, promptTokens } = this.written;
        const end = { reason, tokens, promptTokens };
        if (this.run !== undefined) {
            const recording = this.options.runRecords.finish(this.run, "answered", this.answer.toStoredAnswer(end));
            await untilAborted(recording, this.scope.signal, undefined);
        }
        if (this.scope.stopped === "callerGone") {
            this.lifecycle.send("cancel");
            this.lifecycle.send("release");
            return { kind: "refused", refusal: this.refusal("callerGone", stopMessages.callerGone) };
        }
        this.answer.finish(end);
        this.lifecycle.send("finish");
        this.recordMetrics(tokens);
        return { kind: "finished", tokens };
    }

    private async cancel(reason: StopReason): Promise<RequestEnd> {
        this.lifecycle.send("cancel");
        if (this.lifecycle.can("release")) {
            this.lifecycle.send("release");
        }
        // Not awaited: the caller gets its reply, for example that the deadline has passed, without waiting for the record.
        void this.recordRunEnd();
        return this.countRefusal(this.refusal(reason, stopMessages[reason]));
    }

    private async recordRunEnd(): Promise<void> {
        const run = this.run;
        if (run === undefined) {
            return;
        }
        this.run = undefined;
        if (this.outcomeTracker.outcome === "notRun") {
            await this.options.runRecords.release(run);
            return;
        }
        await this.options.runRecords.finish(run, this.outcomeTracker.outcome, undefined);
    }

    private refuse(refusal: Refusal): RequestEnd {
        this.lifecycle.send(
            this.lifecycle.can("refuse") && this.outcomeTracker.outcome === "notRun" ? "refuse" : "fail",
        );
        return this.countRefusal(refusal);
    }

    private countRefusal(refusal: Refusal): RequestEnd {
        this.options.metrics.count("basilpaddle_refusals_total", {
            pool: this.request.pool,
            code: refusal.code,
            outcome: refusal.outcome,
        });
        return { kind: "refused", refusal };
    }

    private refusal(code: RefusalCode, message: string, retryAfter?: number): Refusal {
        return { code, outcome: this.outcomeTracker.outcome, message, retryAfter };
    }

    private recordMetrics(tokens: number): void {
        const { request, written, options } = this;
        const labels = { pool: request.pool };
        const firstToken = (written.firstTokenAt ?? options.clock.monotonic()) - request.receivedAt;
        const perToken = tokens > 1 ? (written.lastTokenAt - (written.firstTokenAt ?? 0)) / (tokens - 1) : 0;
        const result = firstToken > request.targets.firstToken
            ? "lateFirstToken"
            : perToken > request.targets.perToken
            ? "slowTokens"
            : "good";
        options.metrics.observe("basilpaddle_first_token_milliseconds", firstToken, labels);
        options.metrics.observe("basilpaddle_per_token_milliseconds", perToken, labels);
        options.metrics.count("basilpaddle_answers_total", { ...labels, result });
        options.metrics.count("basilpaddle_tokens_total", labels, tokens);
    }
}
