import type { Announcement, PrefillAnswer, Progress, RefusalCode, View } from "../../protocol/index.js";
import type { EngineFailure } from "../engine/engine.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import { schedulingRequestOf } from "./attemptSchedulingRequest.js";
import { DecodeReader } from "./decodeReader.js";
import { ImportBackoff } from "./importBackoff.js";
import { AttemptScope, pause, untilAborted } from "./scope.js";
import { waitForConfirmedView, waitForEngines } from "./viewWaits.js";

/**
 * A transfer times out after `transferTimeoutFactor` times its expected duration (size divided by link rate), plus this
 * grace.
 */
const transferGraceMilliseconds = 3_000;
const transferTimeoutFactor = 4;

/**
 * Resources that a backend server may have allocated to the attempt. `inFlight`: a call was sent there and isn't
 * answered.
 */
type BackendAllocation = { readonly backend: Announcement; inFlight: boolean; };

const abandonedCall: EngineFailure = { kind: "unknown", code: undefined, message: "abandoned before it was answered" };

/**
 * One attempt to answer a request, with its own id and engines. When it ends, it releases everything allocated to it
 * there.
 */
export class Attempt {
    private readonly id: string;
    private readonly scope: AttemptScope;
    private readonly allocations: BackendAllocation[] = [];
    private readonly acquiredUrls: string[] = [];
    private activeBackend: Announcement | undefined;
    private completedPrefill: { readonly answer: PrefillAnswer; readonly milliseconds: number; } | undefined;

    private constructor(private readonly context: AttemptContext, private readonly avoid: readonly string[]) {
        this.id = context.options.attempts.begin();
        this.scope = AttemptScope.create(context.scope, context.options.clock);
    }

    static async run(context: AttemptContext, avoid: readonly string[]): Promise<AttemptEnd> {
        const attempt = new Attempt(context, avoid);
        try {
            return await attempt.run();
        }
        finally {
            attempt.scope.close();
            context.options.attempts.end(attempt.id);
        }
    }

    private async run(): Promise<AttemptEnd> {
        const { options, lifecycle } = this.context;
        if (!options.control.mayStart()) {
            return viewExpired;
        }
        lifecycle.send("reserve");
        const decision = await options.placement.reserve(
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
        const unsubscribe = options.control.onView(view => this.abortIfBackendLost(view));
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
        await waitForEngines(this.context.options, [prefillId, decodeId], this.scope.signal);
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
            this.acquiredUrls.forEach(url => this.context.options.engines.releaseClient(url));
        }
    }

    private acquireEngine(backend: Announcement): void {
        this.context.options.engines.acquireClient(backend.url);
        this.acquiredUrls.push(backend.url);
    }

    private async generateAnswer(prefill: Announcement, decode: Announcement): Promise<AttemptEnd> {
        const prefillAnswer = await this.prefill(prefill);
        if ("kind" in prefillAnswer) {
            return prefillAnswer;
        }
        const transferred = await this.transfer(prefill, decode, prefillAnswer);
        return "kind" in transferred ? transferred : this.decode(transferred);
    }

    private async prefill(backend: Announcement): Promise<PrefillAnswer | AttemptEnd> {
        const { options, request, lifecycle, outcomeTracker, scope } = this.context;
        if (scope.stopped !== undefined) {
            return { kind: "stopped" };
        }
        if (!options.control.mayStart()) {
            return viewExpired;
        }
        lifecycle.send("prefill");
        this.progress({ attempt: this.id, stage: "prefilling", tokens: 0 });
        const startedAt = options.clock.monotonic();
        const allocation = this.recordAllocation(backend);
        outcomeTracker.recordCallStart();
        const call = this.engine(backend).prefill(this.id, request.generation, this.scope.signal);
        const result = await untilAborted(call.then(answer => answer.extract()), this.scope.signal, abandonedCall);
        if ("kind" in result) {
            return this.callFailed(allocation, result, "prefill");
        }
        outcomeTracker.recordExecution();
        allocation.inFlight = false;
        const milliseconds = options.clock.monotonic() - startedAt;
        this.completedPrefill = { answer: result, milliseconds };
        this.context.written.promptTokens = result.promptTokens;
        options.metrics.observe("basilpaddle_prefill_milliseconds", milliseconds, { pool: request.pool });
        this.progress({ attempt: this.id, stage: "prefilled", tokens: 0, reusedTokens: result.reusedTokens });
        return scope.stopped === undefined ? result : { kind: "stopped" };
    }

