import type { Socket } from "node:net";
import { createHistogram } from "node:perf_hooks";
import { ActiveClock, type Clock, type Metrics, tickMilliseconds } from "../../utils/index.js";
import { LoopLag } from "./loopLag.js";

/**
 * Turns of the event loop after which the end of a connection is known that the operating system held before them: the first one reads
 * what its caller sent, the second one its end.
 */
const minTurns = 2;
/** Limit of the turns that a send waits for, so that a gateway which is always slow still sends. */
const maxTurns = 4;
/**
 * Limit of the last turn before a send, and of the time from then until the first byte is written. The unread end of a connection is no
 * older than both together.
 */
const maxUnprocessedMilliseconds = 250;
/** Limit of the turns in which a whole queue of connections is accepted, one in each. */
const maxAcceptTurns = 2_000;
const microsecondsPerMillisecond = 1_000;
const reportedPercentiles = [50, 99];

/** Measures the lag of this process's event loop, and waits for what the operating system holds to be processed if it lags. */
export class LoopMonitor {
    /** The time in which the event loop turned; it stands still before the start. */
    readonly activeClock: ActiveClock;
    private readonly lag = LoopLag.create();
    private readonly lateness = createHistogram();
    /** Connections that were accepted late, and the earliest time at which they may have been opened. */
    private readonly lateConnections = new WeakMap<
        Socket,
        { readonly acceptedAt: number; readonly openedAt: number; }
    >();

    private startedAt: number | undefined;
    /** By how many milliseconds a tick was late at most since the last call of `takeMaxLateness`. */
    private maxLateness = 0;
    private acceptedConnections = 0;

    private constructor(private readonly clock: Clock) {
        this.activeClock = ActiveClock.create(clock);
    }

    static create(clock: Clock): LoopMonitor {
        return new LoopMonitor(clock);
    }

    /** Starts to measure; the returned function stops it. Before, the event loop counts as not lagging. */
    start(): () => void {
        this.startedAt = this.clock.monotonic();
        const timer = setInterval(() => this.tick(), tickMilliseconds);
        timer.unref();
        return () => clearInterval(timer);
    }

    /** Records that a connection was accepted. */
    recordConnection(socket: Socket): void {
        this.acceptedConnections += 1;
        const acceptedAt = this.clock.monotonic();
        const openedAt = this.lag.earliestTime(acceptedAt);
        if (openedAt < acceptedAt) {
            this.lateConnections.set(socket, { acceptedAt, openedAt });
        }
    }

    /** The earliest time at which a request may have arrived that is read at `readAt`: that time itself unless the event loop lags. */
    earliestArrival(socket: Socket, readAt: number): number {
        return this.lag.earliestArrival(readAt, this.lateConnections.get(socket));
    }

    /** The earliest time at which a signal may have come that is handled now, if it came after the start. */
    earliestSignal(): number {
        return this.lag.earliestSignal() ?? this.startedAt ?? this.clock.monotonic();
    }

    /** By how many milliseconds the event loop was late at most since the last call, or since its start. */
    takeMaxLateness(): number {
        const { maxLateness } = this;
        this.maxLateness = 0;
        return maxLateness;
    }

    isLagging(): boolean {
        return this.lag.isLagging(this.clock.monotonic());
    }

    /** Whether the event loop has lagged since a moment for so long that ends of connections may be unprocessed. */
    hasLaggedSince(moment: number): boolean {
        const now = this.clock.monotonic();
        return now - moment > maxUnprocessedMilliseconds && this.lag.isLagging(now);
    }

    /**
     * Waits until the ends of connections that the operating system held at the call are processed; until `isOver` at most. If the loop
     * is slow meanwhile, it waits for a short turn, in which no end can have been held for long.
     */
    async processPending(isOver: () => boolean): Promise<void> {
        for (let turn = 1; turn <= maxTurns && !isOver(); turn++) {
            const startedAt = this.clock.monotonic();
            await new Promise<void>(resolve => setImmediate(resolve));
            if (turn >= minTurns && this.clock.monotonic() - startedAt < maxUnprocessedMilliseconds) {
                return;
            }
        }
    }

    /**
     * Waits until the connections and requests that the operating system held at the call are accepted and read, within that many
     * milliseconds; returns whether they are. The event loop accepts one connection of a listener in a turn, and reads its request in a
     * later one.
     */
    async acceptPending(limit: number): Promise<boolean> {
        const deadline = this.clock.monotonic() + limit;
        let quietTurns = 0;
        for (let turn = 1; turn <= maxAcceptTurns && quietTurns < minTurns; turn++) {
            const accepted = this.acceptedConnections;
            await new Promise<void>(resolve => setImmediate(resolve));
            quietTurns = this.acceptedConnections === accepted ? quietTurns + 1 : 0;
            if (this.clock.monotonic() >= deadline) {
                break;
            }
        }
        return quietTurns >= minTurns;
    }

    /** Sets the gauges of the lag since the last call. */
    measure(metrics: Metrics): void {
        reportedPercentiles.forEach(percentile => {
            const microseconds = this.lateness.count === 0 ? 0 : this.lateness.percentile(percentile);
            const labels = { quantile: String(percentile / 100) };
            metrics.gauge("basilpaddle_event_loop_lag_milliseconds", microseconds / microsecondsPerMillisecond, labels);
        });
        this.lateness.reset();
    }

    private tick(): void {
        this.activeClock.tick();
        const lateness = this.lag.recordTick(this.clock.monotonic());
        this.maxLateness = Math.max(this.maxLateness, lateness);
        this.lateness.record(Math.max(1, Math.round(lateness * microsecondsPerMillisecond)));
    }
}
