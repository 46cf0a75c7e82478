/** Outcome of a shutdown. */
export type ShutdownReport = {
    /** Identifiers of the aborted requests. */
    readonly abortedRequests: readonly string[];
};

/** A started daemon, which serves until it is stopped. */
export abstract class RunningDaemon {
    /** Resolves with the cause once the daemon can't continue to run. */
    abstract readonly failure: Promise<string>;

    /**
     * Accepts no new work, waits for requests in progress, releases its leases, transfers its leadership, and stops. A second call
     * aborts the requests in progress of an entry daemon. A gateway's shutdown isn't affected by it, and aborts what is left after
     * the shutdown time. All calls resolve with the requests that were aborted.
     * `signalledAt`: the earliest time at which the stop may have been ordered, by the monotonic clock of the host in milliseconds, if
     * that was before the daemon had started.
     */
    abstract stop(signalledAt?: number): Promise<ShutdownReport>;
}