    /**
     * Transfers the prefill's result to a decode engine. Returns that engine, or how the attempt ended if it didn't
     * succeed.
     */
    private async transfer(
        source: Announcement,
        assignedEngine: Announcement,
        prefillAnswer: PrefillAnswer,
    ): Promise<Announcement | AttemptEnd> {
        const { options, request, lifecycle, scope } = this.context;
        // A process that resumes here after a freeze would use a decode slot that its successor doesn't know to be in use.
        if (!await this.mayTransfer()) {
            return scope.stopped === undefined ? viewExpired : { kind: "stopped" };
        }
        lifecycle.send("transfer");
        const backoff = this.createImportBackoff();
        let backend = assignedEngine;
        for (;;) {
            const end = await this.import(source, backend, prefillAnswer);
            if (end === undefined) {
                return backend;
            }
            if (end.kind !== "failed" || end.benignRefusal !== "full") {
                return end;
            }
            // Failing now would discard the finished prefill, and a non-idempotent request would fail permanently.
            const delay = backoff.nextDelay(options.clock.monotonic());
            if (delay === undefined) {
                return end;
            }
            const replacement = await this.moveDecode(source, backend);
            if (replacement === undefined) {
                await pause(options.clock, delay, this.scope.signal);
            }
            backend = replacement ?? backend;
            const isConfirmed = await this.mayTransfer();
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            if (!isConfirmed) {
                return viewExpired;
            }
            // The engine may have begun to shut down, or may have restarted, during the delay.
            if (this.scope.signal.aborted || this.readyBackend(backend.id)?.incarnation !== backend.incarnation) {
                return end;
            }
            options.metrics.count("basilpaddle_import_retries_total", { pool: request.pool });
        }
    }

    private async import(
        source: Announcement,
        backend: Announcement,
        prefillAnswer: PrefillAnswer,
    ): Promise<AttemptEnd | undefined> {
        const { request, outcomeTracker, scope } = this.context;
        const allocation = this.recordAllocation(backend);
        const rate = Math.min(source.linkRate ?? Infinity, backend.linkRate ?? Infinity);
        this.scope.arm(transferGraceMilliseconds + transferTimeoutFactor * 1_000 * prefillAnswer.bytes / rate);
        outcomeTracker.recordCallStart();
        const from = { url: source.url, handle: prefillAnswer.handle };
        const call = this.engine(backend).import(this.id, from, request.generation, this.scope.signal);
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
        // The prefill engine evicts its result by itself after the transfer, so only the decode engine's allocation is
        // left.
        this.allocations.splice(0, this.allocations.length, allocation);
        this.progress({ attempt: this.id, stage: "transferred", tokens: 0 });
        return scope.stopped === undefined ? undefined : { kind: "stopped" };
    }

    /**
     * Whether this daemon's view is confirmed. For a non-idempotent request, which can't be retried, waits for the confirmation
     * for a bounded time: otherwise an election of control daemons would make the request fail permanently.
     */
    private mayTransfer(): Promise<boolean> {
        const { options, request } = this.context;
        return request.run === undefined
            ? Promise.resolve(options.control.mayStart())
            : waitForConfirmedView(options, this.scope.signal);
    }

