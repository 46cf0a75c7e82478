import type { RefusalCode } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";

/** Why a request is stopped before its end. */
export type StopReason = Extract<RefusalCode, "callerGone" | "deadlineExceeded" | "shuttingDown">;

/**
 * Cancellation scope of one request. It is stopped at most once, with one reason; its signal then aborts all pending
 * calls.
 */
export class RequestScope {
    private readonly controller = new AbortController();
    private stopReason: StopReason | undefined;

    static create(): RequestScope {
        return new RequestScope();
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    get stopped(): StopReason | undefined {
        return this.stopReason;
    }

    /** Stops the request; only the first reason counts. */
    stop(reason: StopReason): void {
        if (this.stopReason === undefined) {
            this.stopReason = reason;
            this.controller.abort();
        }
    }
}

/** Cancellation scope of one attempt. It is aborted with its request, or by itself when a stage times out. */
export class AttemptScope {
    private readonly controller = new AbortController();
    private readonly abortAttempt = () => this.end();
    private cancelTimer: (() => void) | undefined;

    private constructor(private readonly request: RequestScope, private readonly clock: Clock) {
        request.signal.addEventListener("abort", this.abortAttempt, { once: true });
        if (request.stopped !== undefined) {
            this.controller.abort();
        }
    }

    static create(request: RequestScope, clock: Clock): AttemptScope {
        return new AttemptScope(request, clock);
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Starts a timeout in milliseconds that aborts the attempt. Replaces the previous timeout. `disarm` cancels it. */
    arm(milliseconds: number): void {
        this.disarm();
        this.cancelTimer = this.clock.after(milliseconds, this.abortAttempt);
    }

    /** Aborts the attempt without stopping its request. */
    end(): void {
        this.controller.abort();
    }

    disarm(): void {
        this.cancelTimer?.();
        this.cancelTimer = undefined;
    }

    close(): void {
        this.disarm();
        this.request.signal.removeEventListener("abort", this.abortAttempt);
    }
}

/** Resolves or rejects with the promise, or resolves to the fallback if the signal aborts first. */
export function untilAborted<Value>(promise: Promise<Value>, signal: AbortSignal, fallback: Value): Promise<Value> {
    if (signal.aborted) {
        promise.catch(() => undefined);
        return Promise.resolve(fallback);
    }
    return new Promise((resolve, reject) => {
        const handleAbort = () => resolve(fallback);
        signal.addEventListener("abort", handleAbort, { once: true });
        promise.then(resolve, reject).finally(() => signal.removeEventListener("abort", handleAbort));
    });
}

/**
 * Yields the items until the iteration ends or the signal aborts. Without this, an engine client that ignores the signal
 * would block its request for as long as the engine sends nothing.
 */
export async function* eachUntilAborted<Item>(
    iterable: AsyncIterable<Item>,
    signal: AbortSignal,
): AsyncGenerator<Item> {
    const iterator = iterable[Symbol.asyncIterator]();
    let settleNext: (result: IteratorResult<Item> | undefined) => void = () => undefined;
    const handleAbort = () => settleNext(undefined);
    signal.addEventListener("abort", handleAbort, { once: true });
    try {
        while (!signal.aborted) {
            const result = await new Promise<IteratorResult<Item> | undefined>((resolve, reject) => {
                settleNext = resolve;
                iterator.next().then(resolve, reject);
            });
            if (result === undefined || result.done === true) {
                return;
            }
            yield result.value;
        }
    }
    finally {
        signal.removeEventListener("abort", handleAbort);
        // Not awaited: an async generator's return() settles only after its pending next(), which may never settle.
        iterator.return?.().catch(() => undefined);
    }
}

/** Resolves after the given milliseconds, or as soon as the signal aborts. */
export function pause(clock: Clock, milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const end = () => {
            cancel();
            signal?.removeEventListener("abort", end);
            resolve();
        };
        const cancel = clock.after(milliseconds, end);
        signal?.addEventListener("abort", end, { once: true });
    });
}
