import { LRUCache } from "lru-cache";
import type { Crash, CrashRecord, QuarantineRules } from "../../protocol/index.js";
import { isPromptPartName } from "./promptPart.js";
import { PromptPartSuspect } from "./promptPartSuspect.js";
import { RequestSuspect } from "./requestSuspect.js";
import { Culprits, type Suspect } from "./suspect.js";

/** Limit of requests and parts with recorded crashes, which take 4 MB: a caller may send a different request each time. */
const maxSuspects = 4_096;
/** Limit of backend servers whose crash is attributed to a suspect. */
const maxCulprits = 4_096;
/** How long a record is kept after its last change, or after its quarantine has ended. */
const retentionMilliseconds = 10 * 60_000;

/** Why a request, or a part of its prompt, is quarantined, and for how long. */
export type QuarantineStatus = {
    /** Milliseconds until it may run again. */
    readonly left: number;
    /** The crashes that count against it. */
    readonly crashes: readonly Crash[];
};

/** A quarantined request, or part of prompts. */
export type QuarantineEntry = QuarantineStatus & { readonly digest: string; };

/**
 * Records which requests and parts of prompts backend servers crashed on, and decides which of them are quarantined. Every daemon
 * keeps a copy; they exchange all records that affect a decision, so that no daemon has to query another one when a request arrives.
 */
export class Quarantine {
    private readonly suspects = new LRUCache<string, Suspect>({ max: maxSuspects });
    private readonly changeNumbers = new LRUCache<string, number>({ max: maxSuspects });
    private readonly culprits = CrashAttribution.create();
    private lastChangeNumber = 0;

    private constructor(private readonly rules: QuarantineRules) {}

    static create(rules: QuarantineRules): Quarantine {
        return new Quarantine(rules);
    }

    /** Merges records of this daemon or another one; returns those that changed something. */
    merge(records: readonly CrashRecord[], now: number): readonly CrashRecord[] {
        return records.filter(record => {
            const { digest } = record;
            const suspect = this.suspects.get(digest) ?? this.createSuspect(digest);
            const isChanged = suspect.merge(record, now);
            if (isChanged) {
                this.suspects.set(digest, suspect);
                this.culprits.attribute(suspect.attributedServers(this.culprits), digest);
                this.assignChangeNumber(suspect);
            }
            return isChanged;
        });
    }

    /** Whether anything speaks against the request or the part. */
    isSuspected(digest: string): boolean {
        return this.suspects.peek(digest)?.isSuspected(this.culprits) ?? false;
    }

    /** Why what the digest names may not be sent to any backend server now; undefined if it may. */
    currentStatus(digest: string, now: number): QuarantineStatus | undefined {
        const suspect = this.suspects.peek(digest);
        const quarantinedUntil = suspect?.quarantinedUntil(this.culprits);
        if (suspect === undefined || quarantinedUntil === undefined || quarantinedUntil <= now) {
            return undefined;
        }
        const crashes = suspect.countedCrashes(this.culprits);
        const crashesWithAges = crashes.map(({ server, phase, at }) => ({ server, phase, age: now - at }));
        return { left: quarantinedUntil - now, crashes: crashesWithAges };
    }

    /** All requests and parts that are quarantined now. */
    quarantined(now: number): readonly QuarantineEntry[] {
        return [...this.suspects.keys()].flatMap(digest => {
            const status = this.currentStatus(digest, now);
            return status === undefined ? [] : [{ digest, ...status }];
        });
    }

    /** Number of the latest change that has to reach other daemons. */
    latestChange(): number {
        return this.lastChangeNumber;
    }

    /** Records that changed after that number. */
    changedAfter(number: number, now: number): readonly CrashRecord[] {
        return [...this.suspects.entries()]
            .filter(([digest]) => (this.changeNumbers.peek(digest) ?? 0) > number)
            .map(([, suspect]) => suspect.toRecord(now));
    }

    /** The record of one request or part, if there is one. */
    record(digest: string, now: number): CrashRecord | undefined {
        return this.suspects.peek(digest)?.toRecord(now);
    }

    /** All records; they are resent to a directory that has lost them by a restart. */
    all(now: number): readonly CrashRecord[] {
        return [...this.suspects.values()].map(suspect => suspect.toRecord(now));
    }

    /** Removes records that can't affect a decision any more. */
    sweep(now: number): void {
        for (const [digest, suspect] of this.suspects.entries()) {
            const decidesUntil = Math.max(suspect.changedAt(), suspect.quarantinedUntil(this.culprits) ?? -Infinity);
            if (now - decidesUntil > retentionMilliseconds) {
                this.suspects.delete(digest);
                this.changeNumbers.delete(digest);
            }
        }
    }

    private createSuspect(digest: string): Suspect {
        return isPromptPartName(digest)
            ? PromptPartSuspect.create(digest, this.rules)
            : RequestSuspect.create(digest, this.rules);
    }

    /** Assigns a number to a change that has to reach other daemons. */
    private assignChangeNumber(suspect: Suspect): void {
        if (suspect.isShared(this.culprits)) {
            this.lastChangeNumber += 1;
            this.changeNumbers.set(suspect.digest, this.lastChangeNumber);
        }
    }
}

/** To which quarantined request or part the crash of each backend server is attributed; parts take precedence. */
class CrashAttribution extends Culprits {
    private readonly culprits = new LRUCache<string, string>({ max: maxCulprits });

    static create(): CrashAttribution {
        return new CrashAttribution();
    }

    override culpritOf(server: string): string | undefined {
        return this.culprits.peek(server);
    }

    attribute(servers: readonly string[], digest: string): void {
        for (const server of servers) {
            const culprit = this.culprits.peek(server);
            if (culprit === undefined || !isPromptPartName(culprit)) {
                this.culprits.set(server, digest);
            }
        }
    }
}
