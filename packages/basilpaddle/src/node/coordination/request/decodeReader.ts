import type { Announcement, DecodeLine } from "../../protocol/index.js";
import type { Engine, EngineFailure } from "../engine/engine.js";
import type { EndReason } from "./answer.js";
import type { AttemptContext, AttemptEnd } from "./attemptContext.js";
import { type AttemptScope, eachUntilAborted, pause } from "./scope.js";

/** Time without a token after which a stream is considered broken. */
const idleTimeoutMilliseconds = 15_000;
/** Consecutive streams without a new token after which the attempt fails. */
const maxResumesWithoutProgress = 3;
const initialBackoffMilliseconds = 25;

type StreamFailure = {
    readonly failure: EngineFailure;
    /** Whether the attempt may still be active at the engine, so that resuming the stream can succeed. */
    readonly resumable: boolean;
};
type StreamResult = { readonly reason: EndReason; } | StreamFailure;

/** Reads the answer of one attempt in order and without gaps, resuming the engine's stream when it breaks. */
export class DecodeReader {
    private backpressure: Promise<void> | undefined;
    /** Offset of the next token of this attempt. An engine resumes only streams that it started, so reading starts at 0. */
    private nextOffset = 0;

    private constructor(
        private readonly context: AttemptContext,
        private readonly attempt: string,
        private readonly backend: Announcement,
        private readonly scope: AttemptScope,
        private readonly engine: Engine,
    ) {}

    static create(
        context: AttemptContext,
        attempt: string,
        backend: Announcement,
        scope: AttemptScope,
        engine: Engine,
    ): DecodeReader {
        return new DecodeReader(context, attempt, backend, scope, engine);
    }

    async run(): Promise<AttemptEnd> {
        const { lifecycle, scope } = this.context;
        let resumesWithoutProgress = 0;
        for (;;) {
            const offsetBefore = this.nextOffset;
            const end = await this.readStream();
            if ("reason" in end) {
                return { kind: "answered", reason: end.reason };
            }
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            resumesWithoutProgress = this.nextOffset > offsetBefore ? 0 : resumesWithoutProgress + 1;
            if (!end.resumable || resumesWithoutProgress >= maxResumesWithoutProgress || !this.canResume()) {
                return this.failAttempt(end.failure);
            }
            lifecycle.send("lose");
            this.context.options.metrics.count("basilpaddle_decode_resumes_total", { pool: this.context.request.pool });
            await pause(
                this.context.options.clock,
                initialBackoffMilliseconds * 2 ** resumesWithoutProgress,
                scope.signal,
            );
            if (scope.stopped !== undefined) {
                return { kind: "stopped" };
            }
            lifecycle.send("decode");
        }
    }

    private async readStream(): Promise<StreamResult> {
        const { scope, options } = this.context;
        this.scope.arm(idleTimeoutMilliseconds);
        let timeoutStartedAt = options.clock.monotonic();
        const { signal } = this.scope;
        const batches = this.engine.decodeBatches(this.attempt, this.nextOffset, signal);
        for await (const batch of eachUntilAborted(batches, signal)) {
            if (scope.stopped !== undefined) {
                return streamFailure("stopped", false);
            }
            if (batch.isLeft()) {
                const failure = batch.extract();
                return { failure, resumable: failure.kind === "unknown" && !this.scope.signal.aborted };
            }
            const now = options.clock.monotonic();
            for (const line of batch.extract() as readonly DecodeLine[]) {
                const end = this.handleLine(line, now);
                if (end !== undefined) {
                    return end;
                }
            }
            if (this.backpressure !== undefined) {
                await this.waitForCaller(this.backpressure);
                timeoutStartedAt = options.clock.monotonic();
            }
            else if (now - timeoutStartedAt > idleTimeoutMilliseconds / 4) {
                this.scope.arm(idleTimeoutMilliseconds);
                timeoutStartedAt = now;
            }
        }
        return streamFailure("the stream ended without an end line", !this.scope.signal.aborted);
    }

    private handleLine(line: DecodeLine, now: number): StreamResult | undefined {
        const expectedOffset = this.context.written.tokens;
        if (line.kind === "error") {
            return { failure: { kind: "failed", code: undefined, message: line.message }, resumable: false };
        }
        if (line.offset > expectedOffset) {
            return streamFailure(`gap in the stream: got offset ${line.offset}, expected ${expectedOffset}`, true);
        }
        if (line.kind === "end") {
            return line.offset === expectedOffset
                ? { reason: line.reason }
                : streamFailure(`the end line has offset ${line.offset}, expected ${expectedOffset}`, false);
        }
        this.nextOffset = Math.max(this.nextOffset, line.offset + 1);
        // A resumed stream, or the stream of a later attempt, may repeat tokens that the caller already has; they are
        // skipped.
        if (line.offset === expectedOffset) {
            this.writeToken(line.text, now);
        }
        return undefined;
    }

    private writeToken(text: string, now: number): void {
        const { written, options, request } = this.context;
        if (written.firstTokenAt === undefined) {
            written.firstTokenAt = now;
            options.placement.progress(request.pool, { attempt: this.attempt, stage: "firstToken", tokens: 1 });
        }
        written.tokens++;
        written.lastTokenAt = now;
        this.backpressure = this.context.answer.appendToken(text) ?? this.backpressure;
    }

    /** Waits for a slow caller with the idle timeout off: the engine is silent only because nothing reads from it. */
    private async waitForCaller(callerReady: Promise<void>): Promise<void> {
        this.backpressure = undefined;
        this.scope.disarm();
        await callerReady;
        this.scope.arm(idleTimeoutMilliseconds);
    }

    private canResume(): boolean {
        const entry = this.context.options.control.view().backends[this.backend.id];
        return this.backend.abilities.resume && entry !== undefined && entry.state !== "gone"
            && entry.announcement.incarnation === this.backend.incarnation;
    }

    private failAttempt(failure: EngineFailure): AttemptEnd {
        const message = `decode on ${this.backend.id}: ${failure.message}`;
        const code = this.scope.signal.aborted ? "backendTimeout" : "backendFailed";
        return { kind: "failed", code, message, engine: this.backend.id };
    }
}

function streamFailure(message: string, resumable: boolean): StreamFailure {
    return { failure: { kind: "unknown", code: undefined, message }, resumable };
}
