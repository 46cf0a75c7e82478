import type { Decision, Demand, Holding, Progress } from "../../protocol/index.js";
import { Admission } from "./admission.js";
import { AdmissionForecast } from "./admissionForecast.js";
import { DemandQueue, type WaitingDemand } from "./demandQueue.js";
import { DisplacedAttempts } from "./displacedAttempts.js";
import { type EngineChoice, EngineChooser } from "./engineChoice.js";
import type { EnginePicture } from "./enginePicture.js";
import { OrganisationShares } from "./organisationShares.js";
import { type Assignment, PoolPicture } from "./poolPicture.js";
import { PrefixIndex } from "./prefixIndex.js";
import { Roster } from "./roster.js";
import { type PoolRules, Scheduler, type SchedulerEvent } from "./scheduler.js";
import { TransferTimes } from "./transferTimes.js";
import { type Tuning, usualTuning } from "./tuning.js";

/** Milliseconds between two ticks while demands wait. */
const tickInterval = 20;
/** Milliseconds between two ticks while attempts hold engines. */
const idleTickInterval = 1_000;
/** Milliseconds after a stall in which nothing is handed out: what others took meanwhile has arrived, and is taken in first. */
const settlingTime = 30;
/** Demands behind one that can't start that are looked at for engines that it can't use. */
const lookahead = 32;

/** The scheduler of one pool: reserves prefill, link and decode together, and starts a prefill when a decode slot is free for its result. */
export class PoolScheduler extends Scheduler {
    private readonly picture = PoolPicture.create();
    private readonly queue = DemandQueue.create();
    private readonly prefixes = PrefixIndex.create();
    private readonly transfers = TransferTimes.create();
    private readonly forecast = AdmissionForecast.create();
    private readonly roster = Roster.create(this.picture);
    private readonly displaced = DisplacedAttempts.create();
    private readonly shares: OrganisationShares;
    private readonly chooser: EngineChooser;
    private readonly admission: Admission;
    private rules: PoolRules | undefined;
    private lastTick = 0;
    private settledAt = -Infinity;

    private constructor(private readonly fence: number, private warm: boolean, private readonly tuning: Tuning) {
        super();
        this.shares = OrganisationShares.create(tuning.mostLag);
        const { picture, prefixes, transfers } = this;
        this.chooser = EngineChooser.create({ prefixes, transfers, tuning });
        this.admission = Admission.create({
            picture,
            queue: this.queue,
            roster: this.roster,
            forecast: this.forecast,
            chooser: this.chooser,
            transfers,
            shares: this.shares,
            tuning,
        });
    }

    /** `warm`: whether nothing can have been handed out before; otherwise only engines that have reported their load are used until the event `warm`. */
    static create(options: {
        readonly fence: number;
        readonly warm: boolean;
        readonly tuning?: Tuning;
    }): PoolScheduler {
        return new PoolScheduler(options.fence, options.warm, options.tuning ?? usualTuning);
    }

    override step(event: SchedulerEvent, now: number): readonly Decision[] {
        const decisions = this.takeIn(event, now);
        if (mayFreeEngines(event) && now >= this.settledAt) {
            this.dispatch(decisions, now);
        }
        return decisions;
    }

    override move(holding: Holding, now: number): string | undefined {
        const { demand } = holding;
        this.queue.remove(demand.attempt);
        this.picture.restore(holding, now);
        const assignment = this.picture.assignments.get(demand.attempt);
        const prefill = this.picture.engines.get(holding.prefill);
        if (assignment === undefined || prefill === undefined) {
            return undefined;
        }
        if (assignment.decode !== holding.decode) {
            // It was moved before, and the answer got lost.
            return assignment.decode;
        }
        this.picture.engines.get(holding.decode)?.provedFull(demand.attempt);
        const read = { prefill, work: 0, expectedReuse: 0, prefillAt: now };
        const choice = this.chooser.decode(demand, read, this.roster.crew(demand).decode, !this.warm, now);
        if (choice === undefined) {
            this.displaced.add(demand.attempt, now);
            return undefined;
        }
        this.displaced.remove(demand.attempt);
        this.picture.move(assignment, choice.decode);
        choice.decode.sent(now);
        return choice.decode.id;
    }

