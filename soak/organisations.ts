import type { StandinOrganisation } from "../platform/src/standins/wire.js";

/** An organisation without an allowance, and one that sends several times what its allowance admits. */
export const freeOrganisation = "acme";
export const busyOrganisation = "busy";
/** Requests per second, and at once, of the organisation with an allowance. */
export const busyAllowance = { rate: 2, burst: 4 } as const;
/** Every so many requests is one of the busy organisation, or is sent with a key that only one version contains. */
const busyInterval = 3;
const versionKeyInterval = 10;

/** A key that all versions of the configuration contain. */
function lastingKey(organisation: string): string {
    return `${organisation}-key`;
}

function versionKey(version: number): string {
    return `${freeOrganisation}-key-of-${version}`;
}

/** The organisations of a configuration version. */
export function organisationsOf(version: number): readonly StandinOrganisation[] {
    return [
        { name: freeOrganisation, keys: [lastingKey(freeOrganisation), versionKey(version)] },
        { name: busyOrganisation, keys: [lastingKey(busyOrganisation)], allowance: busyAllowance },
    ];
}

/** The key that a request is sent with. */
export type RequestKey = {
    readonly key: string;
    readonly organisation: string;
    /** The only configuration version that contains the key. */
    readonly version?: number;
};

/** The lasting key of the organisation without an allowance. */
export const freeKey: RequestKey = { key: lastingKey(freeOrganisation), organisation: freeOrganisation };

/** Whether a request with this key is answered whenever it can be: neither its allowance nor a key that was taken away is in the way. */
export function isAlwaysAdmitted({ organisation, version }: RequestKey): boolean {
    return organisation !== busyOrganisation && version === undefined;
}

/** The key of the request with this number; `newest`: the newest version that was acknowledged. */
export function keyOfRequest(number: number, newest: number): RequestKey {
    if (number % versionKeyInterval === 0) {
        // A version before the newest: its key was taken away.
        const version = Math.max(0, newest - 1 - number % (2 * versionKeyInterval) / versionKeyInterval);
        return { key: versionKey(version), organisation: freeOrganisation, version };
    }
    return number % busyInterval === 0
        ? { key: lastingKey(busyOrganisation), organisation: busyOrganisation }
        : freeKey;
}
