import type { Refusal, RefusalCode, View } from "../../protocol/index.js";
import { type Arrived, heldRefusal, lifeOf } from "../quarantine/index.js";
import type { Answer, EndReason } from "./answer.js";
import { Attempt } from "./attempt.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import { Lifecycle } from "./lifecycle.js";
import type { RequestParts } from "./parts.js";
import type { Run } from "./run.js";
import { type RequestScope, type StopReason, untilAborted } from "./scope.js";
import { Trace } from "./trace.js";
import type { RequestEnd, Work } from "./work.js";

const mostAttempts = 3;
const retryAfterFault = 1_000;
const stopMessages: Readonly<Record<StopReason, string>> = {
    callerGone: "the caller has gone",
    deadlineExceeded: "the deadline has passed",
    shuttingDown: "this daemon ended before the request did",
};

/** Drives one request from its admission to its last byte. It alone writes to the request's answer. */
export class RequestDriver {
    private readonly lifecycle = Lifecycle.create();
    private readonly trace = Trace.create();
    private readonly written: AttemptContext["written"] = { tokens: 0, promptTokens: 0, firstAt: undefined, lastAt: 0 };
    private run: Run | undefined;

    private constructor(
        private readonly parts: RequestParts,
        private readonly work: Work,
        private readonly answer: Answer,
        private readonly scope: RequestScope,
    ) {}

    /** Drives the request to its end. Never rejects; everything that the request held is freed or being freed then. */
    static async drive(parts: RequestParts, work: Work, answer: Answer, scope: RequestScope): Promise<RequestEnd> {
        const driver = new RequestDriver(parts, work, answer, scope);
        const remaining = work.deadlineAt - parts.clock.monotonic();
        const disarm = parts.clock.after(Math.max(0, remaining), () => scope.stop("deadlineExceeded"));
        try {
            return await driver.drive();
        }
        catch (failure) {
            parts.logger.error("request failed inside", { request: work.requestId, failure: String(failure) });
            const refusal = driver.refusal("internal", "a fault of this daemon");
            return { kind: "refused", refusal };
        }
        finally {
            disarm();
        }
    }

    private async drive(): Promise<RequestEnd> {
        this.lifecycle.send("admit");
        this.parts.budget.earn();
        if (!this.parts.control.mayStart()) {
            return this.refuse(this.refusal("viewExpired", "this daemon's view is not confirmed", retryAfterFault));
        }
        const held = this.holdOf();
        if (held !== undefined) {
            return this.refuse(held);
        }
        if (this.work.run !== undefined) {
            const remaining = this.work.deadlineAt - this.parts.clock.monotonic();
            const start = await this.parts.runs.start(this.work.run, remaining);
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
            end = await this.attempts();
        }
        catch (failure) {
            // The record must not stay "running" for a fault of this program.
            await this.closeRun();
            throw failure;
        }
        return this.end(end);
    }

    private async attempts(): Promise<AttemptEnd> {
        const { parts, work, answer, scope, lifecycle, trace, written } = this;
        const context: AttemptContext = { parts, work, answer, scope, lifecycle, trace, written };
        const avoid: string[] = [];
        for (let attempt = 1;; attempt++) {
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            const held = this.holdOf();
            if (held !== undefined) {
                return { kind: "refused", refusal: held };
            }
            const tokensBefore = written.tokens;
            const backends = parts.control.view().backends;
            const end = await Attempt.run(context, avoid);
            this.noteEnd(end, backends, written.tokens === tokensBefore);
            if (end.kind !== "failed" || !this.mayTryAgain(end, attempt)) {
                return end;
            }
            parts.metrics.count("basilpaddle_retries_total", { pool: work.pool, code: end.code });
            parts.logger.warn("attempt failed; another is made", { request: work.requestId, message: end.message });
            avoid.push(end.engine as string);
            lifecycle.send("retry");
        }
    }

    /** Why it may not run now. What ran before in this request stays true. */
    private holdOf(): Refusal | undefined {
        const refusal = heldRefusal(this.parts.crashes, this.arrived(), this.parts.logger);
        return refusal && { ...refusal, outcome: this.trace.outcome };
    }

    /** An engine may have ended under the attempt, or the answer clears the request of what ended before. */
    private noteEnd(end: AttemptEnd, backends: View["backends"], isEarly: boolean): void {
        if (end.kind === "answered") {
            this.parts.crashes.answered(this.arrived());
            return;
        }
        const engine = end.kind === "failed" && end.code === "backendFailed" ? backends[end.engine ?? ""] : undefined;
        if (engine !== undefined) {
            void this.parts.crashes.lost(this.arrived(), lifeOf(engine.announcement), isEarly ? "early" : "late");
        }
    }

