import { maxVersionsPerQuery, type OriginQuery, type OriginReply, originReplySchema } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { KnownDirectory } from "../gateway/index.js";
import { versionMemoryMilliseconds } from "./versionHistory.js";

/** How long a version stays established after more than half of the directories last said that they know it. */
export const establishedMilliseconds = 600_000;
/** Error of that time: messages under way, and processes that stood still. */
const marginMilliseconds = 30_000;
/**
 * Time before the beginning of a stream within which directories have known its version. Who concludes from what they know has to look back
 * as much further.
 */
export const establishedBeforeMilliseconds = establishedMilliseconds + marginMilliseconds;
/** Interval of asking again about a version that is established, and about one that isn't. */
const refreshIntervalMilliseconds = 15_000;
const retryIntervalMilliseconds = 250;
const queryTimeoutMilliseconds = 400;
/** How long to wait for a version at most while too few directories are reached. */
const unreachedTimeoutMilliseconds = 60;

/** What is known of one version of a service. */
type VersionKnowledge = {
    /** When each directory, by its name, last said that it knows the version. */
    readonly knownAt: Map<string, number>;
    /** When it was established, as another gateway reported to a directory. */
    reportedAt: number;
    askedAt: number;
};

/** Dependencies of `EstablishedVersions`. */
export type EstablishedVersionsOptions = {
    readonly directories: () => readonly KnownDirectory[];
    /** Called with the versions of a service that more than half of the directories have named, if these know all of the time before. */
    readonly onHistory: (service: string, versions: readonly string[], askedAt: number) => void;
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * Keeps which software versions are established: more than half of the directories know them. A gateway begins streams at these alone. Who later
 * has to find out at which version a stream began asks more than half of the directories, too: one of them at least knows the version, even
 * if the gateway that began it could tell nobody of the stream itself.
 */
export class EstablishedVersions {
    /** By service and version. */
    private readonly services = new Map<string, Map<string, VersionKnowledge>>();
    private readonly waiting = new Set<() => void>();
    private closed = false;

    private constructor(private readonly options: EstablishedVersionsOptions) {}

    static create(options: EstablishedVersionsOptions): EstablishedVersions {
        return new EstablishedVersions(options);
    }

    /** Whether a version is established, so that streams may begin at it. */
    includes(service: string, version: string): boolean {
        const knowledge = this.services.get(service)?.get(version);
        return knowledge !== undefined && this.isEstablishedNow(knowledge);
    }

    /** Whether all versions of a service are established. */
    includesAll(service: string): boolean {
        return [...this.services.get(service)?.values() ?? []].every(knowledge => this.isEstablishedNow(knowledge));
    }

    /** Resolves with whether a version is established, after so many milliseconds at most. */
    async waitFor(service: string, version: string, timeout: number): Promise<boolean> {
        this.observe(service, version);
        if (this.includes(service, version)) {
            return true;
        }
        return new Promise(resolve => {
            const settle = (): void => {
                cancel();
                this.waiting.delete(review);
                resolve(this.includes(service, version));
            };
            const review = (): void => {
                if (this.includes(service, version)) {
                    settle();
                }
            };
            const longest = this.reachesQuorum() ? timeout : unreachedTimeoutMilliseconds;
            const cancel = this.options.clock.after(Math.min(timeout, longest), settle);
            this.waiting.add(review);
        });
    }

    /** Records that a version is served; one that isn't known yet is told to all directories at once. */
    observe(service: string, version: string): void {
        const versions = this.services.get(service) ?? new Map<string, VersionKnowledge>();
        this.services.set(service, versions);
        if (!versions.has(version)) {
            const never = Number.NEGATIVE_INFINITY;
            versions.set(version, { knownAt: new Map(), reportedAt: never, askedAt: never });
            this.ask(service, this.options.directories());
        }
    }

    /** Asks again where it is due, and forgets versions that are neither served nor established. To be called a few times per second. */
    review(servedVersions: ReadonlyMap<string, ReadonlySet<string>>): void {
        const now = this.options.clock.monotonic();
        for (const [service, versions] of this.services) {
            const served = servedVersions.get(service);
            for (const [version, knowledge] of versions) {
                if (served?.has(version) !== true && !this.isEstablishedNow(knowledge)) {
                    versions.delete(version);
                }
            }
            const isDue = [...versions].some(([version, knowledge]) => {
                const interval = this.isEstablishedNow(knowledge)
                    ? refreshIntervalMilliseconds
                    : retryIntervalMilliseconds;
                return served?.has(version) === true && now - knowledge.askedAt >= interval;
            });
            if (isDue) {
                this.ask(service, this.options.directories(), served);
            }
        }
    }

    /** Asks a directory that has just been reached. */
    directoryReached(directory: KnownDirectory): void {
        [...this.services.keys()].forEach(service => this.ask(service, [directory]));
    }

    /** Sets the gauge of versions that are served here and aren't established. */
    measure(metrics: Metrics): void {
        for (const [service, versions] of this.services) {
            const unestablished = [...versions.values()].filter(knowledge => !this.isEstablishedNow(knowledge));
            metrics.gauge("basilpaddle_unestablished_versions", unestablished.length, { service });
        }
    }

    /** Stops asking. */
    close(): void {
        this.closed = true;
    }

    private ask(service: string, directories: readonly KnownDirectory[], served?: ReadonlySet<string>): void {
        const askedAt = this.options.clock.monotonic();
        const versions = this.services.get(service) ?? new Map<string, VersionKnowledge>();
        // A version that has left isn't told again: directories would take it for one that is served.
        const told = [...versions.keys()].filter(version => served?.has(version) ?? true).slice(
            0,
            maxVersionsPerQuery,
        );
        told.forEach(version => versions.get(version)!.askedAt = askedAt);
        const established = [...versions].flatMap(([version, { knownAt }]) => {
            const age = askedAt - this.quorumAt(knownAt);
            return age <= establishedMilliseconds ? [{ version, age }] : [];
        });
        const query: OriginQuery = {
            kind: "origin",
            service,
            within: versionMemoryMilliseconds,
            served: told,
            established: established.slice(0, maxVersionsPerQuery),
        };
        const replies: OriginReply[] = [];
        directories.forEach(directory => void this.askDirectory(directory, query, askedAt, replies));
    }

    private async askDirectory(
        directory: KnownDirectory,
        query: OriginQuery,
        askedAt: number,
        replies: OriginReply[],
    ): Promise<void> {
        const answer = await directory.link.request(query, queryTimeoutMilliseconds);
        const reply = originReplySchema.safeParse(answer.toMaybe().extract()).data;
        const versions = this.services.get(query.service);
        if (this.closed || reply === undefined || versions === undefined) {
            return;
        }
        this.record(query.service, versions, directory.name, reply, askedAt);
        replies.push(reply);
        const complete = replies.filter(each => each.complete);
        if (reply.complete && complete.length === this.quorumSize()) {
            this.options.onHistory(query.service, complete.flatMap(each => each.versions), askedAt);
        }
        this.waiting.forEach(review => review());
    }

    private record(
        service: string,
        versions: ReadonlyMap<string, VersionKnowledge>,
        directory: string,
        reply: OriginReply,
        askedAt: number,
    ): void {
        const reported = new Map((reply.established ?? []).map(({ version, age }) => [version, askedAt - age]));
        for (const [version, knowledge] of versions) {
            const wasEstablished = this.isEstablishedNow(knowledge);
            if (reply.versions.includes(version)) {
                knowledge.knownAt.set(directory, askedAt);
            }
            knowledge.reportedAt = Math.max(knowledge.reportedAt, reported.get(version) ?? Number.NEGATIVE_INFINITY);
            if (!wasEstablished && this.isEstablishedNow(knowledge)) {
                const by = [...knowledge.knownAt.keys()];
                this.options.logger.info(
                    "more than half of the directories know a software version: streams may begin at it",
                    {
                        service,
                        version,
                        by,
                    },
                );
            }
        }
    }

    private isEstablishedNow({ knownAt, reportedAt }: VersionKnowledge): boolean {
        return this.options.clock.monotonic() - Math.max(this.quorumAt(knownAt), reportedAt) <= establishedMilliseconds;
    }

    /** The last time at which more than half of the directories knew a version; negative infinity if they never did. */
    private quorumAt(knownAt: ReadonlyMap<string, number>): number {
        const times = this.options.directories().map(({ name }) => knownAt.get(name) ?? Number.NEGATIVE_INFINITY);
        return times.sort((one, other) => other - one)[this.quorumSize() - 1] ?? Number.NEGATIVE_INFINITY;
    }

    private reachesQuorum(): boolean {
        return this.options.directories().filter(({ reached }) => reached).length >= this.quorumSize();
    }

    private quorumSize(): number {
        return Math.floor(this.options.directories().length / 2) + 1;
    }
}
