import {
    establishedBeforeMilliseconds,
    EstablishedVersions,
    type KnownDirectory,
    OriginReporter,
    type ReportedOrigin,
    type ResolvedOrigin,
    resolveOrigin,
    StreamOrigins,
    VersionHistory,
    versionMemoryMilliseconds,
} from "../../coordination/index.js";
import {
    maxReportedOrigins,
    type ServerAnnouncement,
    softwareVersionOf,
    type TrafficRoute,
} from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** Interval of recording the versions of the engines that are present. */
const reviewIntervalMilliseconds = 500;
/** A caller may resume a stream for as long as an answer may take, and its next attempt may take as long again. */
const attemptsPerStream = 2;
const marginMilliseconds = 2_000;
/** Longest name of an attempt that is looked up. */
const maxAttemptLength = 200;

/** Dependencies of `StreamVersions`. */
export type StreamVersionsOptions = {
    readonly directories: () => readonly KnownDirectory[];
    /** All engines that are known. */
    readonly servers: () => readonly ServerAnnouncement[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Which software version began each stream. What two versions write doesn't fit together, and engines don't check it: a caller that
 * resumed its stream at another gateway would receive the rest from whichever engine is free.
 *
 * Streams begin only at versions that more than half of the directories know. While a service has engines of several versions, a gateway also
 * tells them of each stream, so that it can be resumed elsewhere. While a service has had only one for as long as somebody may look for a
 * stream's origin, no stream is recorded.
 */
export class StreamVersions {
    private readonly own = StreamOrigins.create();
    private readonly history: VersionHistory;
    private readonly reporter: OriginReporter;
    private readonly established: EstablishedVersions;
    private closed = false;

    private constructor(private readonly options: StreamVersionsOptions) {
        this.history = VersionHistory.create(options.clock.monotonic());
        this.reporter = OriginReporter.create(options);
        this.established = EstablishedVersions.create({
            ...options,
            onHistory: (service, versions, askedAt) => this.takeHistory(service, versions, askedAt),
        });
        this.scheduleReview();
    }

    static create(options: StreamVersionsOptions): StreamVersions {
        return new StreamVersions(options);
    }

    /**
     * Records the version of an engine that becomes known. With a service's second version the streams that are under way have to be
     * recorded too: they began while there was no need.
     */
    observe(server: ServerAnnouncement): void {
        if (server.stage !== undefined) {
            this.established.observe(server.service, softwareVersionOf(server));
        }
        if (this.history.observe([server], this.options.clock.monotonic())) {
            this.options.directories().forEach(directory => this.resend(directory));
        }
    }

    /** Whether the version of an engine is established: more than half of the directories know it, and streams may begin at it. */
    isEstablished(engine: ServerAnnouncement): boolean {
        return this.established.includes(engine.service, softwareVersionOf(engine));
    }

    /** Resolves with whether a version is established, after so many milliseconds at most. */
    waitUntilEstablished(service: string, version: string, timeout: number): Promise<boolean> {
        return this.established.waitFor(service, version, timeout);
    }

    /** Engines of a service whose versions aren't established. */
    unestablishedEngines(service: string): readonly ServerAnnouncement[] {
        return this.established.includesAll(service)
            ? []
            : this.enginesOf(service).filter(engine => !this.isEstablished(engine));
    }

    /** Whether the version of any decode engine of a service is established. */
    hasEstablishedEngine(service: string): boolean {
        return this.enginesOf(service).some(engine => engine.stage === "decode" && this.isEstablished(engine));
    }

    /**
     * Records that a stream begins at a version, for as long as its caller may resume it. Returns the report to the directories;
     * undefined if they needn't know, because the service has had no other version for as long. `binding`: 1, or the number of
     * versions that the stream was bound to if it has to change its version before its first event.
     */
    begin(request: CallerRequest, service: string, version: string, binding: number): ReportedOrigin | undefined {
        const { route, metadata, attempt } = request;
        const keepFor = streamLifetime(route, metadata.deadlineWithin);
        if (!route.resumable || attempt === "" || attempt.length > maxAttemptLength) {
            return undefined;
        }
        const now = this.options.clock.monotonic();
        const origin = { service, attempt, version, binding, keepFor };
        this.own.record(origin, now);
        const isNotNeeded = binding === 1 && this.hasHadOneVersion(service, keepFor, now);
        return isNotNeeded ? undefined : this.reporter.report(origin);
    }

    /** The version that began the stream that a request resumes. */
    async resolve(request: CallerRequest, service: string): Promise<ResolvedOrigin> {
        const { clock, directories, metrics, logger } = this.options;
        const { route, metadata } = request;
        const { resumes } = metadata;
        const attempt = resumes === undefined || resumes === "" || resumes.length > maxAttemptLength
            ? undefined
            : resumes;
        const lifetime = streamLifetime(route, metadata.deadlineWithin);
        const within = lifetime + establishedBeforeMilliseconds;
        const own = attempt === undefined ? undefined : this.own.find(service, attempt, clock.monotonic());
        const origin: ResolvedOrigin = own === undefined
            ? await resolveOrigin(
                directories(),
                { kind: "origin", service, ...attempt === undefined ? {} : { attempt }, within },
                clock,
            )
            : { kind: "known", source: "own", ...own };
        if (origin.kind === "known" && attempt !== undefined) {
            const { version, binding } = origin;
            this.keepLonger({ service, attempt, version, binding, keepFor: lifetime });
        }
        const source = origin.kind === "known" ? origin.source : "unknown";
        metrics.count("basilpaddle_streams_resumed_total", { service, source });
        logger.info("a caller resumes a stream", {
            request: request.attempt,
            resumes: attempt,
            lastEvent: metadata.lastEvent,
            ...origin,
        });
        return origin;
    }

    /** Sends the streams that began here to a directory that may not know them: it was restarted, or out of reach. */
    resend(directory: KnownDirectory): void {
        this.established.directoryReached(directory);
        this.reporter.resend(directory, this.own.latest(maxReportedOrigins, this.options.clock.monotonic()));
    }

    /** Sets the gauge of versions that aren't established. */
    measure(metrics: Metrics): void {
        this.established.measure(metrics);
    }

    /** Stops the periodic review, and reports under way. */
    close(): void {
        this.closed = true;
        this.established.close();
        this.reporter.close();
    }

    /** Keeps the origin of a stream for its caller's next attempt: that will name the same first attempt again. */
    private keepLonger(origin: Parameters<StreamOrigins["record"]>[0]): void {
        const now = this.options.clock.monotonic();
        this.own.record(origin, now);
        if (!this.hasHadOneVersion(origin.service, origin.keepFor, now)) {
            this.reporter.report(origin);
        }
    }

    /** Whether no other version is named to somebody who looks for the origin of a stream that lasts so many milliseconds. */
    private hasHadOneVersion(service: string, lifetime: number, now: number): boolean {
        const within = lifetime + establishedBeforeMilliseconds;
        return this.history.covers(within, now) && this.history.versions(service, within, now).length === 1;
    }

    private scheduleReview(): void {
        const { clock, servers } = this.options;
        clock.after(reviewIntervalMilliseconds, () => {
            if (!this.closed) {
                this.history.observe(servers(), clock.monotonic());
                this.established.review(this.servedVersions());
                this.scheduleReview();
            }
        });
    }

    /** Takes over what directories know of the time before this gateway's start. */
    private takeHistory(service: string, versions: readonly string[], askedAt: number): void {
        if (!this.history.covers(versionMemoryMilliseconds, askedAt)) {
            versions.forEach(version => this.history.record(service, version, askedAt));
            this.history.completeSince(askedAt - versionMemoryMilliseconds);
        }
    }

    private servedVersions(): ReadonlyMap<string, ReadonlySet<string>> {
        const served = new Map<string, Set<string>>();
        for (const engine of this.options.servers().filter(({ stage }) => stage !== undefined)) {
            const versions = served.get(engine.service) ?? new Set();
            served.set(engine.service, versions.add(softwareVersionOf(engine)));
        }
        return served;
    }

    private enginesOf(service: string): readonly ServerAnnouncement[] {
        return this.options.servers().filter(server => server.service === service && server.stage !== undefined);
    }
}

/** Milliseconds for which a stream's caller may still resume it. */
function streamLifetime({ timeout }: TrafficRoute, deadlineWithin: number | undefined): number {
    return Math.max(attemptsPerStream * timeout, deadlineWithin ?? 0) + marginMilliseconds;
}
