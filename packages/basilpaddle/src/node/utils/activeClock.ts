import { Clock } from "./clock.js";
import { tickMilliseconds } from "./loopTicks.js";

/** A tick that is later than this isn't counted; a process that is held back by its share of a processor is late by up to 90 ms. */
const maxStepMilliseconds = tickMilliseconds + 100;
/** How long the clock stands still after the event loop did: what came meanwhile is read, and others that stood still with it go on. */
const settleMilliseconds = 250;

/**
 * A clock that stands still while this process does: suspended, without processor time, or in one long turn of its event loop. The silence of
 * others is judged by it: in such a time nobody is heard, whatever they send. A process that is late at every tick judges nobody.
 */
export class ActiveClock extends Clock {
    /** The time of this clock at the last tick. */
    private activeAt = 0;
    private tickedAt: number;
    private settledAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly clock: Clock) {
        super();
        this.tickedAt = clock.monotonic();
    }

    /** `clock`: measures the ticks; the clock stands still until `start`. */
    static create(clock: Clock): ActiveClock {
        return new ActiveClock(clock);
    }

    /** Starts to tick; the returned function stops it. */
    start(): () => void {
        this.tickedAt = this.clock.monotonic();
        const timer = setInterval(() => this.tick(), tickMilliseconds);
        timer.unref();
        return () => clearInterval(timer);
    }

    /** Counts the time since the last tick, unless the event loop stood still in it. */
    tick(): void {
        const now = this.clock.monotonic();
        const step = now - this.tickedAt;
        this.tickedAt = now;
        if (step > maxStepMilliseconds) {
            this.settledAt = now + settleMilliseconds;
        }
        else if (now > this.settledAt) {
            this.activeAt += step;
        }
    }

    /** Milliseconds in which this process was active, as of the last tick. */
    override monotonic(): number {
        return this.activeAt;
    }

    override wall(): number {
        return this.clock.wall();
    }

    /** Runs the callback once this process has been active for that many milliseconds. */
    override after(milliseconds: number, callback: () => void): () => void {
        const endsAt = this.activeAt + milliseconds;
        let cancel = (): void => undefined;
        const wait = (): void => {
            const left = endsAt - this.activeAt;
            cancel = this.clock.after(Math.max(left, tickMilliseconds), () => {
                if (this.activeAt >= endsAt) {
                    callback();
                }
                else {
                    wait();
                }
            });
        };
        wait();
        return () => cancel();
    }
}
