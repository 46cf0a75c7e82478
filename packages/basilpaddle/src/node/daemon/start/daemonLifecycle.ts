import type { EventEmitter } from "node:events";
import type { Logger } from "../../utils/index.js";
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

/** Collects the stop signals that arrive while a daemon starts: without a handler, the first one would terminate the process at once. */
export class EarlyStopSignals {
    private readonly received: string[] = [];
    private readonly onSignal = (signal: string): void => void this.received.push(signal);

    private constructor(private readonly signals: EventEmitter) {
        stopSignals.forEach(signal => signals.on(signal, this.onSignal));
    }

    static create(signals: EventEmitter = process): EarlyStopSignals {
        return new EarlyStopSignals(signals);
    }

    /** Stops collecting, and returns the signals that have arrived. */
    take(): readonly string[] {
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
    early: readonly string[] = [],
): Promise<DaemonExit> {
    const lifecycle = new DaemonLifecycle(daemon, logger);
    const onSignal = (signal: string): void => lifecycle.signal(signal);
    const onUncaughtError = (error: unknown): void => lifecycle.fail("an uncaught error", error);
    stopSignals.forEach(signal => signals.on(signal, onSignal));
    signals.on("uncaughtException", onUncaughtError);
    signals.on("unhandledRejection", onUncaughtError);
    early.forEach(onSignal);
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

    signal(name: string): void {
        this.receivedSignals += 1;
        if (this.receivedSignals === 1) {
            this.logger.info("shutting down: accepting no new work, waiting for requests in progress", {
                signal: name,
            });
            this.stop();
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

    private stop(): void {
        this.daemon.stop().then(
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
