import type { Announcement, PrefillAnswer, Progress, RefusalCode, View } from "../../protocol/index.js";
import type { EngineFailure } from "../engine/engine.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import { schedulingRequestOf } from "./attemptSchedulingRequest.js";
import { DecodeReader } from "./decodeReader.js";
import { ImportBackoff } from "./importBackoff.js";
import { AttemptScope, pause, untilAborted } from "./scope.js";
import { untilEnginesKnown, untilViewConfirmed } from "./viewWaits.js";

/** A transfer times out after its expected duration, size by link rate, times `transferTimeoutFactor`, plus this grace. */
const transferGraceMilliseconds = 3_000;
const transferTimeoutFactor = 4;

/** What the attempt may hold at a backend server. `inFlight`: a call was sent there and isn't answered. */
type BackendAllocation = { readonly backend: Announcement; inFlight: boolean; };

const abandonedCall: EngineFailure = { kind: "unknown", code: undefined, message: "abandoned before it was answered" };

/** One attempt to answer a request, with its own id and engines. It releases everything that it held at them. */
export class Attempt {
    private readonly id: string;
    private readonly scope: AttemptScope;
    private readonly allocations: BackendAllocation[] = [];
    private readonly acquiredUrls: string[] = [];
    private activeBackend: Announcement | undefined;
    private completedPrefill: { readonly answer: PrefillAnswer; readonly milliseconds: number; } | undefined;

    private constructor(private readonly context: AttemptContext, private readonly avoid: readonly string[]) {
        this.id = context.parts.attempts.begin();
        this.scope = AttemptScope.create(context.scope, context.parts.clock);
    }

    static async run(context: AttemptContext, avoid: readonly string[]): Promise<AttemptEnd> {
        const attempt = new Attempt(context, avoid);
        try {
            return await attempt.run();
        }
        finally {
            attempt.scope.close();
            context.parts.attempts.end(attempt.id);
        }
    }

    private async run(): Promise<AttemptEnd> {
        const { parts, lifecycle } = this.context;
        if (!parts.control.mayStart()) {
            return viewExpired;
        }
        lifecycle.send("reserve");
        const decision = await parts.placement.reserve(
            schedulingRequestOf(this.context, this.id, this.avoid),
            this.context.scope.signal,
        );
        if (decision.kind === "refused") {
            return this.context.scope.stopped === undefined
                ? { kind: "refused", refusal: decision.refusal }
                : { kind: "stopped" };
        }
        lifecycle.send("assign");
        let end: AttemptEnd | undefined;
        const unsubscribe = parts.control.onView(view => this.checkActiveBackend(view));
        try {
            end = await this.runOnEngines(decision.prefill, decision.decode);
        }
        finally {
            unsubscribe();
            this.release(end);
        }
        return end;
    }

    private async runOnEngines(prefillId: string, decodeId: string): Promise<AttemptEnd> {
        await untilEnginesKnown(this.context.parts, [prefillId, decodeId], this.scope.signal);
        const prefill = this.readyBackend(prefillId);
        const decode = this.readyBackend(decodeId);
        if (prefill === undefined || decode === undefined) {
            const missing = prefill === undefined ? prefillId : decodeId;
            return failed("noBackend", `${missing} accepts no new work`, missing);
        }
        this.acquireEngine(prefill);
        this.acquireEngine(decode);
        try {
            return await this.generateAnswer(prefill, decode);
        }
        finally {
            this.acquiredUrls.forEach(url => this.context.parts.engines.releaseClient(url));
        }
    }

    private acquireEngine(backend: Announcement): void {
        this.context.parts.engines.acquireClient(backend.url);
        this.acquiredUrls.push(backend.url);
    }

    private async generateAnswer(prefill: Announcement, decode: Announcement): Promise<AttemptEnd> {
        const prompt = await this.prefill(prefill);
        if ("kind" in prompt) {
            return prompt;
        }
        const transferred = await this.transfer(prefill, decode, prompt);
        return "kind" in transferred ? transferred : this.decode(transferred);
    }

    private async prefill(backend: Announcement): Promise<PrefillAnswer | AttemptEnd> {
        const { parts, work, lifecycle, outcomeTracker, scope } = this.context;
        if (scope.stopped !== undefined) {
            return { kind: "stopped" };
        }
        if (!parts.control.mayStart()) {
            return viewExpired;
        }
        lifecycle.send("prefill");
        this.progress({ attempt: this.id, stage: "prefilling", tokens: 0 });
        const since = parts.clock.monotonic();
        const allocation = this.recordAllocation(backend);
        outcomeTracker.recordCallStart();
        const call = this.engine(backend).prefill(this.id, work.generation, this.scope.signal);
        const result = await untilAborted(call.then(answer => answer.extract()), this.scope.signal, abandonedCall);
        if ("kind" in result) {
            return this.callFailed(allocation, result, "prefill");
        }
        outcomeTracker.recordExecution();
        allocation.inFlight = false;
        const milliseconds = parts.clock.monotonic() - since;
        this.completedPrefill = { answer: result, milliseconds };
        this.context.written.promptTokens = result.promptTokens;
        parts.metrics.observe("basilpaddle_prefill_milliseconds", milliseconds, { pool: work.pool });
        this.progress({ attempt: this.id, stage: "prefilled", tokens: 0, reusedTokens: result.reusedTokens });
        return scope.stopped === undefined ? result : { kind: "stopped" };
    }

