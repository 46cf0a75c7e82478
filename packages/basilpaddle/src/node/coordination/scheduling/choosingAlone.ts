import type { Decision, Demand, Holding } from "../../protocol/index.js";
import type { Randomness } from "../../utils/index.js";
import type { EnginePicture } from "./enginePicture.js";
import { PoolPicture } from "./poolPicture.js";
import { refuse } from "./refusals.js";
import { Scheduler, type SchedulerEvent } from "./scheduler.js";

/** Milliseconds after which a caller who found no engine should come back. */
const noEngineRetry = 1_000;
const fullRetry = 500;
/** Milliseconds for which a report tells enough for a demand that can't be tried again once it proves to be wrong. */
const freshFor = 500;
/** Part of the time to the first token's target for which a demand may wait for a slot. */
const waitingPart = 0.5;
/** Part of the time to the first token's target that a daemon's part of the prefill engines may be busy with its prompts. */
const prefillPart = 0.35;

type Waiting = { readonly demand: Demand; readonly until: number; };

/** One entry daemon that chooses for its own attempts: the less loaded of two engines drawn at random, corrected by what it handed out since their last report. */
export class ChoosingAlone extends Scheduler {
    private readonly picture = PoolPicture.create();
    private readonly waiting = new Map<string, Waiting>();
    private sessions = 1;

    private constructor(private readonly randomness: Randomness, private readonly divided: boolean) {
        super();
    }

    /** `divided`: takes no more of the slots and of the prefill engines' time than its part among all open sessions. */
    static create(options: { readonly randomness: Randomness; readonly divided: boolean; }): ChoosingAlone {
        return new ChoosingAlone(options.randomness, options.divided);
    }

    override step(event: SchedulerEvent, now: number): readonly Decision[] {
        const decisions = this.takeIn(event, now);
        for (const { demand } of this.waiting.values()) {
            const choice = this.choose(demand, now);
            if (choice === "full") {
                break;
            }
            this.waiting.delete(demand.attempt);
            decisions.push(choice);
        }
        return decisions;
    }

    override move(holding: Holding, now: number): string | undefined {
        const { demand } = holding;
        this.picture.restore(holding, now);
        const assignment = this.picture.assignments.get(demand.attempt);
        if (assignment === undefined) {
            return undefined;
        }
        this.picture.engines.get(holding.decode)?.provedFull(demand.attempt);
        const free = this.serving(demand, "decode", now).filter(engine => engine.taken < engine.slots);
        const decode = this.lessLoaded(free, engine => engine.taken / engine.slots);
        if (decode !== undefined) {
            this.picture.move(assignment, decode);
        }
        return decode?.id;
    }

    override wakeAt(): number | undefined {
        let first = Infinity;
        for (const assignment of this.picture.assignments.values()) {
            first = Math.min(first, assignment.endsBy);
        }
        for (const { until } of this.waiting.values()) {
            first = Math.min(first, until);
        }
        return first === Infinity ? undefined : first;
    }

    override standing(): ReturnType<Scheduler["standing"]> {
        return { held: this.picture.held(), waiting: this.waiting.size };
    }

    private takeIn(event: SchedulerEvent, now: number): Decision[] {
        switch (event.kind) {
            case "demand":
                return this.demand(event.demand, now);
            case "withdraw":
                this.waiting.delete(event.attempt);
                this.picture.release(event.attempt, now);
                return [];
            case "progress":
                this.picture.progress(event.progress, now);
                return [];
            case "load":
                this.picture.load(event.report, now);
                return [];
            case "engines":
                this.picture.setEngines(event.engines, now);
                return [];
            case "sessions":
                this.sessions = Math.max(1, event.open.length);
                return [];
            case "holding":
                this.picture.restore(event.holding, now);
                return [];
            case "tick":
                this.picture.releaseWhere(assignment => assignment.endsBy <= now, now);
                return this.expire(now);
            case "rules":
            case "warm":
            case "stalled":
                return [];
        }
    }

    private demand(demand: Demand, now: number): Decision[] {
        const choice = this.choose(demand, now);
        if (choice !== "full") {
            return [choice];
        }
        if (this.waiting.size >= this.mostWaiting(demand, now)) {
            return [full(demand)];
        }
        this.waiting.set(demand.attempt, { demand, until: now + waitingPart * demand.firstTokenWithin });
        return [];
    }

