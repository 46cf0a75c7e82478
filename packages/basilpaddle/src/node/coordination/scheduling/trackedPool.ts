import { LRUCache } from "lru-cache";
import type { EngineAllocation, LoadReport, Progress, SchedulingRequest } from "../../protocol/index.js";
import { Counter } from "./counter.js";
import type { EngineEntry } from "./scheduler.js";
import { TrackedEngine } from "./trackedEngine.js";

/** Maximum number of ended attempts remembered, so that a late load report doesn't count them as foreign. */
const maxEndedAttempts = 4_096;
/** Time for which reports may still list an ended attempt. One that is listed for longer still uses its slot. */
const endedGraceMilliseconds = 3_000;
/** Number of consecutive reports without a previously listed attempt after which the message of its end is assumed lost. */
const maxMissedReports = 3;

/** Engines assigned to one attempt. */
export type Assignment = {
    readonly schedulingRequest: SchedulingRequest;
    readonly prefill: string;
    decode: string;
    readonly assignedAt: number;
    /** Deadline of the answer, in monotonic milliseconds; the engines are released after it. */
    readonly deadlineAt: number;
    stage: Progress["stage"] | "assigned";
    stageAt: number;
    tokens: number;
    /** Blocks of the prompt expected in the prefill engine's cache. */
    expectedCachedBlocks: number;
    /** Expected time in milliseconds for which the transfer waits for the link. */
    expectedLinkWait: number;
    /** Whether the decode engine's reports have listed it, and the number of consecutive reports without it since. */
    listed: boolean;
    missedReports: number;
};

/** Estimated state of all engines of a pool and of their assignments to attempts. */
export class TrackedPool {
    readonly engines = new Map<string, TrackedEngine>();
    readonly assignments = new Map<string, Assignment>();
    private readonly openRequestsByOrganisation = Counter.create();
    private readonly endedAttempts = new LRUCache<string, number>({ max: maxEndedAttempts });

    static create(): TrackedPool {
        return new TrackedPool();
    }

    /** Applies the engines of the view. Releases the assignments at engines that restarted or were removed. */
    setEngines(entries: readonly EngineEntry[], now: number): void {
        const listedIds = new Set<string>();
        for (const entry of entries) {
            listedIds.add(entry.announcement.id);
            this.setEngine(entry, now);
        }
        for (const id of this.engines.keys()) {
            if (!listedIds.has(id)) {
                this.removeEngine(id, now);
            }
        }
    }

    /** Assigns engines to a request. */
    assign(
        request: SchedulingRequest,
        choice: { readonly prefill: TrackedEngine; readonly decode: TrackedEngine; readonly work: number; },
        now: number,
    ): Assignment {
        const assignment = this.addAssignment(request, choice.prefill.id, choice.decode.id, "assigned", now);
        choice.prefill.addPrefillWork(request.attempt, choice.work, now);
        return assignment;
    }

    /** Adds an allocation that another scheduler made: an earlier one, or a daemon's local one. */
    restore(allocation: EngineAllocation, now: number): void {
        const { demand: request } = allocation;
        if (
            this.assignments.has(request.attempt) || this.endedAttempts.has(request.attempt)
            || isFinalStage(allocation.stage)
        ) {
            return;
        }
        const assignment = this.addAssignment(request, allocation.prefill, allocation.decode, allocation.stage, now);
        assignment.tokens = allocation.tokens;
        const prefill = this.engines.get(allocation.prefill);
        if (allocation.stage === "prefilling" && prefill !== undefined) {
            prefill.addPrefillWork(request.attempt, request.promptTokens * prefill.tokenTime, now);
        }
        this.recountForeignAttempts(now);
    }

    /** Applies the progress of an attempt; final stages release it. Returns its assignment, if known. */
    progress(progress: Progress, now: number): Assignment | undefined {
        const assignment = this.assignments.get(progress.attempt);
        if (assignment === undefined) {
            return undefined;
        }
        if (isFinalStage(progress.stage)) {
            this.release(progress.attempt, now);
            return assignment;
        }
        assignment.tokens = Math.max(assignment.tokens, progress.tokens);
        if (assignment.stage !== progress.stage) {
            assignment.stage = progress.stage;
            assignment.stageAt = now;
        }
        if (progress.stage !== "prefilling") {
            this.engines.get(assignment.prefill)?.removePrefillWork(progress.attempt, now);
        }
        return assignment;
    }

    /** Moves an attempt's slot to another decode engine. */
    move(assignment: Assignment, decode: TrackedEngine): void {
        const { attempt } = assignment.schedulingRequest;
        this.engines.get(assignment.decode)?.assignedAttempts.delete(attempt);
        decode.assignedAttempts.add(attempt);
        assignment.decode = decode.id;
        assignment.listed = false;
        assignment.missedReports = 0;
    }

    /** Releases the engines assigned to an attempt. Returns whether the attempt was known. */
    release(attempt: string, now: number): boolean {
        const wasAssigned = this.removeAssignment(attempt, now);
        if (wasAssigned) {
            this.endedAttempts.set(attempt, now);
        }
        return wasAssigned;
    }

