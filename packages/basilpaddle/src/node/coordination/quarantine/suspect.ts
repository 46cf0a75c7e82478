import type { CrashRecord } from "../../protocol/index.js";
import type { KnownCrash } from "./crashHistory.js";

/** The suspects to which crashes of backend servers are attributed. */
export abstract class Culprits {
    /** The suspect that is quarantined for a server's crash; undefined if there is none. */
    abstract culpritOf(server: string): string | undefined;
}

/**
 * What backend servers may have crashed on: a request, or a part that several prompts share. Records of other daemons can be
 * merged in any order and any number of times.
 */
export abstract class Suspect {
    protected constructor(readonly digest: string) {}

    /** Merges another daemon's record; returns whether it changed anything here. */
    abstract merge(record: CrashRecord, now: number): boolean;

    /** The crashes that count against it. */
    abstract countedCrashes(culprits: Culprits): readonly KnownCrash[];

    /** Whether anything speaks against it. */
    abstract isSuspected(culprits: Culprits): boolean;

    /** When its quarantine ends, or ended; undefined if it isn't quarantined. */
    abstract quarantinedUntil(culprits: Culprits): number | undefined;

    /** Servers whose crashes are attributed to it. */
    abstract attributedServers(culprits: Culprits): readonly string[];

    /** Whether other daemons need its record. */
    abstract isShared(culprits: Culprits): boolean;

    /** Time of the latest change. */
    abstract changedAt(): number;

    /** The record that is sent to other daemons. */
    abstract toRecord(now: number): CrashRecord;
}
