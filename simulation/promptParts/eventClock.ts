import TinyQueue from "tinyqueue";
import { Clock } from "../../packages/basilpaddle/src/node/utils/index.js";

type Event = { readonly at: number; readonly number: number; readonly act: () => void; };

/** A clock that runs its timers in order, without waiting and without promises. */
export class EventClock extends Clock {
    private readonly events = new TinyQueue<Event>([], (one, other) => one.at - other.at || one.number - other.number);
    private now = 0;
    private createdEvents = 0;

    static create(): EventClock {
        return new EventClock();
    }

    override monotonic(): number {
        return this.now;
    }

    override wall(): number {
        return this.now;
    }

    override after(milliseconds: number, act: () => void): () => void {
        let cancelled = false;
        this.createdEvents += 1;
        this.events.push({ at: this.now + milliseconds, number: this.createdEvents, act: () => cancelled || act() });
        return () => {
            cancelled = true;
        };
    }

    /** Runs all timers up to a time. */
    runUntil(end: number): void {
        for (let next = this.events.peek(); next !== undefined && next.at <= end; next = this.events.peek()) {
            this.events.pop();
            this.now = next.at;
            next.act();
        }
        this.now = end;
    }
}
