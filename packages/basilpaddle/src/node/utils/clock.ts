/** Source of time. Monotonic time decides leases and timeouts; wall time is only for people and records. */
export abstract class Clock {
    /** Milliseconds on a clock that never goes back and that goes on counting while the process is stopped. */
    abstract monotonic(): number;

    /** Milliseconds since 1970, as the host believes it. Never compared between hosts. */
    abstract wall(): number;

    /** Runs the callback once after the given milliseconds; the returned function cancels it. */
    abstract after(milliseconds: number, callback: () => void): () => void;
}

/**
 * Runs the callback once after the given milliseconds, and after whatever has arrived by then was looked at; the returned
 * function cancels it. A process that was busy or stopped finds its timers due first: taken at their word, it would
 * give up connections and answers that have long been there.
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

/** The host's own clocks. */
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
