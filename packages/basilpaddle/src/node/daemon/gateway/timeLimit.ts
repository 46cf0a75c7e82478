import type { Clock } from "../../utils/index.js";

/** An abort signal that fires after a timeout or when its parent signal aborts, whichever comes first. */
export class TimeLimit {
    private readonly controller = new AbortController();
    private readonly abort = (): void => this.controller.abort();
    private readonly cancel: () => void;

    private constructor(clock: Clock, milliseconds: number, private readonly parent: AbortSignal) {
        this.cancel = clock.after(Math.max(1, milliseconds), this.abort);
        parent.addEventListener("abort", this.abort);
        if (parent.aborted) {
            this.abort();
        }
    }

    static create(clock: Clock, milliseconds: number, parent: AbortSignal): TimeLimit {
        return new TimeLimit(clock, milliseconds, parent);
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Aborts the signal now. */
    expire(): void {
        this.abort();
    }

    /** Removes the timer and the listener; always call it when the work has ended, also after an error. */
    clear(): void {
        this.cancel();
        this.parent.removeEventListener("abort", this.abort);
    }
}
