import TinyQueue from "tinyqueue";

type ScheduledCallback = { readonly at: number; readonly order: number; readonly run: () => void; };

/** Discrete-event simulation in milliseconds. Callbacks due at the same time run in the order in which they were scheduled. */
export class Simulation {
    now = 0;
    private order = 0;
    private readonly queue = new TinyQueue<ScheduledCallback>(
        [],
        (one, other) => one.at - other.at || one.order - other.order,
    );

    static create(): Simulation {
        return new Simulation();
    }

    /** Schedules a callback after the given milliseconds. */
    after(milliseconds: number, run: () => void): void {
        this.queue.push({ at: this.now + Math.max(0, milliseconds), order: this.order++, run });
    }

    /** Runs all callbacks that are due until the given time. */
    runUntil(end: number): void {
        for (let next = this.queue.peek(); next !== undefined && next.at <= end; next = this.queue.peek()) {
            this.queue.pop();
            this.now = next.at;
            next.run();
        }
        this.now = end;
    }
}
