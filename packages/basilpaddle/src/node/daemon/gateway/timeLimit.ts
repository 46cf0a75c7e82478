import type { Clock } from "../../utils/index.js";

/** Aborts when its time is up or when what it belongs to is aborted, whichever comes first. */
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

    /** Ends the time now. */
    cut(): void {
        this.abort();
    }

    /** Takes the limit off; to be called however its work ends. */
    end(): void {
        this.cancel();
        this.parent.removeEventListener("abort", this.abort);
    }
}