    /** Transfers the prefill's result to a decode engine. Returns that engine, or how the attempt ended. */
    private async transfer(
        source: Announcement,
        reserved: Announcement,
        prompt: PrefillAnswer,
    ): Promise<Announcement | AttemptEnd> {
        const { parts, work, lifecycle, scope } = this.context;
        // A process that resumes from a freeze here would take a decode slot that its successor doesn't know about.
        if (!await this.mayTransfer()) {
            return scope.stopped === undefined ? viewExpired : { kind: "stopped" };
        }
        lifecycle.send("transfer");
        const backoff = this.createImportBackoff();
        let backend = reserved;
        for (;;) {
            const end = await this.import(source, backend, prompt);
            if (end === undefined) {
                return backend;
            }
            if (end.kind !== "failed" || end.benignRefusal !== "full") {
                return end;
            }
            // Failing here would discard the finished prefill, and a non-idempotent request would fail permanently.
            const delay = backoff.nextDelay(parts.clock.monotonic());
            if (delay === undefined) {
                return end;
            }
            const other = await this.moveDecode(source, backend);
            if (other === undefined) {
                await pause(parts.clock, delay, this.scope.signal);
            }
            backend = other ?? backend;
            const isConfirmed = await this.mayTransfer();
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            if (!isConfirmed) {
                return viewExpired;
            }
            // The engine may have started to leave, or have restarted, during the delay.
            if (this.scope.signal.aborted || this.readyBackend(backend.id)?.incarnation !== backend.incarnation) {
                return end;
            }
            parts.metrics.count("basilpaddle_import_retries_total", { pool: work.pool });
        }
    }

    private async import(
        source: Announcement,
        backend: Announcement,
        prompt: PrefillAnswer,
    ): Promise<AttemptEnd | undefined> {
        const { work, outcomeTracker, scope } = this.context;
        const allocation = this.recordAllocation(backend);
        const rate = Math.min(source.linkRate ?? Infinity, backend.linkRate ?? Infinity);
        this.scope.arm(transferGraceMilliseconds + transferTimeoutFactor * 1_000 * prompt.bytes / rate);
        outcomeTracker.recordCallStart();
        const from = { url: source.url, handle: prompt.handle };
        const call = this.engine(backend).import(this.id, from, work.generation, this.scope.signal);
        const result = await untilAborted(call.then(answer => answer.extract()), this.scope.signal, abandonedCall);
        if ("kind" in result) {
            const end = this.callFailed(allocation, result, "transfer");
            const refusalReason = result.kind === "notRun" ? benignRefusalOf(result.code) : undefined;
            return end.kind === "failed" && refusalReason !== undefined
                ? { ...end, benignRefusal: refusalReason }
                : end;
        }
        outcomeTracker.recordExecution();
        allocation.inFlight = false;
        // The prefill engine has transferred its result and evicts it by itself.
        this.allocations.splice(0, this.allocations.length, allocation);
        this.progress({ attempt: this.id, stage: "transferred", tokens: 0 });
        return scope.stopped === undefined ? undefined : { kind: "stopped" };
    }

    /**
     * Whether this daemon's view is confirmed. A non-idempotent request, which can't be retried, waits for that: otherwise
     * an election of control daemons would make it fail permanently.
     */
    private mayTransfer(): Promise<boolean> {
        const { parts, work } = this.context;
        return work.run === undefined
            ? Promise.resolve(parts.control.mayStart())
            : untilViewConfirmed(parts, this.scope.signal);
    }

    /** Asks the placement for another decode engine in place of a full one. Undefined if none has a free slot. */
    private async moveDecode(source: Announcement, full: Announcement): Promise<Announcement | undefined> {
        const { parts, written } = this.context;
        const moved = parts.placement.move({
            demand: schedulingRequestOf(this.context, this.id, this.avoid),
            prefill: source.id,
            decode: full.id,
            stage: "prefilled",
            tokens: written.tokens,
        });
        const id = await untilAborted(moved, this.scope.signal, undefined);
        const other = id === undefined ? undefined : this.readyBackend(id);
        if (other !== undefined) {
            this.acquireEngine(other);
        }
        return other;
    }

    /** Bounded for an idempotent request. A prefill that may not be repeated is retried until its engine evicts the result. */
    private createImportBackoff(): ImportBackoff {
        const { parts, work } = this.context;
        return work.run === undefined
            ? ImportBackoff.create(parts.clock.monotonic(), this.importDeadline(), parts.randomness)
            : ImportBackoff.untilEvicted(work.deadlineAt, parts.randomness);
    }