    override wakeAt(): number | undefined {
        if (this.queue.size > 0) {
            return this.lastTick + tickInterval;
        }
        return this.picture.assignments.size > 0 ? this.lastTick + idleTickInterval : undefined;
    }

    override standing(): ReturnType<Scheduler["standing"]> {
        return { held: this.picture.held(), waiting: this.queue.size };
    }

    private takeIn(event: SchedulerEvent, now: number): Decision[] {
        switch (event.kind) {
            case "demand":
                return this.demand(event.demand, now);
            case "withdraw":
                if (this.queue.remove(event.attempt) === undefined) {
                    this.picture.release(event.attempt, now);
                }
                return [];
            case "progress":
                this.progress(event.progress, now);
                return [];
            case "load":
                this.load(event.report, now);
                return [];
            case "engines":
                this.setEngines(event.engines, now);
                return [];
            case "rules":
                this.rules = event.rules;
                return [];
            case "sessions":
                this.dropClosed(event.open, now);
                return [];
            case "holding":
                this.queue.remove(event.holding.demand.attempt);
                this.picture.restore(event.holding, now);
                return [];
            case "warm":
                this.warm = true;
                return [];
            case "stalled":
                this.settledAt = now + settlingTime;
                return [];
            case "tick":
                return this.tick(now);
        }
    }

    private demand(demand: Demand, now: number): Decision[] {
        if (this.queue.has(demand.attempt)) {
            return [];
        }
        const held = this.picture.assignments.get(demand.attempt);
        if (held !== undefined) {
            return [this.assigned(demand, held.prefill, held.decode, 0)];
        }
        const refusal = this.admission.admit(demand, this.rules, now);
        return refusal === undefined ? [] : [refusal];
    }

    private progress(progress: Progress, now: number): void {
        const before = this.picture.assignments.get(progress.attempt);
        if (before === undefined) {
            return;
        }
        this.displaced.remove(progress.attempt);
        this.learn(before, progress, now);
        this.picture.progress(progress, now);
        if (progress.failedEngine !== undefined) {
            this.picture.engines.get(progress.failedEngine)?.failed(now);
        }
    }

    private learn(assignment: Assignment, progress: Progress, now: number): void {
        const { demand } = assignment;
        if (progress.stage === "finished") {
            this.forecast.ended(assignment, now);
            return;
        }
        const prefill = this.picture.engines.get(assignment.prefill);
        const decode = this.picture.engines.get(assignment.decode);
        if (progress.stage === "prefilled") {
            prefill?.succeeded();
        }
        if (progress.stage === "transferred") {
            decode?.succeeded();
        }
        if (progress.stage === "prefilled" && progress.reusedTokens !== undefined && prefill !== undefined) {
            const believed = assignment.believedBlocks * demand.blockTokens;
            this.prefixes.reused(prefill.id, believed, progress.reusedTokens);
        }
        const alone = assignment.linkWait === 0 && assignment.stage === "prefilled";
        if (progress.stage === "transferred" && alone && prefill !== undefined && decode !== undefined) {
            this.transfers.seen(prefill, decode, demand.promptTokens, now - assignment.stageAt);
        }
    }

    private load(report: Extract<SchedulerEvent, { kind: "load"; }>["report"], now: number): void {
        const engine = this.picture.load(report, now);
        if (engine !== undefined && report.cache !== undefined) {
            this.prefixes.take(engine.id, report.cache);
        }
    }

    private setEngines(engines: Extract<SchedulerEvent, { kind: "engines"; }>["engines"], now: number): void {
        for (const { announcement, state } of engines) {
            const known = this.picture.engines.get(announcement.id);
            if (
                known !== undefined && (state === "gone" || announcement.incarnation > known.announcement.incarnation)
            ) {
                this.prefixes.forget(announcement.id);
            }
        }
        this.picture.setEngines(engines, now);
        this.roster.clear();
    }

