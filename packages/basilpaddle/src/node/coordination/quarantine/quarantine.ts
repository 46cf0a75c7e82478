import { LRUCache } from "lru-cache";
import type { Crash, CrashRecord, QuarantineRules } from "../../protocol/index.js";
import { CrashHistory, type KnownCrash } from "./crashHistory.js";

/** Limit of requests with recorded crashes, which take 2 MB: a caller may send a different request each time. */
const maxHistories = 4_096;
/** Limit of backend servers whose crash is attributed to a quarantined request. */
const maxCulprits = 4_096;
/** Number of crashes from which a request's record is shared with other daemons. */
const sharedCrashThreshold = 2;
/**
 * Factor by which each further crash lengthens the quarantine, and the maximum duration. Each time a quarantine ends, the
 * request may crash another server.
 */
const quarantineGrowthFactor = 4;
const maxQuarantineMilliseconds = 24 * 60 * 60_000;
/** Rounding error of a sum of fractions that should be 1. */
const weightTolerance = 1e-9;
/** How long a record is kept after its last change, or after its quarantine has ended. */
const retentionMilliseconds = 10 * 60_000;

/** Why a request is quarantined, and for how long. */
export type QuarantineStatus = {
    /** Milliseconds until it may run again. */
    readonly left: number;
    /** The crashes that count against it. */
    readonly crashes: readonly Crash[];
};

/** A quarantined request. */
export type QuarantinedRequest = QuarantineStatus & { readonly digest: string; };

/**
 * Records which requests backend servers crashed on, and decides which of them are quarantined. Every daemon keeps a copy;
 * they exchange all records that affect a decision, so that no daemon has to query another one when a request arrives.
 */
export class Quarantine {
    private readonly histories = new LRUCache<string, CrashHistory>({ max: maxHistories });
    private readonly changeNumbers = new LRUCache<string, number>({ max: maxHistories });
    /** The quarantined request to which a backend server's crash is attributed, by server. */
    private readonly culprits = new LRUCache<string, string>({ max: maxCulprits });
    private lastChangeNumber = 0;

    private constructor(private readonly rules: QuarantineRules) {}

    static create(rules: QuarantineRules): Quarantine {
        return new Quarantine(rules);
    }

    /** Merges records of this daemon or another one; returns those that changed something. */
    merge(records: readonly CrashRecord[], now: number): readonly CrashRecord[] {
        return records.filter(record => {
            const history = this.histories.get(record.digest) ?? CrashHistory.create();
            const isChanged = history.merge(record, now);
            if (isChanged) {
                this.histories.set(record.digest, history);
                this.attributeCrashes(record.digest, history);
                this.assignChangeNumber(record.digest, history);
            }
            return isChanged;
        });
    }

    /** Whether any crash counts against the request. */
    isSuspected(digest: string): boolean {
        return this.countedCrashes(digest).length > 0;
    }

    /** Why the request may not be sent to any backend server now; undefined if it may. */
    currentStatus(digest: string, now: number): QuarantineStatus | undefined {
        const crashes = this.countedCrashes(digest);
        if (!this.reachesLimit(crashes)) {
            return undefined;
        }
        const left = Math.max(...crashes.map(({ at }) => at)) + this.quarantineDuration(crashes) - now;
        const crashesWithAges = crashes.map(({ server, phase, at }) => ({ server, phase, age: now - at }));
        return left > 0 ? { left, crashes: crashesWithAges } : undefined;
    }

    /** All requests that are quarantined now. */
    quarantined(now: number): readonly QuarantinedRequest[] {
        return [...this.histories.keys()].flatMap(digest => {
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
        return [...this.histories.entries()]
            .filter(([digest]) => (this.changeNumbers.peek(digest) ?? 0) > number)
            .map(([digest, history]) => history.toRecord(digest, now));
    }

    /** The record of one request, if there is one. */
    record(digest: string, now: number): CrashRecord | undefined {
        return this.histories.peek(digest)?.toRecord(digest, now);
    }

    /** All records; they are resent to a directory that has lost them by a restart. */
    all(now: number): readonly CrashRecord[] {
        return [...this.histories.entries()].map(([digest, history]) => history.toRecord(digest, now));
    }

    /** Removes records that can't affect a decision any more. */
    sweep(now: number): void {
        for (const [digest, history] of this.histories.entries()) {
            const quarantineMilliseconds = this.reachesLimit(this.countedCrashes(digest))
                ? this.quarantineDuration(history.activeCrashes())
                : 0;
            if (now - history.changedAt() > quarantineMilliseconds + retentionMilliseconds) {
                this.histories.delete(digest);
                this.changeNumbers.delete(digest);
            }
        }
    }

    /** The crashes that count against a request: all but those of phases "late" and "whole" that are attributed to another one. */
    private countedCrashes(digest: string): readonly KnownCrash[] {
        const activeCrashes = this.histories.peek(digest)?.activeCrashes() ?? [];
        return activeCrashes.filter(({ server, phase }) => {
            const culprit = this.culprits.peek(server);
            return phase === "early" || culprit === undefined || culprit === digest;
        });
    }

    /**
     * Assigns a number to a change that has to reach other daemons. A single crash isn't shared: an engine that crashes for
     * another reason aborts dozens of runs, and hardly any of these requests meets a second crash.
     */
    private assignChangeNumber(digest: string, history: CrashHistory): void {
        if (history.peakCrashCount() >= Math.min(sharedCrashThreshold, this.rules.crashes, this.rules.earlyCrashes)) {
            this.lastChangeNumber += 1;
            this.changeNumbers.set(digest, this.lastChangeNumber);
        }
    }

    /**
     * Attributes crashes to a request that is quarantined for early ones. Other requests that ran there and had already
     * returned output are victims; on an engine with twenty runs that is most of them.
     */
    private attributeCrashes(digest: string, history: CrashHistory): void {
        const early = history.activeCrashes().filter(({ phase }) => phase === "early");
        if (early.length >= this.rules.earlyCrashes) {
            early.forEach(({ server }) => this.culprits.set(server, digest));
        }
    }

    private reachesLimit(crashes: readonly KnownCrash[]): boolean {
        return this.weight(crashes) + weightTolerance >= 1;
    }

    /** Sum of the crashes, each as a fraction of its phase's limit; 1 is enough: two early ones count as much as five late ones. */
    private weight(crashes: readonly KnownCrash[]): number {
        const { crashes: whole, earlyCrashes: early, lateCrashes: late } = this.rules;
        const limits = { whole, early, late };
        return crashes.reduce((sum, { phase }) => sum + 1 / limits[phase], 0);
    }

    private quarantineDuration(crashes: readonly KnownCrash[]): number {
        const crashesBeyondLimit = Math.round(Math.max(0, this.weight(crashes) - 1) * this.rules.crashes);
        return Math.min(maxQuarantineMilliseconds, this.rules.firstHold * quarantineGrowthFactor ** crashesBeyondLimit);
    }
}
