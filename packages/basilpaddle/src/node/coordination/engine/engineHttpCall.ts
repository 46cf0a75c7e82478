import type { Dispatcher } from "undici";
import type { Clock } from "../../utils/index.js";
import type { EngineFailure } from "./engine.js";
import { notSent, unknownOutcome } from "./engineFailure.js";

/** One HTTP request to an engine. Tracks whether any byte of it may have been sent. */
export abstract class EngineHttpCall implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private cancelTimer: (() => void) | undefined;
    private unsubscribe: (() => void) | undefined;
    private ended = false;
    private readonly createdAt: number;

    protected constructor(protected readonly clock: Clock, private readonly connectTimeoutMilliseconds: number) {
        this.createdAt = clock.monotonic();
    }

    /** Sends the request once. */
    dispatch(dispatcher: Dispatcher, options: Dispatcher.DispatchOptions, signal: AbortSignal | undefined): void {
        if (signal?.aborted) {
            this.fail("the caller cancelled the call");
            return;
        }
        this.listenToSignal(signal);
        this.setTimeLimit(this.connectTimeoutMilliseconds, "connecting to the engine timed out");
        dispatcher.dispatch(options, this);
    }

    /** undici calls this right before it writes the first byte; a failure before this call proves that nothing was sent. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        // A second start means that undici resends the request by itself; a start after the end means that the call was
        // already reported as not run. Both would execute the request without the caller's knowledge. Aborting here sends
        // nothing.
        if (this.ended || this.controller !== undefined) {
            controller.abort(new Error("the request has already ended or been started"));
            return;
        }
        // A process that resumes after a freeze handles its connections before its timers. A request that was waiting for a
        // connection would be sent now, although the caller may no longer send it: its lease may have expired, or the next
        // holder may have sent a conflicting order. So the elapsed time is checked here as well.
        if (this.elapsed() > this.connectTimeoutMilliseconds) {
            this.fail("connecting to the engine timed out");
            controller.abort(new Error("connecting to the engine timed out"));
            return;
        }
        this.controller = controller;
        this.cancelTimer?.();
        this.started();
    }

    abstract onResponseStart(controller: Dispatcher.DispatchController, status: number): void;

    abstract onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void;

    abstract onResponseEnd(): void;

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail(error.message);
    }

    /** Fails the call: `notRun` if no byte can have been sent, otherwise `unknown`. */
    fail(message: string): void {
        this.failWith(this.controller === undefined ? notSent(message) : unknownOutcome(message));
    }

    /** Called before the first byte is written. */
    protected abstract started(): void;

    /** Delivers the failure to the caller. Called at most once, and not after `finish`. */
    protected abstract failed(failure: EngineFailure): void;

    protected failWith(failure: EngineFailure): void {
        if (this.finish()) {
            this.controller?.abort(new Error(failure.message));
            this.failed(failure);
        }
    }

    /** Ends the call. Returns false if it had already ended. */
    protected finish(): boolean {
        if (this.ended) {
            return false;
        }
        this.ended = true;
        this.cancelTimer?.();
        this.unsubscribe?.();
        return true;
    }

    /** Milliseconds since the call was created. */
    protected elapsed(): number {
        return this.clock.monotonic() - this.createdAt;
    }

    protected hasEnded(): boolean {
        return this.ended;
    }

    /** Fails the call after the given milliseconds. Replaces the current timer. */
    protected setTimeLimit(milliseconds: number, message: string): void {
        this.setTimer(milliseconds, () => this.fail(message));
    }

    /** Runs the callback after the given milliseconds. Replaces the current timer. */
    protected setTimer(milliseconds: number, callback: () => void): void {
        this.cancelTimer?.();
        this.cancelTimer = this.clock.after(milliseconds, callback);
    }

    private listenToSignal(signal: AbortSignal | undefined): void {
        if (signal === undefined) {
            return;
        }
        const handleAbort = () => this.fail("the caller cancelled the call");
        signal.addEventListener("abort", handleAbort, { once: true });
        this.unsubscribe = () => signal.removeEventListener("abort", handleAbort);
    }
}
