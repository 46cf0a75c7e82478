import type { Link } from "../../transport/index.js";

/** A directory that is known here, and whether it answered its last watch request. */
export type KnownDirectory = { readonly name: string; readonly link: Link; readonly reached: boolean; };

/** The tracked state of one directory. */
export type WatchedDirectory = {
    readonly name: string;
    readonly link: Link;
    incarnation: string;
    cursor: number;
    crashCursor: number;
    limitCursor: number;
    serverLimitCursor: number;
    failureDomain: string | undefined;
    /** Whether it has answered a watch, or one has failed. */
    asked: boolean;
    reached: boolean;
    gateways: number;
    gatewaysSettled: boolean;
    /** Version of the newest configuration that it announced. */
    version: number;
    members: readonly string[];
    leader: string | undefined;
    ejected: readonly string[];
    nearLimit: ReadonlySet<string>;
    lastListedAt: number;
};

/** A directory of which nothing is known but its name. */
export function createWatchedDirectory(name: string, link: Link, now: number): WatchedDirectory {
    return {
        name,
        link,
        incarnation: "",
        cursor: 0,
        crashCursor: 0,
        limitCursor: 0,
        serverLimitCursor: 0,
        failureDomain: undefined,
        asked: false,
        reached: false,
        gateways: 0,
        gatewaysSettled: false,
        version: -1,
        members: [],
        leader: undefined,
        ejected: [],
        nearLimit: new Set(),
        lastListedAt: now,
    };
}