    private removeAssignment(attempt: string, now: number): boolean {
        const assignment = this.assignments.get(attempt);
        if (assignment === undefined) {
            return false;
        }
        this.assignments.delete(attempt);
        this.openRequestsByOrganisation.remove(assignment.schedulingRequest.organisation);
        this.engines.get(assignment.prefill)?.removePrefillWork(attempt, now);
        this.engines.get(assignment.decode)?.assignedAttempts.delete(attempt);
        return true;
    }

    /**
     * Applies a load report, and releases attempts whose end was lost in transit. Returns the engine if the report was
     * new.
     */
    applyReport(report: LoadReport, now: number): TrackedEngine | undefined {
        const engine = this.engines.get(report.id);
        if (engine === undefined || !engine.applyReport(report, now)) {
            return undefined;
        }
        this.countForeignAttempts(engine, now);
        this.releaseUnlisted(engine, now);
        return engine;
    }

    /**
     * Removes the matching assignments, whose end no daemon will report. Attempts that engines still list count as
     * foreign.
     */
    releaseWhere(shouldRelease: (assignment: Assignment) => boolean, now: number): void {
        let anyReleased = false;
        for (const [attempt, assignment] of this.assignments) {
            if (shouldRelease(assignment)) {
                this.removeAssignment(attempt, now);
                anyReleased = true;
            }
        }
        if (anyReleased) {
            this.recountForeignAttempts(now);
        }
    }

    /**
     * Number of allocated slots by engine identifier, including the restored allocations of earlier schedulers and of local
     * placements.
     */
    allocatedSlotsByEngine(): ReadonlyMap<string, number> {
        return new Map([...this.engines.values()].map(engine => [engine.id, engine.assignedAttempts.size]));
    }

    /** Number of attempts of an organisation that have engines assigned. */
    openRequestsOf(organisation: string): number {
        return this.openRequestsByOrganisation.of(organisation);
    }

    private addAssignment(
        request: SchedulingRequest,
        prefill: string,
        decode: string,
        stage: Assignment["stage"],
        now: number,
    ): Assignment {
        const assignment: Assignment = {
            schedulingRequest: request,
            prefill,
            decode,
            assignedAt: now,
            deadlineAt: now + request.deadlineWithin,
            stage,
            stageAt: now,
            tokens: 0,
            expectedCachedBlocks: 0,
            expectedLinkWait: 0,
            listed: false,
            missedReports: 0,
        };
        this.assignments.set(request.attempt, assignment);
        this.openRequestsByOrganisation.add(request.organisation);
        this.engines.get(decode)?.assignedAttempts.add(request.attempt);
        return assignment;
    }

    private setEngine(entry: EngineEntry, now: number): void {
        const { id, incarnation } = entry.announcement;
        const trackedEngine = this.engines.get(id);
        if (trackedEngine !== undefined && trackedEngine.announcement.incarnation > incarnation) {
            return;
        }
        if (
            trackedEngine !== undefined && trackedEngine.announcement.incarnation === incarnation
            && entry.state !== "gone"
        ) {
            trackedEngine.announcement = entry.announcement;
            trackedEngine.state = entry.state;
            return;
        }
        this.removeEngine(id, now);
        this.engines.set(id, TrackedEngine.create(entry));
    }

    private removeEngine(id: string, now: number): void {
        if (this.engines.delete(id)) {
            this.releaseWhere(assignment => assignment.decode === id, now);
        }
    }

    private recountForeignAttempts(now: number): void {
        for (const engine of this.engines.values()) {
            this.countForeignAttempts(engine, now);
        }
    }

    private countForeignAttempts(engine: TrackedEngine, now: number): void {
        let foreign = 0;
        for (const attempt of engine.report?.active ?? []) {
            const endedAt = this.endedAttempts.get(attempt);
            const isKnown = this.assignments.has(attempt)
                || (endedAt !== undefined && now - endedAt < endedGraceMilliseconds);
            foreign += isKnown ? 0 : 1;
        }
        engine.foreignAttempts = foreign;
    }

    /**
     * Releases attempts that the engine no longer lists, because the message of an attempt's end may be lost. Without this the
     * slot would stay allocated until the deadline, and an engine that reports no attempts would get no work.
     */
    private releaseUnlisted(engine: TrackedEngine, now: number): void {
        const active = new Set(engine.report?.active ?? []);
        for (const attempt of engine.assignedAttempts) {
            const assignment = this.assignments.get(attempt);
            if (assignment === undefined) {
                continue;
            }
            assignment.listed ||= active.has(attempt);
            assignment.missedReports = active.has(attempt) || !assignment.listed ? 0 : assignment.missedReports + 1;
            if (assignment.missedReports >= maxMissedReports) {
                this.release(attempt, now);
            }
        }
    }
}

function isFinalStage(stage: Progress["stage"]): boolean {
    return stage === "finished" || stage === "cancelled" || stage === "failed";
}