    private expire(now: number): Decision[] {
        const expired = [...this.waiting.values()].filter(({ until }) => until <= now);
        expired.forEach(({ demand }) => this.waiting.delete(demand.attempt));
        return expired.map(({ demand }) => full(demand));
    }

    private choose(demand: Demand, now: number): Decision | "full" {
        const prefills = this.serving(demand, "prefill", now);
        const decodes = this.serving(demand, "decode", now);
        if (prefills.length === 0 || decodes.length === 0) {
            const role = prefills.length === 0 ? "prefill" : "decode";
            const message = `pool ${demand.pool} has no ready ${role} engine for ${demand.model}`;
            return refuse(demand, "noBackend", message, noEngineRetry);
        }
        const known = demand.once ? decodes.filter(engine => now - engine.reportedAt <= freshFor) : decodes;
        const free = known.filter(engine => engine.taken < engine.slots && engine.held.size < this.part(engine));
        if (demand.once && this.mayBeTaken(known, decodes.length)) {
            return "full";
        }
        if (this.exceedsPrefillPart(demand, prefills, now)) {
            return "full";
        }
        const decode = this.lessLoaded(free, engine => engine.taken / engine.slots);
        const prefill = this.lessLoaded(prefills, engine => backlog(engine));
        if (decode === undefined || prefill === undefined) {
            return "full";
        }
        this.picture.assign(demand, { prefill, decode, work: demand.promptTokens * prefill.tokenTime }, now);
        const { attempt } = demand;
        return { kind: "assigned", attempt, prefill: prefill.id, decode: decode.id, fence: 0, expectedReuse: 0 };
    }

    /**
     * Whether the slots that look free at some engines are so few that the other daemons, one request each over all engines, may
     * take them.
     */
    private mayBeTaken(known: readonly EnginePicture[], engines: number): boolean {
        const free = known.reduce((sum, engine) => sum + Math.max(0, engine.slots - engine.taken), 0);
        return this.divided && free < this.sessions * known.length / engines;
    }

    /**
     * A pool's queue falls back to the daemons at once, and their slots together take dozens of prompts. Without this
     * they fill the prefill engines for longer than the target, seen as a time in which every first token is late.
     */
    private exceedsPrefillPart(demand: Demand, prefills: readonly EnginePicture[], now: number): boolean {
        const handedOut = prefills.reduce((sum, engine) => sum + engine.readyAt(now) - now, 0);
        if (!this.divided || handedOut === 0) {
            return false;
        }
        const work = demand.promptTokens * prefills[0]!.tokenTime;
        const part = prefillPart * demand.firstTokenWithin * prefills.length / this.sessions;
        return handedOut + work > part;
    }

    private mostWaiting(demand: Demand, now: number): number {
        // No more than this daemon's slots hold at once: each of those frees a slot within one answer.
        return this.serving(demand, "decode", now).reduce((sum, engine) => sum + this.part(engine), 0);
    }

    private serving(demand: Demand, role: "prefill" | "decode", now: number): EnginePicture[] {
        return [...this.picture.engines.values()].filter(engine =>
            engine.announcement.role === role
            && engine.takesWork(demand.avoid, now)
            && engine.carries(demand.model, demand.adapter, demand.version)
        );
    }

    private part(engine: EnginePicture): number {
        return this.divided ? Math.max(1, Math.floor(engine.slots / this.sessions)) : engine.slots;
    }

    private lessLoaded(
        engines: readonly EnginePicture[],
        load: (engine: EnginePicture) => number,
    ): EnginePicture | undefined {
        if (engines.length === 0) {
            return undefined;
        }
        const one = engines[this.randomness.integer(0, engines.length - 1)]!;
        const other = engines[this.randomness.integer(0, engines.length - 1)]!;
        return load(one) <= load(other) ? one : other;
    }
}

function full(demand: Demand): Decision {
    return refuse(demand, "poolFull", `pool ${demand.pool} has no free engines for this daemon`, fullRetry);
}

function backlog(engine: EnginePicture): number {
    return (engine.report?.queuedTokens ?? 0) * engine.tokenTime + engine.unreportedWork;
}
