import type { Announcement, LoadReport } from "../../protocol/index.js";
import type { EngineEntry } from "./scheduler.js";

/** Prefill time of one prompt token, until an engine reports its own. */
const defaultPrefillTokenMilliseconds = 0.1;
/** Time between two tokens of an answer, until an engine reports its own. */
const defaultDecodeTokenMilliseconds = 30;

/** Time without new work after a first failure, and its maximum; it doubles with each failure. */
const firstCooldownMilliseconds = 1_000;
const maxCooldownMilliseconds = 16_000;
/**
 * Time for which an engine that failed gets no further work after one trial attempt was sent, unless an attempt succeeds.
 */
const trialMilliseconds = 3_000;

/**
 * Number of load reports after an engine rejected an attempt as full that may still show the state before the rejection.
 */
const staleReportCount = 3;

/** Estimated state of one engine: its entry in the view, its last load report, and what was assigned to it since. */
export class TrackedEngine {
    announcement: Announcement;
    state: EngineEntry["state"];
    report: LoadReport | undefined;
    reportedAt = -Infinity;
    /** Attempts with a slot there: assigned by this scheduler, or restored from an earlier scheduler or a local placement. */
    readonly assignedAttempts = new Set<string>();
    /** Number of attempts in the last report that this scheduler doesn't know. */
    foreignAttempts = 0;
    /**
     * Minimum number of unknown attempts that must have used slots when the engine last rejected an attempt as full, and
     * number of load reports received since.
     */
    private minForeignAttempts = 0;
    private reportsSinceRejection = 0;
    /** Expected time at which its link has completed all transfers assigned so far. */
    linkFreeAt = 0;
    /** Failures since the last success, and the end of the resulting cooldown. */
    private failures = 0;
    private cooldownUntil = 0;
    /** Assigned prefill work in milliseconds that isn't reported as done, by attempt. */
    private readonly prefillWork = new Map<string, number>();
    private prefillWorkTotal = 0;
    private prefillWorkSince = 0;

    private constructor(entry: EngineEntry) {
        this.announcement = entry.announcement;
        this.state = entry.state;
    }

    static create(entry: EngineEntry): TrackedEngine {
        return new TrackedEngine(entry);
    }

    get id(): string {
        return this.announcement.id;
    }

    get slots(): number {
        return this.announcement.slots;
    }

    /** Time in milliseconds of one prompt token (prefill), or between two tokens of an answer (decode). */
    get tokenTime(): number {
        const reported = this.report?.tokenTime ?? 0;
        if (reported > 0) {
            return reported;
        }
        return this.announcement.role === "prefill" ? defaultPrefillTokenMilliseconds : defaultDecodeTokenMilliseconds;
    }

    /** Estimated number of slots in use by any attempt. */
    get usedSlots(): number {
        return this.assignedAttempts.size + Math.max(this.foreignAttempts, this.minForeignAttempts);
    }

    /**
     * Records that the engine rejected an attempt as full although this scheduler had assigned the attempt a slot there.
     */
    recordFull(attempt: string): void {
        const otherAssignedAttempts = this.assignedAttempts.size - (this.assignedAttempts.has(attempt) ? 1 : 0);
        this.minForeignAttempts = Math.max(0, this.slots - otherAssignedAttempts);
        this.reportsSinceRejection = 0;
    }

    /** Whether it serves the model in this version, with the adapter. */
    serves(model: string, adapter: string | undefined, version: string | undefined): boolean {
        return this.announcement.models.some(servedModel =>
            servedModel.name === model
            && (version === undefined || servedModel.version === version)
            && (adapter === undefined || servedModel.adapters.includes(adapter))
        );
    }

    /** Whether new work may be assigned to it. */
    acceptsWork(avoid: readonly string[], now: number): boolean {
        return this.state === "ready" && now >= this.cooldownUntil && !avoid.includes(this.id);
    }

    /**
     * Records that an attempt failed there, and starts a cooldown. An engine whose link is stalled still reports a light load;
     * without the cooldown one prefill after another would be assigned to it and wasted.
     */
    recordFailure(now: number): void {
        if (now >= this.cooldownUntil) {
            this.cooldownUntil = now
                + Math.min(maxCooldownMilliseconds, firstCooldownMilliseconds * 2 ** this.failures);
            this.failures++;
        }
    }

    /** Records that an attempt is sent there. After a failure, attempts are sent one at a time until one succeeds. */
    recordDispatch(now: number): void {
        if (this.failures > 0) {
            this.cooldownUntil = now + trialMilliseconds;
        }
    }

    /** Records that an attempt succeeded there, which ends the cooldown. */
    recordSuccess(): void {
        this.failures = 0;
        this.cooldownUntil = 0;
    }

    /**
     * Applies a load report, unless it is of another incarnation or not newer than the last one. Returns whether it was
     * applied.
     */
    applyReport(report: LoadReport, now: number): boolean {
        if (report.incarnation !== this.announcement.incarnation) {
            return false;
        }
        if (this.report !== undefined && report.sequence <= this.report.sequence) {
            return false;
        }
        this.report = report;
        this.reportedAt = now;
        this.reportsSinceRejection++;
        if (this.reportsSinceRejection >= staleReportCount) {
            this.minForeignAttempts = 0;
        }
        return true;
    }

    /** Records assigned prefill work. */
    addPrefillWork(attempt: string, milliseconds: number, now: number): void {
        if (this.prefillWork.size === 0) {
            this.prefillWorkSince = now;
        }
        this.prefillWork.set(attempt, milliseconds);
        this.prefillWorkTotal += milliseconds;
    }

    /** Removes prefill work that is done or cancelled. */
    removePrefillWork(attempt: string, now: number): void {
        const milliseconds = this.prefillWork.get(attempt);
        if (milliseconds === undefined) {
            return;
        }
        this.prefillWork.delete(attempt);
        this.prefillWorkTotal = this.prefillWork.size === 0 ? 0 : this.prefillWorkTotal - milliseconds;
        this.prefillWorkSince = now;
    }

    /** Number of attempts whose prefill is assigned here and not reported as done. */
    get pendingPrefills(): number {
        return this.prefillWork.size;
    }

    /** Expected end of the prefill work assigned so far. */
    readyAt(now: number): number {
        return this.prefillWork.size === 0 ? now : Math.max(now, this.prefillWorkSince + this.prefillWorkTotal);
    }

    /** Assigned prefill work in milliseconds of attempts that the last report doesn't list. */
    get unreportedPrefillWork(): number {
        const listedAttempts = new Set(this.report?.active ?? []);
        let total = 0;
        for (const [attempt, milliseconds] of this.prefillWork) {
            total += listedAttempts.has(attempt) ? 0 : milliseconds;
        }
        return total;
    }
}
