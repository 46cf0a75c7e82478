import type { CrashPhase } from "../../protocol/index.js";
import type { ListenStatus } from "../../transport/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { loggedPromptParts } from "./promptPart.js";
import type { QuarantineEntry } from "./quarantine.js";
import type { QuarantinedRequests } from "./quarantinedRequests.js";

/** How long after a lost run a reported end of its server counts as a crash during the run, and the interval of checking. */
const endReportTimeoutMilliseconds = 8_000;
const endReportPollMilliseconds = 250;
/** Limit of lost runs that wait for such a report; each engine that stops responding leaves dozens. */
const maxPendingRuns = 1_000;

/** One attempt of a request. */
export type RequestAttempt = {
    /** Digest of its content. */
    readonly digest: string;
    /** Identifier of the attempt, for logs. */
    readonly attempt: string;
    /** Names of the parts that its prompt may share with others, in their order. @default none are known */
    readonly promptParts?: readonly string[];
};

/** One incarnation of a backend server. */
export type BackendIncarnation = {
    /** Identifier of the incarnation, for logs and other daemons. */
    readonly id: string;
    /** "HOST:PORT". */
    readonly address: string;
};

/** A run that ended without a complete answer. */
type LostRun = {
    readonly request: RequestAttempt;
    readonly server: BackendIncarnation;
    readonly phase: CrashPhase;
    readonly at: number;
    /** Whether it had written for so long that its prompt isn't suspected. */
    readonly hadBegun: boolean;
};

/** Dependencies of the detector. */
export type CrashDetectorOptions = {
    readonly quarantine: QuarantinedRequests;
    /** Whether the incarnation with this identifier is known to have ended. */
    readonly isLost: (id: string) => boolean;
    /** Probes whether anything accepts connections at an address. */
    readonly listenStatusOf: (address: string) => Promise<ListenStatus>;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Detects backend servers that crashed while running this daemon's requests, and records the crashes for the quarantine.
 * A broken connection alone is no proof: it may have been reset, or the response lost. A crash counts only if nothing
 * listens at the server's address any more, or heartbeats report the incarnation as ended.
 */
export class CrashDetector {
    private readonly pendingProbes = new Map<string, Promise<ListenStatus>>();
    private pendingRuns: LostRun[] = [];
    private cancelPoll: (() => void) | undefined;

    private constructor(private readonly options: CrashDetectorOptions) {}

    static create(options: CrashDetectorOptions): CrashDetector {
        return new CrashDetector(options);
    }

    /**
     * Why a request may not be sent now, by itself or for a part of its prompt; undefined if it may. Check it before each send,
     * since other daemons may have reported crashes in the meantime.
     */
    quarantineStatus({ digest, promptParts = [] }: RequestAttempt): QuarantineEntry | undefined {
        const { quarantine } = this.options;
        for (const suspect of [digest, ...promptParts]) {
            const status = quarantine.quarantineStatus(suspect);
            if (status !== undefined) {
                return { digest: suspect, ...status };
            }
        }
        return undefined;
    }

    /**
     * Reports a run that ended without a complete answer, and checks whether its server has crashed. `hadBegun`: whether
     * `reportBegun` was called for it.
     */
    async reportLostRun(
        request: RequestAttempt,
        server: BackendIncarnation,
        phase: CrashPhase,
        hadBegun = false,
    ): Promise<void> {
        const run = { request, server, phase, at: this.now(), hadBegun };
        if (await this.probe(server) === "no") {
            this.recordCrash(run, "nothing listens at its address");
            if (!hadBegun && phase !== "whole") {
                this.recordPartCrash(run);
            }
        }
        else if (this.pendingRuns.length < maxPendingRuns) {
            // An unresponsive server may have ended long before the run timed out, so "early" would be no evidence.
            this.pendingRuns.push({ ...run, phase: phase === "early" ? "late" : phase });
            this.cancelPoll ??= this.options.clock.after(endReportPollMilliseconds, () => this.checkPendingRuns());
        }
    }

    /** Milliseconds of writing after which a run is to be reported as begun. */
    get begunAfter(): number {
        return this.options.quarantine.begunAfter;
    }

    /** Reports that a backend server writes the answer to a request, which speaks for the parts of its prompt. */
    reportBegun({ attempt, promptParts = [] }: RequestAttempt): void {
        this.options.quarantine.recordBegun(promptParts, attempt);
    }

    /** Reports that a request was answered in full. */
    reportAnswered({ digest }: RequestAttempt): void {
        this.options.quarantine.recordAnswered(digest);
    }

    /** Stops checking, and drops all pending runs. */
    close(): void {
        this.cancelPoll?.();
        this.pendingRuns = [];
    }

    /** Probes a server's address; concurrent calls for one incarnation share a probe. */
    private probe(server: BackendIncarnation): Promise<ListenStatus> {
        const pendingProbe = this.pendingProbes.get(server.id);
        if (pendingProbe !== undefined) {
            return pendingProbe;
        }
        const probe = this.options.listenStatusOf(server.address).finally(() => this.pendingProbes.delete(server.id));
        this.pendingProbes.set(server.id, probe);
        return probe;
    }

    private checkPendingRuns(): void {
        const { clock } = this.options;
        const oldestPending = this.now() - endReportTimeoutMilliseconds;
        const hasLostServer = ({ server }: LostRun): boolean => this.options.isLost(server.id);
        const lostServerRuns = this.pendingRuns.filter(hasLostServer);
        this.pendingRuns = this.pendingRuns.filter(run => !hasLostServer(run) && run.at > oldestPending);
        lostServerRuns.forEach(run => this.recordCrash(run, "its end was reported"));
        this.cancelPoll = this.pendingRuns.length === 0
            ? undefined
            : clock.after(endReportPollMilliseconds, () => this.checkPendingRuns());
    }

    private recordCrash({ request, server, phase, at, hadBegun }: LostRun, proof: string): void {
        const { quarantine, logger, metrics } = this.options;
        const { digest, attempt, promptParts = [] } = request;
        const age = this.now() - at;
        logger.warn("a backend server ended under a request", {
            request: attempt,
            content: digest,
            promptParts: loggedPromptParts(promptParts),
            server: server.id,
            phase,
            hadBegun,
            age: Math.round(age),
            proof,
        });
        metrics.count("basilpaddle_crashes_under_requests_total", { phase });
        const crash = { server: server.id, phase, age };
        if (!quarantine.wasRecentlyAnswered(digest)) {
            quarantine.addCrash(digest, crash);
        }
    }

    /** Only for servers that don't listen: those that are silent lose the runs of everybody, whatever their prompts hold. */
    private recordPartCrash({ request, server, phase, at }: LostRun): void {
        const { digest, promptParts = [] } = request;
        const crash = { server: server.id, phase, age: this.now() - at, request: digest };
        this.options.quarantine.addPartCrash(promptParts, crash);
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
