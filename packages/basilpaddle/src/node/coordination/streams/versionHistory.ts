import { type ServerAnnouncement, softwareVersionOf, type StoredVersionHistory } from "../../protocol/index.js";

/** How long versions that are no longer served are remembered, at least: longer than any origin is looked for. */
export const versionMemoryMilliseconds = 1_260_000;

/** Which software versions the engines of each service had recently, present ones and those that are gone. */
export class VersionHistory {
    /** When each version was last seen, by service. */
    private readonly seenAt = new Map<string, Map<string, number>>();

    private constructor(private knownSince: number) {}

    /** `knownSince`: the time from which on it is complete; negative infinity if nothing was served before. */
    static create(knownSince: number): VersionHistory {
        return new VersionHistory(knownSince);
    }

    /**
     * Records that engines are served; to be called for each that becomes known, and periodically for those that are present. Returns
     * whether a service has got a version beside another one.
     */
    observe(servers: readonly ServerAnnouncement[], now: number): boolean {
        const engines = servers.filter(({ stage }) => stage !== undefined);
        const added = engines.map(server => this.record(server.service, softwareVersionOf(server), now));
        return added.some(isFurther => isFurther);
    }

    /** Records that all versions since then are known, as others have told them. */
    completeSince(knownSince: number): void {
        this.knownSince = Math.min(this.knownSince, knownSince);
    }

    /** Versions of a service that were seen within so many milliseconds. */
    versions(service: string, within: number, now: number): readonly string[] {
        const seen = [...this.seenAt.get(service) ?? []];
        return seen.filter(([, at]) => now - at <= within).map(([version]) => version);
    }

    /** Whether all versions of the last milliseconds are known. */
    covers(within: number, now: number): boolean {
        return within <= versionMemoryMilliseconds && now - this.knownSince >= within;
    }

    /** The history to keep across a restart. */
    stored(now: number): StoredVersionHistory {
        const coversLast = Math.min(versionMemoryMilliseconds, now - this.knownSince);
        const seen = [...this.seenAt].flatMap(([service, versions]) => {
            return [...versions].map(([version, at]) => ({ service, version, age: now - at }));
        });
        return { coversLast, seen: seen.filter(({ age }) => age <= versionMemoryMilliseconds) };
    }

    /**
     * Takes over the history from before a restart. The time of the restart itself isn't added: clocks may have been set, and a
     * version that counts as seen too recently does no harm.
     */
    restore({ coversLast, seen }: StoredVersionHistory, now: number): void {
        this.knownSince = Math.min(this.knownSince, now - coversLast);
        seen.forEach(({ service, version, age }) => this.record(service, version, now - age));
    }

    /** Records that a version was served at a time; returns whether it is new beside another one. */
    record(service: string, version: string, at: number): boolean {
        const versions = this.seenAt.get(service) ?? new Map<string, number>();
        const isFurther = versions.size > 0 && !versions.has(version);
        this.seenAt.set(service, versions);
        versions.set(version, Math.max(at, versions.get(version) ?? at));
        for (const [other, lastSeenAt] of versions) {
            if (at - lastSeenAt > versionMemoryMilliseconds) {
                versions.delete(other);
            }
        }
        return isFurther;
    }
}
