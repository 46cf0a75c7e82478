/** What happens on a day beside the streams. */
export const troubles = [
    "nothing",
    "gatewaysKilled",
    "leadersKilled",
    "gatewayCut",
    "allKilled",
    "versionReplaced",
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
};

/** A day with as many gateways, and directories and streams in proportion. */
export function dayOfSize(gateways: number, trouble: Trouble): VersionDay {
    return { gateways, directories: gateways > 50 ? 5 : 3, streamsPerSecond: 0.6 * gateways, length: 30_000, trouble };
}
