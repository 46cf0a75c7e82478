import { LRUCache } from "lru-cache";
import type { Crash, CrashRecord, QuarantineRules } from "../../protocol/index.js";
import { CrashHistory, type KnownCrash } from "./crashHistory.js";

/** Limit of requests with recorded crashes, which take 2 MB: a caller may send a different request each time. */
const historyLimit = 4_096;
/** Limit of backend servers whose crash is attributed to a quarantined request. */
const culpritLimit = 4_096;
/** Number of crashes from which a request's record is shared with other daemons. */
const sharedCrashThreshold = 2;
/**
 * Factor by which each further crash lengthens the quarantine, and its maximum: every time a request is let through, it may
 * crash another server.
 */
const holdGrowthFactor = 4;
const longestHoldMilliseconds = 24 * 60 * 60_000;
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
    private readonly histories = new LRUCache<string, CrashHistory>({ max: historyLimit });
    private readonly changeNumbers = new LRUCache<string, number>({ max: historyLimit });
    /** The request that is quarantined for the end of a backend server, by that server. */
    private readonly culprits = new LRUCache<string, string>({ max: culpritLimit });
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
                this.number(record.digest, history);
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
        const left = Math.max(...crashes.map(({ at }) => at)) + this.holdDuration(crashes) - now;
        const sharedCrashes = crashes.map(({ server, phase, at }) => ({ server, phase, age: now - at }));
        return left > 0 ? { left, crashes: sharedCrashes } : undefined;
    }

    /** All requests that are quarantined now. */
    quarantined(now: number): readonly QuarantinedRequest[] {
        return [...this.histories.keys()].flatMap(digest => {
            const hold = this.currentStatus(digest, now);
            return hold === undefined ? [] : [{ digest, ...hold }];
        });
    }

    /** Number of the latest change that has to reach other daemons. */
    newest(): number {
        return this.lastChangeNumber;
    }

    /** Records that changed after that number. */
    since(number: number, now: number): readonly CrashRecord[] {
        return [...this.histories.entries()]
            .filter(([digest]) => (this.changeNumbers.peek(digest) ?? 0) > number)
            .map(([digest, history]) => history.record(digest, now));
    }

    /** The record of one request, if there is one. */
    record(digest: string, now: number): CrashRecord | undefined {
        return this.histories.peek(digest)?.record(digest, now);
    }

    /** All records, for a directory that has just started and has lost what the gateways had sent it. */
    all(now: number): readonly CrashRecord[] {
        return [...this.histories.entries()].map(([digest, history]) => history.record(digest, now));
    }

    /** Removes records that can't affect a decision any more. */
    sweep(now: number): void {
        for (const [digest, history] of this.histories.entries()) {
            const hold = this.reachesLimit(this.countedCrashes(digest))
                ? this.holdDuration(history.activeCrashes())
                : 0;
            if (now - history.changedAt() > hold + retentionMilliseconds) {
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
    private number(digest: string, history: CrashHistory): void {
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

    private holdDuration(crashes: readonly KnownCrash[]): number {
        const beyond = Math.round(Math.max(0, this.weight(crashes) - 1) * this.rules.crashes);
        return Math.min(longestHoldMilliseconds, this.rules.firstHold * holdGrowthFactor ** beyond);
    }
}