    /** Requests another decode engine in place of a full one. Undefined if none has a free slot. */
    private async moveDecode(source: Announcement, fullEngine: Announcement): Promise<Announcement | undefined> {
        const { options, written } = this.context;
        const moveResult = options.placement.move({
            demand: schedulingRequestOf(this.context, this.id, this.avoid),
            prefill: source.id,
            decode: fullEngine.id,
            stage: "prefilled",
            tokens: written.tokens,
        });
        const id = await untilAborted(moveResult, this.scope.signal, undefined);
        const replacement = id === undefined ? undefined : this.readyBackend(id);
        if (replacement !== undefined) {
            this.acquireEngine(replacement);
        }
        return replacement;
    }

    /**
     * Bounded for an idempotent request. The import of a prefill that may not be repeated is retried until the result is
     * evicted.
     */
    private createImportBackoff(): ImportBackoff {
        const { options, request } = this.context;
        return request.run === undefined
            ? ImportBackoff.create(options.clock.monotonic(), this.importDeadline(), options.randomness)
            : ImportBackoff.untilEvicted(request.deadlineAt, options.randomness);
    }

    /**
     * Time after which the import isn't retried, in monotonic milliseconds: the first token's target, after which another
     * request makes better use of the slot, or the deadline if the first token was already sent.
     */
    private importDeadline(): number {
        const { request, written } = this.context;
        return written.firstTokenAt !== undefined
            ? request.deadlineAt
            : Math.min(request.deadlineAt, request.receivedAt + request.targets.firstToken);
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
        const { options, request, written } = this.context;
        for (const allocation of this.allocations) {
            options.cancellations.cancelInBackground(this.id, allocation.backend, allocation.inFlight);
        }
        if (end?.kind === "answered") {
            this.progress({ attempt: this.id, stage: "finished", tokens: written.tokens });
            return;
        }
        const stage = end?.kind === "stopped" ? "cancelled" : "failed";
        // An engine to which nothing was sent has not failed. If it were reported as failed because this daemon's view is
        // behind, a new engine would stay idle for seconds, and longer the more daemons are behind. Neither has an engine
        // failed that was full, or that couldn't import a result that the prefill engine had evicted: reported as failed,
        // it would get no work when its slots become free.
        const isEngineFault = end?.kind === "failed" && end.code !== "noBackend" && end.benignRefusal === undefined;
        const failedEngine = isEngineFault ? end.engine : undefined;
        this.progress({ attempt: this.id, stage, tokens: written.tokens, failedEngine });
        if (this.completedPrefill !== undefined) {
            const reason = this.context.scope.stopped ?? (end?.kind === "failed" ? end.code : "internal");
            const labels = { pool: request.pool, reason };
            const { answer, milliseconds } = this.completedPrefill;
            const tokens = answer.promptTokens - answer.reusedTokens;
            options.metrics.count("basilpaddle_wasted_prefill_tokens_total", labels, tokens);
            options.metrics.count("basilpaddle_wasted_prefill_milliseconds_total", labels, milliseconds);
        }
    }

    /**
     * Aborts the attempt when the engine in use is no longer in the view: a silent connection to it would never break by
     * itself.
     */
    private abortIfBackendLost(view: View): void {
        if (this.activeBackend === undefined) {
            return;
        }
        const entry = view.backends[this.activeBackend.id];
        const isCurrent = entry !== undefined && entry.state !== "gone"
            && entry.announcement.incarnation === this.activeBackend.incarnation;
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
        const backend = this.context.options.control.view().backends[id];
        if (backend?.state !== "ready") {
            return undefined;
        }
        const leaving = this.context.options.leavingBackends.isLeaving(id, backend.announcement.incarnation);
        return leaving ? undefined : backend.announcement;
    }

    private engine(backend: Announcement) {
        return this.context.options.engines.clientFor(backend.url);
    }

    private progress(progress: Progress): void {
        this.context.options.placement.progress(this.context.request.pool, progress);
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
