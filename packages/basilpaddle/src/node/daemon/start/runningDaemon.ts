/** Outcome of a shutdown. */
export type ShutdownReport = {
    /** Identifiers of the requests that were aborted. */
    readonly abortedRequests: readonly string[];
};

/** A started daemon, which serves until it is stopped. */
export abstract class RunningDaemon {
    /** Resolves with the cause once the daemon can't continue to run. */
    abstract readonly failure: Promise<string>;

    /**
     * Accepts no new work, waits for requests in progress, releases its leases, transfers its leadership, and stops. A second call
     * aborts requests in progress; both calls then resolve with the requests that were aborted.
     */
    abstract stop(): Promise<ShutdownReport>;
}
