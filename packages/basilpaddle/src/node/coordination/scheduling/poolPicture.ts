import { LRUCache } from "lru-cache";
import type { Demand, Holding, LoadReport, Progress } from "../../protocol/index.js";
import { Counter } from "./counter.js";
import { EnginePicture } from "./enginePicture.js";
import type { EngineEntry } from "./scheduler.js";

/** Ended attempts remembered, so that a late load report doesn't count them again. */
const endedLimit = 4_096;
/** Milliseconds for which a report may still list an attempt that has ended; one listed longer does hold its slot. */
const endedGrace = 3_000;
/** Reports in a row without a once reported attempt, after which its end must have got lost on the way. */
const missingReports = 3;

/** Engines handed out to one attempt. */
export type Assignment = {
    readonly demand: Demand;
    readonly prefill: string;
    decode: string;
    readonly assignedAt: number;
    /** When its answer must be whole; nothing is held for it after that. */
    readonly endsBy: number;
    stage: Progress["stage"] | "assigned";
    stageAt: number;
    tokens: number;
    /** Blocks of the prompt believed to be in the prefill engine's cache. */
    believedBlocks: number;
    /** Milliseconds that its transfer was expected to wait for the link. */
    linkWait: number;
    /** Whether the decode engine listed it, and how many reports have come without it since. */
    listed: boolean;
    missing: number;
};

/** What is believed of all engines of a pool and of the attempts that hold them. */
export class PoolPicture {
    readonly engines = new Map<string, EnginePicture>();
    readonly assignments = new Map<string, Assignment>();
    private readonly openByOrganisation = Counter.create();
    private readonly ended = new LRUCache<string, number>({ max: endedLimit });

    static create(): PoolPicture {
        return new PoolPicture();
    }

    /** Takes the engines of the view. A restarted engine holds nothing any more; so does one that is gone. */
    setEngines(entries: readonly EngineEntry[], now: number): void {
        const named = new Set<string>();
        for (const entry of entries) {
            named.add(entry.announcement.id);
            this.setEngine(entry, now);
        }
        for (const id of this.engines.keys()) {
            if (!named.has(id)) {
                this.dropEngine(id, now);
            }
        }
    }

    /** Hands engines out. */
    assign(
        demand: Demand,
        choice: { readonly prefill: EnginePicture; readonly decode: EnginePicture; readonly work: number; },
        now: number,
    ): Assignment {
        const assignment = this.hold(demand, choice.prefill.id, choice.decode.id, "assigned", now);
        choice.prefill.addWork(demand.attempt, choice.work, now);
        return assignment;
    }

    /** Takes over what was handed out before this picture began. */
    restore(holding: Holding, now: number): void {
        const { demand } = holding;
        if (this.assignments.has(demand.attempt) || this.ended.has(demand.attempt) || isEnd(holding.stage)) {
            return;
        }
        const assignment = this.hold(demand, holding.prefill, holding.decode, holding.stage, now);
        assignment.tokens = holding.tokens;
        const prefill = this.engines.get(holding.prefill);
        if (holding.stage === "prefilling" && prefill !== undefined) {
            prefill.addWork(demand.attempt, demand.promptTokens * prefill.tokenTime, now);
        }
        this.recountForeign(now);
    }

    /** Takes in how an attempt gets on. Gives the assignment as it was known, if any. */
    progress(progress: Progress, now: number): Assignment | undefined {
        const assignment = this.assignments.get(progress.attempt);
        if (assignment === undefined) {
            return undefined;
        }
        if (isEnd(progress.stage)) {
            this.release(progress.attempt, now);
            return assignment;
        }
        assignment.tokens = Math.max(assignment.tokens, progress.tokens);
        if (assignment.stage !== progress.stage) {
            assignment.stage = progress.stage;
            assignment.stageAt = now;
        }
        if (progress.stage !== "prefilling") {
            this.engines.get(assignment.prefill)?.endWork(progress.attempt, now);
        }
        return assignment;
    }

    /** Notes that an attempt holds a slot of another decode engine in place of its own. */
    move(assignment: Assignment, decode: EnginePicture): void {
        const { attempt } = assignment.demand;
        this.engines.get(assignment.decode)?.held.delete(attempt);
        decode.held.add(attempt);
        assignment.decode = decode.id;
        assignment.listed = false;
        assignment.missing = 0;
    }

