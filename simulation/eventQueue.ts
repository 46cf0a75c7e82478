type ScheduledEvent = { readonly at: number; readonly act: () => void; };

/** Runs scheduled callbacks in the order of their times, at once after each other; time is simulated. */
export class EventQueue {
    /** Sorted by time, the latest first. */
    private readonly events: ScheduledEvent[] = [];
    private time = 0;

    private constructor() {}

    static create(): EventQueue {
        return new EventQueue();
    }

    /** Simulated milliseconds since the start. */
    now(): number {
        return this.time;
    }

    /** Schedules a callback, after those that were scheduled for the same time before. */
    after(milliseconds: number, act: () => void): void {
        const at = this.time + milliseconds;
        let low = 0;
        let high = this.events.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.events[middle]!.at > at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.events.splice(low, 0, { at, act });
    }

    /** Runs until no callback is left. */
    runToEnd(): void {
        for (let event = this.events.pop(); event !== undefined; event = this.events.pop()) {
            this.time = event.at;
            event.act();
        }
    }
}
