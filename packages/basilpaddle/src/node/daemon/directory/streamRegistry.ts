import { type InstanceTable, StreamOrigins, VersionHistory } from "../../coordination/index.js";
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
    readonly clock: Clock;
    readonly logger: Logger;
};

/** What one directory knows of streams that callers may resume: the versions that began them, and those that engines had. */
export class StreamRegistry {
    private readonly origins = StreamOrigins.create();
    private readonly versions: VersionHistory;

    private constructor(private readonly options: StreamRegistryOptions) {
        const { firstStart, restored, clock } = options;
        const now = clock.monotonic();
        this.versions = VersionHistory.create(firstStart ? Number.NEGATIVE_INFINITY : now);
        if (restored !== undefined) {
            this.versions.restore(restored, now);
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
    handle(message: OriginReport | OriginQuery): OriginsNoted | OriginReply {
        const now = this.options.clock.monotonic();
        if (message.kind === "origins") {
            message.origins.forEach(origin => this.origins.record(origin, now));
            return { kind: "noted" };
        }
        const { service, attempt, within } = message;
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
}