    /** Frees what an attempt holds. */
    release(attempt: string, now: number): boolean {
        const known = this.forget(attempt, now);
        if (known) {
            this.ended.set(attempt, now);
        }
        return known;
    }

    private forget(attempt: string, now: number): boolean {
        const assignment = this.assignments.get(attempt);
        if (assignment === undefined) {
            return false;
        }
        this.assignments.delete(attempt);
        this.openByOrganisation.remove(assignment.demand.organisation);
        this.engines.get(assignment.prefill)?.endWork(attempt, now);
        this.engines.get(assignment.decode)?.held.delete(attempt);
        return true;
    }

    /** Takes in a load report, and frees attempts whose end got lost on the way. Gives the engine if the report was new. */
    load(report: LoadReport, now: number): EnginePicture | undefined {
        const engine = this.engines.get(report.id);
        if (engine === undefined || !engine.take(report, now)) {
            return undefined;
        }
        this.countForeign(engine, now);
        this.freeMissing(engine, now);
        return engine;
    }

    /** Forgets assignments whose owner can't tell their end any more. What engines go on listing of them counts as foreign. */
    releaseWhere(gone: (assignment: Assignment) => boolean, now: number): void {
        let found = false;
        for (const [attempt, assignment] of this.assignments) {
            if (gone(assignment)) {
                this.forget(attempt, now);
                found = true;
            }
        }
        if (found) {
            this.recountForeign(now);
        }
    }

    /** Attempts held, by engine. */
    held(): ReadonlyMap<string, number> {
        return new Map([...this.engines.values()].map(engine => [engine.id, engine.held.size]));
    }

    /** Attempts of an organisation that hold engines. */
    openOf(organisation: string): number {
        return this.openByOrganisation.of(organisation);
    }

    private hold(
        demand: Demand,
        prefill: string,
        decode: string,
        stage: Assignment["stage"],
        now: number,
    ): Assignment {
        const assignment: Assignment = {
            demand,
            prefill,
            decode,
            assignedAt: now,
            endsBy: now + demand.deadlineWithin,
            stage,
            stageAt: now,
            tokens: 0,
            believedBlocks: 0,
            linkWait: 0,
            listed: false,
            missing: 0,
        };
        this.assignments.set(demand.attempt, assignment);
        this.openByOrganisation.add(demand.organisation);
        this.engines.get(decode)?.held.add(demand.attempt);
        return assignment;
    }

    private setEngine(entry: EngineEntry, now: number): void {
        const { id, incarnation } = entry.announcement;
        const known = this.engines.get(id);
        if (known !== undefined && known.announcement.incarnation > incarnation) {
            return;
        }
        if (known !== undefined && known.announcement.incarnation === incarnation && entry.state !== "gone") {
            known.announcement = entry.announcement;
            known.state = entry.state;
            return;
        }
        this.dropEngine(id, now);
        this.engines.set(id, EnginePicture.create(entry));
    }

    private dropEngine(id: string, now: number): void {
        if (this.engines.delete(id)) {
            this.releaseWhere(assignment => assignment.decode === id, now);
        }
    }

    private recountForeign(now: number): void {
        for (const engine of this.engines.values()) {
            this.countForeign(engine, now);
        }
    }

    private countForeign(engine: EnginePicture, now: number): void {
        let foreign = 0;
        for (const attempt of engine.report?.active ?? []) {
            const endedAt = this.ended.get(attempt);
            const ours = this.assignments.has(attempt) || (endedAt !== undefined && now - endedAt < endedGrace);
            foreign += ours ? 0 : 1;
        }
        engine.foreign = foreign;
    }

    /**
     * Word of an attempt's end travels unconfirmed. Without this a lost one would hold its slot until the deadline,
     * seen as an engine that reports itself idle and gets no work.
     */
    private freeMissing(engine: EnginePicture, now: number): void {
        const active = new Set(engine.report?.active ?? []);
        for (const attempt of engine.held) {
            const assignment = this.assignments.get(attempt);
            if (assignment === undefined) {
                continue;
            }
            assignment.listed ||= active.has(attempt);
            assignment.missing = active.has(attempt) || !assignment.listed ? 0 : assignment.missing + 1;
            if (assignment.missing >= missingReports) {
                this.release(attempt, now);
            }
        }
    }
}

function isEnd(stage: Progress["stage"]): boolean {
    return stage === "finished" || stage === "cancelled" || stage === "failed";
}
