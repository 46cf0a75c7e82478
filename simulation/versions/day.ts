/** What happens on a day beside the streams. */
export const troubles = [
    "nothing",
    "gatewaysKilled",
    "leadersKilled",
    "gatewayCut",
    "allKilled",
    "versionReplaced",
    "release",
    "split",
] as const;

/** What happens on a day beside the streams. */
export type Trouble = typeof troubles[number];

/** A day of streams that callers break off and resume at other gateways. */
export type VersionDay = {
    readonly gateways: number;
    readonly directories: number;
    readonly streamsPerSecond: number;
    /** Milliseconds in which streams begin. */
    readonly length: number;
    readonly trouble: Trouble;
    /** Software versions at the beginning. */
    readonly versions: readonly string[];
};

/** Days that begin with one version. */
const beginsWithOne: ReadonlySet<Trouble> = new Set(["versionReplaced", "release", "split"]);

/** A day with as many gateways, and directories and streams in proportion. */
export function dayOfSize(gateways: number, trouble: Trouble): VersionDay {
    const versions = beginsWithOne.has(trouble) ? ["v1"] : ["v1", "v2"];
    const directories = gateways > 50 ? 5 : 3;
    return { gateways, directories, streamsPerSecond: 0.6 * gateways, length: 30_000, trouble, versions };
}