    /**
     * Time after which the import isn't retried, in monotonic milliseconds: the first token's target, past which another
     * request makes better use of the slot, or the deadline if the first token was already sent.
     */
    private importDeadline(): number {
        const { work, written } = this.context;
        return written.firstAt !== undefined
            ? work.deadlineAt
            : Math.min(work.deadlineAt, work.receivedAt + work.targets.firstToken);
    }

    private async decode(backend: Announcement): Promise<AttemptEnd> {
        this.context.lifecycle.send("decode");
        const stream = DecodeReader.create(this.context, this.id, backend, this.scope, this.engine(backend));
        const end = await stream.run();
        if (end.kind === "answered") {
            this.allocations.length = 0;
            this.context.lifecycle.send("end");
        }
        return end;
    }

    private callFailed(allocation: BackendAllocation, failure: EngineFailure, stage: string): AttemptEnd {
        this.context.outcomeTracker.recordFailure(failure);
        allocation.inFlight = failure.kind === "unknown";
        if (failure.kind === "notRun") {
            this.allocations.splice(this.allocations.indexOf(allocation), 1);
        }
        if (this.context.scope.stopped !== undefined) {
            return { kind: "stopped" };
        }
        const engine = allocation.backend.id;
        const message = `${stage} on ${engine}: ${failure.message}`;
        if (failure === abandonedCall || failure.code === "timeout") {
            return failed("backendTimeout", message, engine);
        }
        return failed(failure.kind === "notRun" ? "backendRefused" : "backendFailed", message, engine);
    }

    /** Cancels the remaining allocations and reports the end to the placement. `end` is undefined after an internal error. */
    private release(end: AttemptEnd | undefined): void {
        const { parts, work, written } = this.context;
        for (const allocation of this.allocations) {
            parts.cancellations.cancelInBackground(this.id, allocation.backend, allocation.inFlight);
        }
        if (end?.kind === "answered") {
            this.progress({ attempt: this.id, stage: "finished", tokens: written.tokens });
            return;
        }
        const stage = end?.kind === "stopped" ? "cancelled" : "failed";
        // An engine that nothing was sent to has not failed. Reporting it as failed because this daemon's view lags would keep
        // a new engine idle for seconds, and longer the more daemons lag.
        // Nor has an engine that was full, or that couldn't import a result that the prefill engine had evicted. Reported as
        // failed, it would get no work once its slots become free.
        const isEngineFault = end?.kind === "failed" && end.code !== "noBackend" && end.benignRefusal === undefined;
        const failedEngine = isEngineFault ? end.engine : undefined;
        this.progress({ attempt: this.id, stage, tokens: written.tokens, failedEngine });
        if (this.completedPrefill !== undefined) {
            const reason = this.context.scope.stopped ?? (end?.kind === "failed" ? end.code : "internal");
            const labels = { pool: work.pool, reason };
            const { answer, milliseconds } = this.completedPrefill;
            const tokens = answer.promptTokens - answer.reusedTokens;
            parts.metrics.count("basilpaddle_wasted_prefill_tokens_total", labels, tokens);
            parts.metrics.count("basilpaddle_wasted_prefill_milliseconds_total", labels, milliseconds);
        }
    }

    /** Aborts the attempt once the engine in use is gone from the view; a silent connection to it would never break by itself. */
    private checkActiveBackend(view: View): void {
        if (this.activeBackend === undefined) {
            return;
        }
        const known = view.backends[this.activeBackend.id];
        const isCurrent = known !== undefined && known.state !== "gone"
            && known.announcement.incarnation === this.activeBackend.incarnation;
        if (!isCurrent) {
            this.scope.end();
        }
    }

    private recordAllocation(backend: Announcement): BackendAllocation {
        const allocation = { backend, inFlight: true };
        this.activeBackend = backend;
        this.allocations.push(allocation);
        return allocation;
    }

    /** The backend server's announcement, if it may be given new work. */
    private readyBackend(id: string): Announcement | undefined {
        const backend = this.context.parts.control.view().backends[id];
        if (backend?.state !== "ready") {
            return undefined;
        }
        const leaving = this.context.parts.marks.isLeaving(id, backend.announcement.incarnation);
        return leaving ? undefined : backend.announcement;
    }

    private engine(backend: Announcement) {
        return this.context.parts.engines.clientFor(backend.url);
    }

    private progress(progress: Progress): void {
        this.context.parts.placement.progress(this.context.work.pool, progress);
    }
}

const viewExpired: AttemptEnd = {
    kind: "failed",
    code: "viewExpired",
    message: "this daemon's view of the deployment is not confirmed",
    engine: undefined,
};

function benignRefusalOf(code: string | undefined): "full" | "evicted" | undefined {
    return code === "full" || code === "evicted" ? code : undefined;
}

function failed(code: RefusalCode, message: string, engine: string): AttemptEnd {
    return { kind: "failed", code, message, engine };
}