    private dropClosed(open: Extract<SchedulerEvent, { kind: "sessions"; }>["open"], now: number): void {
        const names = new Set(open.map(session => `${session.daemon}/${session.incarnation}`));
        const closed = (demand: Demand): boolean => !names.has(`${demand.owner.daemon}/${demand.owner.incarnation}`);
        for (const { demand } of this.queue.all()) {
            if (closed(demand)) {
                this.queue.remove(demand.attempt);
            }
        }
        this.picture.releaseWhere(assignment => closed(assignment.demand), now);
    }

    private tick(now: number): Decision[] {
        this.lastTick = now;
        this.picture.releaseWhere(assignment => assignment.endsBy <= now, now);
        if (this.queue.size === 0) {
            this.shares.reset();
        }
        return this.admission.review(this.rules, now);
    }

    private dispatch(decisions: Decision[], now: number): void {
        const full = new Set<string>();
        let position = 0;
        for (let looked = 0; looked < lookahead; looked++) {
            const waiting = this.queue.at(position);
            if (waiting === undefined) {
                return;
            }
            const { demand } = waiting;
            const kind = `${demand.model}\n${demand.adapter ?? ""}\n${demand.version ?? ""}`;
            const choice = full.has(kind) ? undefined : this.choose(demand, now);
            if (choice === "full") {
                if (demand.avoid.length === 0) {
                    full.add(kind);
                }
            }
            if (choice === undefined || choice === "full" || choice === "wait") {
                position++;
                continue;
            }
            decisions.push(this.start(waiting, choice, now));
        }
    }

    private choose(demand: Demand, now: number): EngineChoice | "full" | "wait" {
        const crew = this.roster.crew(demand);
        const prefill = this.chooser.prefill(demand, crew.prefill, now);
        if (prefill === undefined || prefill.prefillAt - now > this.tuning.lead) {
            return "wait";
        }
        if (this.areSlotsOwed(crew.decode, now)) {
            return "full";
        }
        return this.chooser.decode(demand, prefill, crew.decode, !this.warm, now) ?? "full";
    }

    /** Whether all free slots are for attempts whose prompts were read and whose engines proved to be full. */
    private areSlotsOwed(decodes: readonly EnginePicture[], now: number): boolean {
        const owed = this.displaced.count(now);
        return owed > 0 && owed >= decodes.reduce((sum, engine) => sum + Math.max(0, engine.slots - engine.taken), 0);
    }

    private start(waiting: WaitingDemand, choice: EngineChoice, now: number): Decision {
        const { demand } = waiting;
        const { prefill, decode } = choice;
        this.queue.remove(demand.attempt);
        this.shares.served(waiting.shareStart);
        const assignment = this.picture.assign(demand, choice, now);
        assignment.believedBlocks = this.prefixes.matched(prefill.id, demand.prefixes);
        assignment.linkWait = Math.max(
            0,
            Math.max(prefill.linkFreeAt, decode.linkFreeAt) - choice.prefillAt - choice.work,
        );
        prefill.sent(now);
        decode.sent(now);
        prefill.linkFreeAt = choice.transferredAt;
        decode.linkFreeAt = choice.transferredAt;
        this.prefixes.sent(prefill.id, demand.prefixes);
        return this.assigned(demand, prefill.id, decode.id, choice.expectedReuse);
    }

    private assigned(demand: Demand, prefill: string, decode: string, expectedReuse: number): Decision {
        return { kind: "assigned", attempt: demand.attempt, prefill, decode, fence: this.fence, expectedReuse };
    }
}

/** A transfer that has ended and a first token free nothing; looking through the queue for them doubled the work of a request. */
function mayFreeEngines(event: SchedulerEvent): boolean {
    return event.kind !== "progress"
        || (event.progress.stage !== "transferred" && event.progress.stage !== "firstToken");
}
