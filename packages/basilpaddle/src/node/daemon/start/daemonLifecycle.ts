import type { EventEmitter } from "node:events";
import { type Clock, type Logger, LoopTicks, SystemClock, tickMilliseconds } from "../../utils/index.js";
import type { RunningDaemon } from "./runningDaemon.js";

/** How a daemon's process ended. */
export type DaemonExit =
    | { readonly kind: "stopped"; }
    | { readonly kind: "cutOff"; readonly abortedRequests: readonly string[]; }
    | { readonly kind: "failed"; readonly cause: string; };

/** Signals that stop a daemon. */
const stopSignals = ["SIGTERM", "SIGINT"] as const;
/** Time that a shutdown may still take after the second signal. */
const forcedShutdownTimeoutMilliseconds = 10_000;

/** A stop signal that was handled. */
export type StopSignal = {
    readonly name: string;
    /** The earliest time at which it may have come, by the monotonic clock of the host in milliseconds; undefined if only the daemon knows. */
    readonly signalledAt?: number;
};

/** Collects the stop signals that arrive while a daemon starts: without a handler, the first one would terminate the process at once. */
export class EarlyStopSignals {
    private readonly received: StopSignal[] = [];
    private readonly ticks = LoopTicks.create();
    private readonly createdAt: number;
    private readonly timer: NodeJS.Timeout;
    private readonly onSignal = (name: string): void => {
        this.received.push({ name, signalledAt: this.ticks.earliestSignal() ?? this.createdAt });
    };

    private constructor(private readonly signals: EventEmitter, clock: Clock) {
        this.createdAt = clock.monotonic();
        stopSignals.forEach(signal => signals.on(signal, this.onSignal));
        this.timer = setInterval(() => this.ticks.record(clock.monotonic()), tickMilliseconds);
        this.timer.unref();
    }

    static create(signals: EventEmitter = process, clock: Clock = SystemClock.create()): EarlyStopSignals {
        return new EarlyStopSignals(signals, clock);
    }

    /** Stops collecting, and returns the signals that have arrived. */
    take(): readonly StopSignal[] {
        clearInterval(this.timer);
        stopSignals.forEach(signal => this.signals.off(signal, this.onSignal));
        return this.received;
    }
}

/**
 * Runs the daemon until a stop signal, an uncaught error or a failure of the daemon. The first signal starts a graceful
 * shutdown, the second one aborts requests in progress. `early`: signals that arrived while the daemon started.
 */
export async function serveUntilStopped(
    daemon: RunningDaemon,
    logger: Logger,
    signals: EventEmitter = process,
    early: readonly StopSignal[] = [],
): Promise<DaemonExit> {
    const lifecycle = new DaemonLifecycle(daemon, logger);
    const onSignal = (name: string): void => lifecycle.signal({ name });
    const onUncaughtError = (error: unknown): void => lifecycle.fail("an uncaught error", error);
    stopSignals.forEach(signal => signals.on(signal, onSignal));
    signals.on("uncaughtException", onUncaughtError);
    signals.on("unhandledRejection", onUncaughtError);
    early.forEach(signal => lifecycle.signal(signal));
    void daemon.failure.then(cause => lifecycle.fail(cause, undefined));
    try {
        return await lifecycle.ended;
    }
    finally {
        stopSignals.forEach(signal => signals.off(signal, onSignal));
        signals.off("uncaughtException", onUncaughtError);
        signals.off("unhandledRejection", onUncaughtError);
    }
}

/** Shuts one daemon down on signals and failures, and resolves `ended` with the outcome. */
class DaemonLifecycle {
    readonly ended: Promise<DaemonExit>;
    private end!: (end: DaemonExit) => void;
    private receivedSignals = 0;
    private hasFailed = false;

    constructor(private readonly daemon: RunningDaemon, private readonly logger: Logger) {
        this.ended = new Promise(resolve => {
            this.end = resolve;
        });
    }

    signal({ name, signalledAt }: StopSignal): void {
        this.receivedSignals += 1;
        if (this.receivedSignals === 1) {
            this.logger.info("shutting down: accepting no new work, waiting for requests in progress", {
                signal: name,
            });
            this.stop(signalledAt);
            return;
        }
        this.logger.warn("second stop signal: aborting requests in progress", { signal: name });
        // Both calls settle with the same result, which the handlers of the first call report.
        this.daemon.stop().catch(() => undefined);
        setTimeout(
            () => this.fail("the shutdown timed out after a second stop signal", undefined),
            forcedShutdownTimeoutMilliseconds,
        ).unref();
    }

    // There is no graceful shutdown here: after an uncaught error the state of the process can't be trusted. Its leases
    // expire once its heartbeats are missed, and the platform restarts it.
    fail(cause: string, error: unknown): void {
        if (this.hasFailed) {
            // The log itself may be what fails: logging each failure to write it would never end.
            return;
        }
        this.hasFailed = true;
        this.logger.fatal("the daemon is terminating after a failure", { cause, error });
        this.end({ kind: "failed", cause });
    }

    private stop(signalledAt: number | undefined): void {
        this.daemon.stop(signalledAt).then(
            ({ abortedRequests }) => {
                if (abortedRequests.length > 0) {
                    this.logger.warn("the shutdown aborted requests in progress", {
                        count: abortedRequests.length,
                        cut: abortedRequests,
                    });
                }
                this.end(abortedRequests.length > 0 ? { kind: "cutOff", abortedRequests } : { kind: "stopped" });
            },
            (error: unknown) => this.fail("the shutdown failed", error),
        );
    }
}
