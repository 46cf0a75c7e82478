import { LoopTicks, tickMilliseconds } from "../../utils/index.js";

/** Lateness from which the event loop counts as lagging; a process that is held back by its share of a processor is late by up to 90 ms. */
export const lagThresholdMilliseconds = 100;
/** Limit of the time that a request is assumed to have waited unread, so that a long pause doesn't end requests that came at its end. */
export const maxUnreadMilliseconds = 2_000;

/** How late the event loop is, from the times of a repeating timer. It has no timer of its own: times are passed in. */
export class LoopLag {
    private readonly ticks = LoopTicks.create();

    private constructor() {}

    static create(): LoopLag {
        return new LoopLag();
    }

    /** Records that the timer ran; returns by how many milliseconds it was late. */
    recordTick(now: number): number {
        const [previous] = this.ticks.latest();
        this.ticks.record(now);
        return previous === undefined ? 0 : Math.max(0, now - previous - tickMilliseconds);
    }

    /** The earliest time at which a signal may have come that is handled now, undefined until two ticks are known. */
    earliestSignal(): number | undefined {
        return this.ticks.earliestSignal();
    }

    /**
     * Whether the event loop has lagged so recently that what the operating system held before `now` may be unprocessed. A connection that is accepted in one turn of
     * the event loop is read in the next one and its end is seen in the one after that.
     */
    isLagging(now: number): boolean {
        const ticks = this.ticks.latest();
        return [now, ...ticks].some((end, index) => isLate(ticks[index], end));
    }

    /**
     * The earliest time at which an event may have happened that the event loop processes now, such as the arrival of a request: `now`
     * unless the loop lags. The events of the turn before the last tick were processed after the tick before that one.
     */
    earliestTime(now: number): number {
        const [last, previous] = this.ticks.latest();
        const isLagging = isLate(last, now) || isLate(previous, last ?? now);
        return isLagging ? Math.max(previous ?? last ?? now, now - maxUnreadMilliseconds) : now;
    }

    /**
     * The earliest time at which a request may have arrived that is read now, if its connection was accepted at `acceptedAt` and may have
     * been opened at `openedAt`: a request waits for the accepting of its connection too.
     */
    earliestArrival(now: number, connection?: { readonly acceptedAt: number; readonly openedAt: number; }): number {
        const earliest = this.earliestTime(now);
        const [, previous] = this.ticks.latest();
        if (connection === undefined || previous === undefined) {
            return earliest;
        }
        const { acceptedAt, openedAt } = connection;
        const wasJustAccepted = acceptedAt >= previous && openedAt < acceptedAt;
        return wasJustAccepted ? Math.max(Math.min(earliest, openedAt), now - maxUnreadMilliseconds) : earliest;
    }
}

function isLate(start: number | undefined, end: number): boolean {
    return start !== undefined && end - start > tickMilliseconds + lagThresholdMilliseconds;
}
