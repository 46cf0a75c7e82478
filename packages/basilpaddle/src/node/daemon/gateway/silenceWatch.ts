import type { Clock } from "../../utils/index.js";

/** What is done about a silence. */
export type SilenceListener = {
    /** Called when nothing has been heard for the limit, and again after each further one. */
    readonly onSilent: () => void;
    /** Called when something is heard after that. */
    readonly onHeard: () => void;
};

/** Watches for how long nothing is heard of a backend server, by a clock that stands still while this process can't hear it. */
export class SilenceWatch {
    private heardAt: number;
    private pauses = 0;
    private isSilent = false;
    private cancel: () => void = () => undefined;

    private constructor(
        private readonly clock: Clock,
        private readonly limit: number,
        private readonly listener: SilenceListener,
    ) {
        this.heardAt = clock.monotonic();
        this.schedule();
    }

    /** `clock`: an active clock. `limit`: milliseconds. The watch begins at once, and goes on until `close`. */
    static create(clock: Clock, limit: number, listener: SilenceListener): SilenceWatch {
        return new SilenceWatch(clock, limit, listener);
    }

    /** Records that something was heard. */
    heard(): void {
        this.heardAt = this.clock.monotonic();
        if (this.isSilent) {
            this.isSilent = false;
            this.listener.onHeard();
        }
    }

    /** Doesn't count the time of `work`, in which this process doesn't read. */
    async pauseDuring<T>(work: Promise<T>): Promise<T> {
        this.pauses += 1;
        try {
            return await work;
        }
        finally {
            this.pauses -= 1;
            this.heardAt = this.clock.monotonic();
        }
    }

    /** Ends the watch. */
    close(): void {
        this.cancel();
    }

    private schedule(): void {
        const left = this.limit - (this.clock.monotonic() - this.heardAt);
        this.cancel = this.clock.after(left > 0 ? left : this.limit, () => {
            const isOver = this.pauses === 0 && this.clock.monotonic() - this.heardAt >= this.limit;
            this.schedule();
            if (isOver) {
                this.isSilent = true;
                this.listener.onSilent();
            }
        });
    }
}
