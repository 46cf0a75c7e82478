import { setImmediate } from "node:timers/promises";
import { Clock } from "../packages/basilpaddle/src/node/utils/index.js";

/** A clock for tests that advances only when told to; its wall time equals its monotonic time. */
export class ManualClock extends Clock {
    private timers: { readonly at: number; readonly callback: () => void; }[] = [];

    constructor(private now = 0) {
        super();
    }

    override monotonic(): number {
        return this.now;
    }

    override wall(): number {
        return this.now;
    }

    override after(milliseconds: number, callback: () => void): () => void {
        const timer = { at: this.now + milliseconds, callback };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /** Advances the time and runs the timers that are due, in order. Promises settle before each timer and at the end. */
    async advance(milliseconds: number): Promise<void> {
        const until = this.now + milliseconds;
        for (;;) {
            await flushPromises();
            const due = this.timers.filter(({ at }) => at <= until).sort((one, other) => one.at - other.at)[0];
            if (due === undefined) {
                break;
            }
            this.timers = this.timers.filter(timer => timer !== due);
            this.now = Math.max(this.now, due.at);
            due.callback();
        }
        this.now = until;
        await flushPromises();
    }

    /** Advances the time without running timers, as if the process were suspended. */
    freeze(milliseconds: number): void {
        this.now += milliseconds;
    }
}

/** Runs all code that waits only for promises: five turns of the event loop. */
export async function flushPromises(): Promise<void> {
    for (let turn = 0; turn < 5; turn++) {
        await setImmediate();
    }
}
