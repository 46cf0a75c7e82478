/** Interval of the ticks by which the lag is measured: slow enough to cost nothing on a small share of a processor. */
export const tickMilliseconds = 20;
/** Number of ticks that are remembered. */
const rememberedTicks = 4;

/** The last times at which a repeating timer of the event loop ran. It has no timer of its own: times are passed in. */
export class LoopTicks {
    private times: readonly number[] = [];

    private constructor() {}

    static create(): LoopTicks {
        return new LoopTicks();
    }

    /** Records that the timer ran. */
    record(now: number): void {
        this.times = [now, ...this.times].slice(0, rememberedTicks);
    }

    /** The times, the latest first. */
    latest(): readonly number[] {
        return this.times;
    }

    /**
     * The earliest time at which a signal may have come that is handled now, undefined until two ticks are known. It may be left to a turn
     * after the last tick, since a poll that it interrupts can end without reading it.
     */
    earliestSignal(): number | undefined {
        return this.times[1];
    }
}