    private arrived(): Arrived {
        return { digest: this.work.digest, attempt: this.work.requestId };
    }

    /** A non-idempotent request is tried again only while it is proved that no backend server ran any of it. */
    private mayTryAgain(end: Extract<AttemptEnd, { kind: "failed"; }>, attempt: number): boolean {
        if (end.engine === undefined || this.scope.stopped !== undefined || attempt >= mostAttempts) {
            return false;
        }
        if (this.work.run !== undefined && this.trace.outcome !== "notRun") {
            return false;
        }
        return this.parts.budget.take();
    }

    private async end(end: AttemptEnd): Promise<RequestEnd> {
        if (end.kind === "answered") {
            return this.finish(end.reason);
        }
        if (end.kind === "stopped") {
            return this.cancel(this.scope.stopped ?? "callerGone");
        }
        await untilAborted(this.closeRun(), this.scope.signal, undefined);
        if (end.kind === "refused") {
            return this.refuse({ ...end.refusal, outcome: this.trace.outcome });
        }
        const retryAfter = this.work.run === undefined || this.trace.outcome === "notRun" ? retryAfterFault : undefined;
        return this.refuse(this.refusal(end.code, end.message, retryAfter));
    }

    private async finish(reason: EndReason): Promise<RequestEnd> {
        const { tokens, promptTokens } = this.written;
        const end = { reason, tokens, promptTokens };
        if (this.run !== undefined) {
            const recorded = this.parts.runs.finish(this.run, "answered", this.answer.kept(end));
            await untilAborted(recorded, this.scope.signal, undefined);
        }
        if (this.scope.stopped === "callerGone") {
            this.lifecycle.send("cancel");
            this.lifecycle.send("release");
            return { kind: "refused", refusal: this.refusal("callerGone", stopMessages.callerGone) };
        }
        this.answer.finish(end);
        this.lifecycle.send("finish");
        this.measure(tokens);
        return { kind: "finished", tokens };
    }

    private async cancel(reason: StopReason): Promise<RequestEnd> {
        this.lifecycle.send("cancel");
        if (this.lifecycle.can("release")) {
            this.lifecycle.send("release");
        }
        // The caller isn't kept waiting for the record: a deadline that has passed is answered at once.
        void this.closeRun();
        return this.refused(this.refusal(reason, stopMessages[reason]));
    }

    private async closeRun(): Promise<void> {
        const run = this.run;
        if (run === undefined) {
            return;
        }
        this.run = undefined;
        if (this.trace.outcome === "notRun") {
            await this.parts.runs.release(run);
            return;
        }
        await this.parts.runs.finish(run, this.trace.outcome, undefined);
    }

    private refuse(refusal: Refusal): RequestEnd {
        this.lifecycle.send(this.lifecycle.can("refuse") && this.trace.outcome === "notRun" ? "refuse" : "fail");
        return this.refused(refusal);
    }

    private refused(refusal: Refusal): RequestEnd {
        this.parts.metrics.count("basilpaddle_refusals_total", {
            pool: this.work.pool,
            code: refusal.code,
            outcome: refusal.outcome,
        });
        return { kind: "refused", refusal };
    }

    private refusal(code: RefusalCode, message: string, retryAfter?: number): Refusal {
        return { code, outcome: this.trace.outcome, message, retryAfter };
    }

    private measure(tokens: number): void {
        const { work, written, parts } = this;
        const labels = { pool: work.pool };
        const firstToken = (written.firstAt ?? parts.clock.monotonic()) - work.receivedAt;
        const perToken = tokens > 1 ? (written.lastAt - (written.firstAt ?? 0)) / (tokens - 1) : 0;
        const result = firstToken > work.targets.firstToken
            ? "lateFirstToken"
            : perToken > work.targets.perToken
            ? "slowTokens"
            : "good";
        parts.metrics.observe("basilpaddle_first_token_milliseconds", firstToken, labels);
        parts.metrics.observe("basilpaddle_per_token_milliseconds", perToken, labels);
        parts.metrics.count("basilpaddle_answers_total", { ...labels, result });
        parts.metrics.count("basilpaddle_tokens_total", labels, tokens);
    }
}
