import type { ServerAnnouncement } from "../../protocol/index.js";
import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";

/** Interval of checking for silence while calls are open. */
const silenceCheckIntervalMilliseconds = 100;
/** All servers together are silent for this long, though calls have been open at several of them: the path is probed. */
const maxSilenceMilliseconds = 200;
const minSilentServers = 2;
/** Minimum interval of probes because of silence: servers that all take long for an answer look the same. */
const silenceProbeIntervalMilliseconds = 1_000;
/** A success of a probe counts for this long. */
const confirmationMilliseconds = 250;
/** A connection is established within a few round trips: without one by then new calls take other paths. */
const doubtAfterMilliseconds = 50;
/** Number of servers that a probe connects to. */
const probedServers = 3;
/** Interval of probing a path that failed, and the number of successful probes in a row after which it is used again. */
const recoveryIntervalMilliseconds = 250;
const recoveryProbes = 2;

/** `doubtful`: a probe has not succeeded yet. `failed`: no server that was probed could be reached. */
export type PathState = "sound" | "doubtful" | "failed";

/** Result of connecting to a server: established, refused or reset, or not established in time. */
export type ProbeOutcome = "established" | "refused" | "late";

/** Dependencies of a monitor. */
export type PathMonitorOptions = {
    /** Name of the path, for logs. */
    readonly name: string;
    /** Backend servers that should be reachable. */
    readonly servers: () => readonly ServerAnnouncement[];
    /** Connects to the server by this path, and closes the connection. */
    readonly probe: (server: ServerAnnouncement) => Promise<ProbeOutcome>;
    /** Bytes received by this path since the start. */
    readonly receivedBytes: () => number;
    /** Called when the path has failed, or is sound again. */
    readonly onChanged: (state: PathState) => void;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

type OpenCall = { readonly server: string; readonly startedAt: number; };

/**
 * Tells a path to backend servers that has failed from servers that have. A server that doesn't accept a connection, resets one
 * or falls silent is no evidence against the path: other servers are probed then, and the path has failed if none accepts a
 * connection. If bytes arrive while all connections are only late, the hosts are busy and the path is sound.
 */
export class PathMonitor {
    private current: PathState = "sound";
    private readonly openCalls = new Set<OpenCall>();
    private heardAt = 0;
    private heardBytes = 0;
    private confirmedAt = Number.NEGATIVE_INFINITY;
    private silenceProbedAt = Number.NEGATIVE_INFINITY;
    private pendingProbe: Promise<boolean> | undefined;
    private cancelSilenceCheck: (() => void) | undefined;
    private cancelRecovery: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly options: PathMonitorOptions) {
        this.heardAt = options.clock.monotonic();
    }

    static create(options: PathMonitorOptions): PathMonitor {
        return new PathMonitor(options);
    }

    state(): PathState {
        return this.current;
    }

    /** Whether the path is being probed because it may have failed. */
    isProbing(): boolean {
        return this.pendingProbe !== undefined;
    }

    /** Records the start of a call; the returned function records its end. */
    callStarted(server: string): () => void {
        const call = { server, startedAt: this.now() };
        this.openCalls.add(call);
        this.scheduleSilenceCheck();
        return () => this.openCalls.delete(call);
    }

    /** Milliseconds since bytes were last received by this path, as far as it is known. */
    silence(): number {
        this.hear();
        return this.now() - this.heardAt;
    }

    /**
     * Whether the path is sound, so that a call's failure lies with its server. Probes other servers unless that was done a
     * moment ago; takes as long as a connection, and 50 ms at most.
     */
    confirm(failedServer: string): Promise<boolean> {
        if (this.current !== "sound" || this.now() - this.confirmedAt < confirmationMilliseconds) {
            return Promise.resolve(this.current === "sound");
        }
        return this.probe(failedServer);
    }

    close(): void {
        this.closed = true;
        this.cancelSilenceCheck?.();
        this.cancelRecovery?.();
    }

    private hear(): void {
        const bytes = this.options.receivedBytes();
        if (bytes !== this.heardBytes) {
            this.heardBytes = bytes;
            this.heardAt = this.now();
        }
    }

    private scheduleSilenceCheck(): void {
        this.cancelSilenceCheck ??= this.options.clock.after(silenceCheckIntervalMilliseconds, () => {
            this.cancelSilenceCheck = undefined;
            this.checkSilence();
            if (this.openCalls.size > 0 && !this.closed) {
                this.scheduleSilenceCheck();
            }
        });
    }

    private checkSilence(): void {
        const now = this.now();
        if (this.current !== "sound" || this.silence() < maxSilenceMilliseconds) {
            return;
        }
        const silentCalls = [...this.openCalls].filter(({ startedAt }) => now - startedAt >= maxSilenceMilliseconds);
        const silentServers = new Set(silentCalls.map(({ server }) => server)).size;
        const isSuspicious = silentServers >= Math.min(minSilentServers, this.options.servers().length);
        if (isSuspicious && now - this.silenceProbedAt >= silenceProbeIntervalMilliseconds) {
            this.silenceProbedAt = now;
            void this.probe("");
        }
    }

    /** Resolves as soon as the path is known to be sound, or is doubtful; concurrent calls share a probe. */
    private probe(failedServer: string): Promise<boolean> {
        if (this.pendingProbe === undefined) {
            const servers = this.chooseServers(failedServer);
            this.pendingProbe = servers.length === 0 ? undefined : this.probeServers(servers);
        }
        return this.pendingProbe ?? Promise.resolve(true);
    }

    private probeServers(servers: readonly ServerAnnouncement[]): Promise<boolean> {
        return new Promise(resolve => {
            const cancelDoubt = this.options.clock.after(doubtAfterMilliseconds, () => {
                this.current = "doubtful";
                resolve(false);
            });
            const startedAt = this.now();
            const outcomes: ProbeOutcome[] = [];
            let isConcluded = false;
            const settle = (outcome: ProbeOutcome): void => {
                outcomes.push(outcome);
                const isComplete = outcome === "established" || outcomes.length === servers.length;
                if (isConcluded || this.closed || !isComplete) {
                    return;
                }
                const isOnlyLate = outcomes.every(one => one === "late") && this.silence() < this.now() - startedAt;
                const succeeded = outcome === "established" || isOnlyLate;
                isConcluded = true;
                cancelDoubt();
                this.pendingProbe = undefined;
                this.conclude(succeeded, servers);
                resolve(succeeded);
            };
            servers.forEach(server => void this.options.probe(server).then(settle));
        });
    }

    private conclude(succeeded: boolean, servers: readonly ServerAnnouncement[]): void {
        this.options.metrics.count("basilpaddle_path_probes_total", { outcome: succeeded ? "sound" : "failed" });
        if (succeeded) {
            this.confirmedAt = this.now();
            this.current = "sound";
            return;
        }
        this.current = "failed";
        this.options.logger.warn("a path to the backend servers has failed", {
            path: this.options.name,
            unreached: servers.map(({ id }) => id),
            ready: this.options.servers().length,
            silence: Math.round(this.silence()),
            openCalls: this.openCalls.size,
        });
        this.options.onChanged("failed");
        this.awaitRecovery(0);
    }

    /** Probes a failed path at a constant interval, with a random part so that gateways don't return all at once. */
    private awaitRecovery(successes: number): void {
        const interval = recoveryIntervalMilliseconds * (0.75 + 0.5 * this.options.randomness.fraction());
        this.cancelRecovery = this.options.clock.after(interval, () => void this.probeRecovery(successes));
    }

    private async probeRecovery(successes: number): Promise<void> {
        const servers = this.chooseServers("");
        const results = await Promise.all(servers.map(server => this.options.probe(server)));
        if (this.closed) {
            return;
        }
        const reached = results.filter(outcome => outcome === "established").length;
        if (reached * 2 <= servers.length) {
            this.awaitRecovery(0);
        }
        else if (successes + 1 < recoveryProbes) {
            this.awaitRecovery(successes + 1);
        }
        else {
            this.current = "sound";
            this.confirmedAt = this.now();
            this.heardAt = this.now();
            const { name, logger, onChanged } = this.options;
            logger.info("a path to the backend servers is sound again", { path: name, probed: servers.length });
            onChanged("sound");
        }
    }

    /** Servers to probe: random ones, of different services where there are several. */
    private chooseServers(failedServer: string): readonly ServerAnnouncement[] {
        const servers = this.options.servers();
        const others = servers.filter(({ id }) => id !== failedServer);
        const remaining = [...others.length > 0 ? others : servers];
        const chosen: ServerAnnouncement[] = [];
        while (chosen.length < probedServers && remaining.length > 0) {
            const unseen = remaining.filter(({ service }) => chosen.every(one => one.service !== service));
            const candidates = unseen.length > 0 ? unseen : remaining;
            const next = candidates[this.options.randomness.integer(0, candidates.length - 1)]!;
            remaining.splice(remaining.indexOf(next), 1);
            chosen.push(next);
        }
        return chosen;
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
