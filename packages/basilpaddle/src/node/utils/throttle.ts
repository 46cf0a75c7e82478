import type { Clock } from "./clock.js";

/** Does something at once when it is asked to, and again at most once an interval however often it is asked. */
export class Throttle {
    private nextAt = 0;
    private cancel: (() => void) | undefined;

    private constructor(
        private readonly clock: Clock,
        private readonly interval: number,
        private readonly act: () => void,
    ) {}

    /** `interval`: least milliseconds from one time to the next. */
    static create(clock: Clock, interval: number, act: () => void): Throttle {
        return new Throttle(clock, interval, act);
    }

    /** Asks for it: now, or as soon as the interval is over. */
    request(): void {
        if (this.cancel !== undefined) {
            return;
        }
        const wait = this.nextAt - this.clock.monotonic();
        if (wait <= 0) {
            this.run();
            return;
        }
        this.cancel = this.clock.after(wait, () => this.run());
    }

    /** Does it no more. */
    close(): void {
        this.cancel?.();
        this.cancel = undefined;
    }

    private run(): void {
        this.cancel = undefined;
        this.nextAt = this.clock.monotonic() + this.interval;
        this.act();
    }
}
