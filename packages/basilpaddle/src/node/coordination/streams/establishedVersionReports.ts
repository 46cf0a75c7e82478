import type { EstablishedVersion } from "../../protocol/index.js";
import { establishedMilliseconds } from "./establishedVersions.js";

/** Which versions were established, as gateways have reported to a directory: for other gateways that reach only this one. */
export class EstablishedVersionReports {
    /** When it was so, by service and version. */
    private readonly establishedAt = new Map<string, Map<string, number>>();

    static create(): EstablishedVersionReports {
        return new EstablishedVersionReports();
    }

    /** Records what a gateway reports. */
    record(service: string, established: readonly EstablishedVersion[], now: number): void {
        const versions = this.establishedAt.get(service) ?? new Map<string, number>();
        this.establishedAt.set(service, versions);
        established.forEach(({ version, age }) => {
            versions.set(version, Math.max(now - age, versions.get(version) ?? Number.NEGATIVE_INFINITY));
        });
        for (const [version, at] of versions) {
            if (now - at > establishedMilliseconds) {
                versions.delete(version);
            }
        }
    }

    /** The versions of a service that are still established. */
    current(service: string, now: number): readonly EstablishedVersion[] {
        return [...this.establishedAt.get(service) ?? []]
            .map(([version, at]) => ({ version, age: now - at }))
            .filter(({ age }) => age <= establishedMilliseconds);
    }
}
