import type { Announcement, PrefillAnswer, Progress, RefusalCode, View } from "../../protocol/index.js";
import type { EngineFailure } from "../engine/engine.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import { demandOf } from "./attemptDemand.js";
import { DecodeStream } from "./decodeStream.js";
import { ImportTries } from "./importTries.js";
import { AttemptScope, pause, untilAborted } from "./scope.js";
import { untilEnginesKnown, untilViewConfirmed } from "./viewWaits.js";

/** Milliseconds beyond the expected time of a transfer after which it counts as stalled. */
const transferGrace = 3_000;
const transferFactor = 4;

type Held = { readonly backend: Announcement; inFlight: boolean; };

const abandoned: EngineFailure = { kind: "unknown", code: undefined, message: "given up while under way" };

/** One try to answer a request: its own identifier, its own engines, and the duty to free what it held. */
export class Attempt {
    private readonly id: string;
    private readonly scope: AttemptScope;
    private readonly held: Held[] = [];
    private readonly borrowed: string[] = [];
    private working: Announcement | undefined;
    private prefilled: { readonly answer: PrefillAnswer; readonly milliseconds: number; } | undefined;

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
            demandOf(this.context, this.id, this.avoid),
            this.context.scope.signal,
        );
        if (decision.kind === "refused") {
            return this.context.scope.stopped === undefined
                ? { kind: "refused", refusal: decision.refusal }
                : { kind: "stopped" };
        }
        lifecycle.send("assign");
        let end: AttemptEnd | undefined;
        const unfollow = parts.control.onView(view => this.follow(view));
        try {
            end = await this.carryOut(decision.prefill, decision.decode);
        }
        finally {
            unfollow();
            this.release(end);
        }
        return end;
    }

    private async carryOut(prefillId: string, decodeId: string): Promise<AttemptEnd> {
        await untilEnginesKnown(this.context.parts, [prefillId, decodeId], this.scope.signal);
        const prefill = this.ready(prefillId);
        const decode = this.ready(decodeId);
        if (prefill === undefined || decode === undefined) {
            const missing = prefill === undefined ? prefillId : decodeId;
            return failed("noBackend", `${missing} takes no new work`, missing);
        }
        this.borrow(prefill);
        this.borrow(decode);
        try {
            return await this.compute(prefill, decode);
        }
        finally {
            this.borrowed.forEach(url => this.context.parts.engines.giveBack(url));
        }
    }

    private borrow(backend: Announcement): void {
        this.context.parts.engines.borrow(backend.url);
        this.borrowed.push(backend.url);
    }

    private async compute(prefill: Announcement, decode: Announcement): Promise<AttemptEnd> {
        const prompt = await this.prefill(prefill);
        if ("kind" in prompt) {
            return prompt;
        }
        const transferred = await this.transfer(prefill, decode, prompt);
        return "kind" in transferred ? transferred : this.decode(transferred);
    }

    private async prefill(backend: Announcement): Promise<PrefillAnswer | AttemptEnd> {
        const { parts, work, lifecycle, trace, scope } = this.context;
        if (scope.stopped !== undefined) {
            return { kind: "stopped" };
        }
        if (!parts.control.mayStart()) {
            return viewExpired;
        }
        lifecycle.send("prefill");
        this.progress({ attempt: this.id, stage: "prefilling", tokens: 0 });
        const since = parts.clock.monotonic();
        const held = this.hold(backend);
        trace.sending();
        const call = this.engine(backend).prefill(this.id, work.generation, this.scope.signal);
        const result = await untilAborted(call.then(answer => answer.extract()), this.scope.signal, abandoned);
        if ("kind" in result) {
            return this.callFailed(held, result, "prefill");
        }
        trace.ran();
        held.inFlight = false;
        const milliseconds = parts.clock.monotonic() - since;
        this.prefilled = { answer: result, milliseconds };
        this.context.written.promptTokens = result.promptTokens;
        parts.metrics.observe("basilpaddle_prefill_milliseconds", milliseconds, { pool: work.pool });
        this.progress({ attempt: this.id, stage: "prefilled", tokens: 0, reusedTokens: result.reusedTokens });
        return scope.stopped === undefined ? result : { kind: "stopped" };
    }

    /** Gives the decode engine that has the prefill's result. */
    private async transfer(
        source: Announcement,
        reserved: Announcement,
        prompt: PrefillAnswer,
    ): Promise<Announcement | AttemptEnd> {
        const { parts, work, lifecycle, scope } = this.context;
        // A process that wakes from a freeze here would take a decode slot that its successor knows nothing of.
        if (!await this.mayTransfer()) {
            return scope.stopped === undefined ? viewExpired : { kind: "stopped" };
        }
        lifecycle.send("transfer");
        const tries = this.importTries();
        let backend = reserved;
        for (;;) {
            const end = await this.import(source, backend, prompt);
            if (end === undefined) {
                return backend;
            }
            if (end.kind !== "failed" || end.proof !== "full") {
                return end;
            }
            // Ended here, the finished prefill would be thrown away, and a non-idempotent request fail for good.
            const wait = tries.next(parts.clock.monotonic());
            if (wait === undefined) {
                return end;
            }
            const other = await this.move(source, backend);
            if (other === undefined) {
                await pause(parts.clock, wait, this.scope.signal);
            }
            backend = other ?? backend;
            const isConfirmed = await this.mayTransfer();
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            if (!isConfirmed) {
                return viewExpired;
            }
            // It may have begun to leave, or have restarted, while it was waited for.
            if (this.scope.signal.aborted || this.ready(backend.id)?.incarnation !== backend.incarnation) {
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
        const { work, trace, scope } = this.context;
        const held = this.hold(backend);
        const rate = Math.min(source.linkRate ?? Infinity, backend.linkRate ?? Infinity);
        this.scope.arm(transferGrace + transferFactor * 1_000 * prompt.bytes / rate);
        trace.sending();
        const from = { url: source.url, handle: prompt.handle };
        const call = this.engine(backend).import(this.id, from, work.generation, this.scope.signal);
        const result = await untilAborted(call.then(answer => answer.extract()), this.scope.signal, abandoned);
        if ("kind" in result) {
            const end = this.callFailed(held, result, "transfer");
            const proof = result.kind === "notRun" ? proofOf(result.code) : undefined;
            return end.kind === "failed" && proof !== undefined ? { ...end, proof } : end;
        }
        trace.ran();
        held.inFlight = false;
        // The prefill engine has handed its result over, and evicts it by itself.
        this.held.splice(0, this.held.length, held);
        this.progress({ attempt: this.id, stage: "transferred", tokens: 0 });
        return scope.stopped === undefined ? undefined : { kind: "stopped" };
    }

    /**
     * Whether this daemon's view is confirmed. What may not be tried again waits for that: an election of control daemons
     * would end it for good otherwise.
     */
    private mayTransfer(): Promise<boolean> {
        const { parts, work } = this.context;
        return work.run === undefined
            ? Promise.resolve(parts.control.mayStart())
            : untilViewConfirmed(parts, this.scope.signal);
    }

    /** Another decode engine in place of one that is full, where one has room. */
    private async move(source: Announcement, full: Announcement): Promise<Announcement | undefined> {
        const { parts, written } = this.context;
        const moved = parts.placement.move({
            demand: demandOf(this.context, this.id, this.avoid),
            prefill: source.id,
            decode: full.id,
            stage: "prefilled",
            tokens: written.tokens,
        });
        const id = await untilAborted(moved, this.scope.signal, undefined);
        const other = id === undefined ? undefined : this.ready(id);
        if (other !== undefined) {
            this.borrow(other);
        }
        return other;
    }

    /** A prefill that may not be made again is offered for as long as its engine keeps the result. */
    private importTries(): ImportTries {
        const { parts, work } = this.context;
        return work.run === undefined
            ? ImportTries.create(parts.clock.monotonic(), this.latestImport(), parts.randomness)
            : ImportTries.untilEvicted(work.deadlineAt, parts.randomness);
    }

    /**
     * When a further import comes too late: the first token's target, past which another request has more use for the
     * slot; the deadline where the first token is out already.
     */
    private latestImport(): number {
        const { work, written } = this.context;
        return written.firstAt !== undefined
            ? work.deadlineAt
            : Math.min(work.deadlineAt, work.receivedAt + work.targets.firstToken);
    }

    private async decode(backend: Announcement): Promise<AttemptEnd> {
        this.context.lifecycle.send("decode");
        const stream = DecodeStream.create(this.context, this.id, backend, this.scope, this.engine(backend));
        const end = await stream.run();
        if (end.kind === "answered") {
            this.held.length = 0;
            this.context.lifecycle.send("end");
        }
        return end;
    }

    private callFailed(held: Held, failure: EngineFailure, stage: string): AttemptEnd {
        this.context.trace.failed(failure);
        held.inFlight = failure.kind === "unknown";
        if (failure.kind === "notRun") {
            this.held.splice(this.held.indexOf(held), 1);
        }
        if (this.context.scope.stopped !== undefined) {
            return { kind: "stopped" };
        }
        const engine = held.backend.id;
        const message = `${stage} on ${engine}: ${failure.message}`;
        if (failure === abandoned || failure.code === "timeout") {
            return failed("backendTimeout", message, engine);
        }
        return failed(failure.kind === "notRun" ? "backendRefused" : "backendFailed", message, engine);
    }

    /** Frees what is still held, and tells the placement; the reason of the end is already known. */
    private release(end: AttemptEnd | undefined): void {
        const { parts, work, written } = this.context;
        for (const held of this.held) {
            parts.cancellations.owe(this.id, held.backend, held.inFlight);
        }
        if (end?.kind === "answered") {
            this.progress({ attempt: this.id, stage: "finished", tokens: written.tokens });
            return;
        }
        const stage = end?.kind === "stopped" ? "cancelled" : "failed";
        // An engine that nothing was sent to has not failed. Blamed for a view that lags here, a new engine stays idle
        // for seconds, and longer the more daemons lag.
        // Nor has one that was only full, or was offered what another one had evicted: distrusted for it, it would get nothing
        // once its slots come free.
        const isBlamed = end?.kind === "failed" && end.code !== "noBackend" && end.proof === undefined;
        const failedEngine = isBlamed ? end.engine : undefined;
        this.progress({ attempt: this.id, stage, tokens: written.tokens, failedEngine });
        if (this.prefilled !== undefined) {
            const reason = this.context.scope.stopped ?? (end?.kind === "failed" ? end.code : "internal");
            const labels = { pool: work.pool, reason };
            const { answer, milliseconds } = this.prefilled;
            const tokens = answer.promptTokens - answer.reusedTokens;
            parts.metrics.count("basilpaddle_wasted_prefill_tokens_total", labels, tokens);
            parts.metrics.count("basilpaddle_wasted_prefill_milliseconds_total", labels, milliseconds);
        }
    }

    /** Gives an engine up once the view says that it is gone; a silent connection to it would never break by itself. */
    private follow(view: View): void {
        if (this.working === undefined) {
            return;
        }
        const known = view.backends[this.working.id];
        const isThere = known !== undefined && known.state !== "gone"
            && known.announcement.incarnation === this.working.incarnation;
        if (!isThere) {
            this.scope.end();
        }
    }

    private hold(backend: Announcement): Held {
        const held = { backend, inFlight: true };
        this.working = backend;
        this.held.push(held);
        return held;
    }

    /** The backend server, if it may get new work. */
    private ready(id: string): Announcement | undefined {
        const backend = this.context.parts.control.view().backends[id];
        if (backend?.state !== "ready") {
            return undefined;
        }
        const leaving = this.context.parts.marks.isLeaving(id, backend.announcement.incarnation);
        return leaving ? undefined : backend.announcement;
    }

    private engine(backend: Announcement) {
        return this.context.parts.engines.peek(backend.url);
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

function proofOf(code: string | undefined): "full" | "evicted" | undefined {
    return code === "full" || code === "evicted" ? code : undefined;
}

function failed(code: RefusalCode, message: string, engine: string): AttemptEnd {
    return { kind: "failed", code, message, engine };
}
