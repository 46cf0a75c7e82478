import {
    EstablishedVersionReports,
    type InstanceTable,
    StreamOrigins,
    VersionHistory,
    versionMemoryMilliseconds,
} from "../../coordination/index.js";
import type {
    OriginQuery,
    OriginReply,
    OriginReport,
    OriginsNoted,
    ServerAnnouncement,
    StoredVersionHistory,
} from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";

/** Dependencies of `StreamRegistry`. */
export type StreamRegistryOptions = {
    readonly instances: () => InstanceTable;
    /** Whether no daemon of the deployment has run before. */
    readonly firstStart: boolean;
    /** Versions known before a restart; undefined if there was none, or nothing is left of it. */
    readonly restored: StoredVersionHistory | undefined;
    /** Stores the versions for a restart; returns whether that succeeded. */
    readonly store: () => Promise<boolean>;
    readonly clock: Clock;
    readonly logger: Logger;
};

/** What one directory knows of streams that callers may resume: the versions that began them, and those that engines had. */
export class StreamRegistry {
    private readonly origins = StreamOrigins.create();
    private readonly versions: VersionHistory;
    private readonly established = EstablishedVersionReports.create();
    /** Services and versions that a restart doesn't forget. */
    private readonly stored = new Set<string>();

    private constructor(private readonly options: StreamRegistryOptions) {
        const { firstStart, restored, clock } = options;
        const now = clock.monotonic();
        this.versions = VersionHistory.create(firstStart ? Number.NEGATIVE_INFINITY : now);
        if (restored !== undefined) {
            this.versions.restore(restored, now);
            this.recordStored(restored);
        }
    }

    static create(options: StreamRegistryOptions): StreamRegistry {
        return new StreamRegistry(options);
    }

    /** Records the version of an engine that becomes known. */
    observe(server: ServerAnnouncement): void {
        this.versions.observe([server], this.options.clock.monotonic());
    }

    /** Records the versions of the engines that are present; to be called a few times per second. */
    review(): void {
        this.versions.observe(this.options.instances().all(), this.options.clock.monotonic());
    }

    /** Handles a report or a query of a gateway. */
    async handle(message: OriginReport | OriginQuery): Promise<OriginsNoted | OriginReply> {
        if (message.kind === "origins") {
            return this.note(message);
        }
        const { service, served, established = [] } = message;
        if (served === undefined) {
            return this.answerOrigin(message);
        }
        const now = this.options.clock.monotonic();
        // A version that had been forgotten is in no stored history any more.
        const remembered = this.versions.versions(service, versionMemoryMilliseconds, now);
        served.filter(version => !remembered.includes(version)).forEach(version =>
            this.stored.delete(storedKey(service, version))
        );
        served.forEach(version => this.versions.record(service, version, now));
        this.established.record(service, established, now);
        return this.answerVersions(service, served, message.within);
    }

    private note({ origins }: OriginReport): OriginsNoted {
        const now = this.options.clock.monotonic();
        origins.forEach(origin => {
            this.origins.record(origin, now);
            this.versions.record(origin.service, origin.version, now);
        });
        return { kind: "noted" };
    }

    /** Names a version only if it would be known after a restart, too. */
    private async answerVersions(service: string, served: readonly string[], within: number): Promise<OriginReply> {
        if (served.some(version => !this.stored.has(storedKey(service, version)))) {
            const versions = this.storedVersions();
            if (await this.options.store()) {
                this.recordStored(versions);
            }
        }
        const now = this.options.clock.monotonic();
        this.review();
        return {
            kind: "origin",
            versions: this.versions.versions(service, within, now)
                .filter(version => this.stored.has(storedKey(service, version))),
            complete: this.versions.covers(within, now),
            established: [...this.established.current(service, now)],
        };
    }

    private answerOrigin({ service, attempt, within }: OriginQuery): OriginReply {
        const now = this.options.clock.monotonic();
        this.review();
        const found = attempt === undefined ? undefined : this.origins.find(service, attempt, now);
        const reply: OriginReply = {
            kind: "origin",
            ...found === undefined ? {} : { found },
            versions: [...this.versions.versions(service, within, now)],
            complete: this.versions.covers(within, now),
        };
        this.options.logger.info("a gateway asked where a stream began", { service, attempt, ...reply });
        return reply;
    }

    /** The versions to keep across a restart. */
    storedVersions(): StoredVersionHistory {
        return this.versions.stored(this.options.clock.monotonic());
    }

    /** Sets the registry's gauge. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_stream_origins", this.origins.count());
    }

    private recordStored({ seen }: StoredVersionHistory): void {
        seen.forEach(({ service, version }) => this.stored.add(storedKey(service, version)));
    }
}

function storedKey(service: string, version: string): string {
    return JSON.stringify([service, version]);
}
