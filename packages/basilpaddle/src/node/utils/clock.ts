/** Source of time. Leases and timeouts use monotonic time only; wall time is for display and records. */
export abstract class Clock {
    /** Milliseconds on a clock that never goes backwards and keeps counting while the process is suspended. */
    abstract monotonic(): number;

    /** Milliseconds since 1970 by the host's clock. Not comparable between hosts. */
    abstract wall(): number;

    /** Runs the callback once after the given number of milliseconds; the returned function cancels it. */
    abstract after(milliseconds: number, callback: () => void): () => void;
}

/**
 * Runs the callback once after the given number of milliseconds, and after input that has arrived by then was processed; the
 * returned function cancels it. When a process was busy or suspended, its event loop runs expired timers before pending
 * input: without the extra step, it would time out connections and answers that have already arrived.
 */
export function afterPoll(milliseconds: number, callback: () => void): () => void {
    let cancelled = false;
    const timer = setTimeout(() => {
        setImmediate(() => {
            if (!cancelled) {
                callback();
            }
        });
    }, milliseconds);
    return () => {
        cancelled = true;
        clearTimeout(timer);
    };
}

/** The clocks of the host. */
export class SystemClock extends Clock {
    static create(): SystemClock {
        return new SystemClock();
    }

    override monotonic(): number {
        return Number(process.hrtime.bigint() / 1000n) / 1000;
    }

    override wall(): number {
        return Date.now();
    }

    override after(milliseconds: number, callback: () => void): () => void {
        return afterPoll(milliseconds, callback);
    }
}
