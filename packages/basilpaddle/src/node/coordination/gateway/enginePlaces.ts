import type { Announced, EngineRule, PlaceDecision, PlaceDemand, PlaceEnd } from "../../protocol/index.js";
import { fractionOf } from "../../utils/index.js";
import { type EnginePair, EnginePool, type PlaceTuning, type RoomiestEngine } from "./enginePool.js";
import { PlaceForecast } from "./placeForecast.js";
import type { UsualRequest } from "./stagePlan.js";
import { TurnAways } from "./turnAways.js";

/** Milliseconds between two looks at what waits. */
const reviewInterval = 25;
/**
 * Milliseconds for which a demand that doesn't fit may be overtaken everywhere. After that the roomiest engine is reserved for
 * it: small ones would take every bit of room that comes free, and large prompts starve. Only that engine: holding all
 * demands back until it fits leaves the room of the other engines empty. And only where it makes its target by that: see
 * `isWorthReserving`.
 */
const overtakenFor = 50;
/** Demands that don't fit, behind which others are looked at; it bounds the time of one look at a long queue. */
const lookahead = 6;
/** Milliseconds by which one rank of priority moves a demand in the order. */
const rankStep = 60;
/** Milliseconds by which the forecast must beat the caller's patience for a demand to wait on beyond its target. */
const patienceMargin = 250;
/** Milliseconds over which the times to come back of refused callers are spread, so that they make no second burst. */
const comeBackSpread = 700;
/**
 * Milliseconds that a demand waits where no engine is known: after a restart of every directory the engines' heartbeats
 * come in again within a second or so, and a caller sent away at once would spend its one retry before that.
 */
const unknownPoolPatience = 1_800;
/** Milliseconds after which a caller who found no engine at all should come back. */
const noEngineComeBack = 1_000;
/** Milliseconds after which a place is taken back whose gateway never told its end. */
const longestHold = 60_000;
/** Puts demands that can't make their target behind all that still can. */
const lateOffset = 1e9;

/** A demand that waits for its place. */
type Waiting = {
    readonly demand: PlaceDemand;
    readonly arrivedAt: number;
    readonly targetBy: number;
    readonly patienceBy: number;
    late: boolean;
    key: number;
};

/** What can be foreseen of a pool at one moment. */
type Outlook = {
    /** Tokens of KV cache that may be handed out in all. */
    readonly capacity: number;
    /** Milliseconds until a demand's first event, behind so many tokens that wait before it. */
    readonly firstEventIn: (demand: PlaceDemand, ahead: number) => number;
};

type Placement = EnginePair & {
    readonly demand: PlaceDemand;
    readonly placedAt: number;
    /** What its gateway is told of the time that the reading should take. */
    readonly readingWithin?: number;
    isRead: boolean;
};

/**
 * Places requests at the engines of one pool, and decides which wait and which are turned away. A pure step apart from
 * sockets and timers: the caller gives the time and carries decisions out.
 *
 * The load that it answers: decode places bind. A run holds thousands of tokens of KV cache for seconds, while its
 * prompt is read in a tenth of a second, and a prefill's result is kept for half a second only. So a prompt isn't read
 * before its run has a place at a decode engine, counted in tokens and in slots, and the wait for one is spent here,
 * where it can be taken back, rather than in an engine's queue. In a burst whatever can still make its target goes
 * first, in the order of targets; what can't waits behind while its caller is patient, since late is worth more than
 * never; what can't be served even so is refused at once with a time to come back.
 */
export class EnginePlaces {
    private readonly placements = new Map<string, Placement>();
    private readonly forecast = PlaceForecast.create();
    private readonly turnAways = TurnAways.create();
    private queue: Waiting[] = [];
    private reviewedAt = 0;

    private constructor(private readonly pool: EnginePool) {}

    static create(tuning: PlaceTuning): EnginePlaces {
        return new EnginePlaces(EnginePool.create(tuning));
    }

    /** Takes what is announced of the pool's engines, and the rule that they share. */
    setEngines(announced: readonly Announced[], rule: EngineRule): void {
        this.pool.setEngines(announced, rule);
    }

    /** Changes the part of each engine that may be handed out here. */
    setShare(share: number): void {
        this.pool.setShare(share);
    }

    /** Notes that an engine was ordered to change its stage; it gets no work until it has, or until the time. */
    orderedTo(engine: string, stage: Announced["stage"], until: number): void {
        this.pool.engine(engine)?.orderedTo(stage, until);
    }

    /** Asks for a place. Decisions, for this demand or for others, come from here and from `review`. */
    ask(demand: PlaceDemand, now: number): PlaceDecision[] {
        const held = this.placements.get(demand.attempt);
        if (held !== undefined) {
            return [decided(held)];
        }
        if (this.queue.some(waiting => waiting.demand.attempt === demand.attempt)) {
            return [];
        }
        const waiting: Waiting = {
            demand,
            arrivedAt: now,
            targetBy: now + demand.targetWithin,
            patienceBy: now + demand.patienceWithin,
            late: false,
            key: now + demand.targetWithin + demand.priority * rankStep - (demand.resumed ? lateOffset : 0),
        };
        this.enqueue(waiting);
        return [...this.dispatch(now), ...this.refuseArrived(waiting, now)];
    }

    /** Looks at all that waits; to be called every `reviewInterval` while something does. */
    review(now: number): PlaceDecision[] {
        if (now - this.reviewedAt < reviewInterval) {
            return [];
        }
        this.reviewedAt = now;
        for (const [attempt, placement] of this.placements) {
            if (now - placement.placedAt > longestHold) {
                this.free(attempt, now);
            }
        }
        return [...this.dispatch(now), ...this.sort(now)];
    }

    /** The caller has gone: the demand leaves the queue, or its place is free. */
    withdraw(attempt: string, now: number): PlaceDecision[] {
        this.queue = this.queue.filter(waiting => waiting.demand.attempt !== attempt);
        return this.release(attempt, {}, now);
    }

    /** The prompt has been read. */
    prefilled(attempt: string, now: number): void {
        const placement = this.placements.get(attempt);
        if (placement !== undefined && !placement.isRead) {
            placement.isRead = true;
            this.forecast.read(placement.readingTime, now - placement.placedAt);
            this.pool.engine(placement.prefill ?? placement.decode)?.prefilled(attempt, now);
        }
    }

    /** A run has ended, in one way or another. */
    release(attempt: string, end: PlaceEnd, now: number): PlaceDecision[] {
        const placement = this.free(attempt, now);
        if (end.failed !== undefined) {
            this.pool.engine(end.failed)?.failed(now);
        }
        else if (end.turnedAwayBy !== undefined) {
            const blamed = this.turnAways.blame(end.readBy, end.turnedAwayBy, now);
            this.pool.engine(blamed)?.turnedAway(now);
        }
        else if (placement !== undefined) {
            this.forecast.ended({
                readingTime: this.pool.readingWork(placement.demand.promptTokens),
                holdTime: now - placement.placedAt,
                cacheTokens: placement.demand.cacheTokens,
            });
            this.pool.engine(placement.decode)?.succeeded();
        }
        return this.dispatch(now);
    }

    /** Takes over places that were handed out before this instance began, and drops those that their gateway denies. */
    reconcile(
        gateway: string,
        held: readonly { readonly demand: PlaceDemand; readonly decode: string; }[],
        grace: number,
        now: number,
    ): PlaceDecision[] {
        const named = new Set(held.map(({ demand }) => demand.attempt));
        for (const [attempt, placement] of this.placements) {
            const stale = placement.demand.gateway === gateway && now - placement.placedAt > grace;
            if (stale && !named.has(attempt)) {
                this.free(attempt, now);
            }
        }
        for (const { demand, decode } of held) {
            if (!this.placements.has(demand.attempt)) {
                this.hold({ demand, prefill: undefined, decode, placedAt: now, readingTime: 0, isRead: true }, now);
            }
        }
        return this.dispatch(now);
    }

    /** Drops what a gateway held that is gone. */
    dropGateway(gateway: string, now: number): PlaceDecision[] {
        this.queue = this.queue.filter(waiting => waiting.demand.gateway !== gateway);
        return this.reconcile(gateway, [], 0, now);
    }

    /** Gateways that hold a place or wait for one. */
    gateways(): readonly string[] {
        const demands = [...this.placements.values(), ...this.queue].map(({ demand }) => demand.gateway);
        return [...new Set(demands)];
    }

    /** What a request takes of the pool on the mean, by the runs that ended here; undefined until there are enough. */
    usualRequest(): UsualRequest | undefined {
        return this.forecast.usualRequest();
    }

    /** What waits and what is held, for metrics and tests. */
    standing(): { readonly waiting: number; readonly held: number; readonly heldTokens: ReadonlyMap<string, number>; } {
        return {
            waiting: this.queue.length,
            held: this.placements.size,
            heldTokens: this.pool.heldTokens(),
        };
    }

    private enqueue(waiting: Waiting): void {
        const at = this.queue.findIndex(other => other.key > waiting.key);
        this.queue.splice(at < 0 ? this.queue.length : at, 0, waiting);
    }

    private dispatch(now: number): PlaceDecision[] {
        const decisions: PlaceDecision[] = [];
        const reserved = new Set<string>();
        let passed = 0;
        for (let position = 0; position < this.queue.length && passed < lookahead;) {
            const waiting = this.queue[position]!;
            const pair = this.pool.best(waiting.demand, now, reserved);
            if (pair === undefined) {
                this.reserveEngine(waiting, reserved, now);
                passed += 1;
                position += 1;
                continue;
            }
            this.queue.splice(position, 1);
            if (this.isTooLate(waiting, pair, now)) {
                this.putBehind(waiting);
                continue;
            }
            const readingWithin = Math.round(this.forecast.reading(pair.readingTime));
            const placement = { ...pair, demand: waiting.demand, placedAt: now, readingWithin, isRead: false };
            this.hold(placement, now);
            decisions.push(decided(placement));
        }
        return decisions;
    }

    /** Reserves an engine for a demand that has waited for room, where it can still make its target. */
    private reserveEngine(waiting: Waiting, reserved: Set<string>, now: number): void {
        if (waiting.late || now - waiting.arrivedAt < overtakenFor) {
            return;
        }
        const engine = this.pool.roomiest(waiting.demand, now, reserved);
        if (engine !== undefined && this.isWorthReserving(waiting, engine, now)) {
            reserved.add(engine.id);
        }
    }

    /**
     * Whether a demand will make its target once so much has come free at the engine. In a burst most large demands won't,
     * and the room reserved for them stands empty while small ones wait that would be in time.
     */
    private isWorthReserving({ demand, targetBy }: Waiting, engine: RoomiestEngine, now: number): boolean {
        const wait = this.forecast.wait(engine.missingTokens, engine.tokens);
        const reading = this.pool.readingForecast(now)(demand.promptTokens);
        return now + wait + this.forecast.firstEventAfter(reading) <= targetBy;
    }

    /**
     * Whether a demand would have its place and miss its target all the same, while others wait that need not miss
     * theirs. Without this a burst leaves a standing queue behind: each place goes to the demand whose time is just
     * running out, and answer after answer comes a little late though enough places are free.
     */
    private isTooLate(waiting: Waiting, pair: EnginePair, now: number): boolean {
        if (waiting.late || waiting.demand.resumed || this.queue.every(({ late }) => late)) {
            return false;
        }
        return now + this.forecast.firstEventAfter(pair.readingTime) > waiting.targetBy;
    }

    private putBehind(waiting: Waiting): void {
        waiting.late = true;
        waiting.key += lateOffset;
        this.enqueue(waiting);
    }

    /** Refuses a demand that has just come and can't be served at all. */
    private refuseArrived(arrived: Waiting, now: number): PlaceDecision[] {
        const position = this.queue.indexOf(arrived);
        if (position < 0) {
            return [];
        }
        const ahead = this.queue.slice(0, position).reduce((sum, { demand }) => sum + demand.cacheTokens, 0);
        const outlook = this.outlook(now);
        const firstEventIn = outlook.firstEventIn(arrived.demand, ahead);
        if (this.stays(arrived, firstEventIn, outlook.capacity, now)) {
            return [];
        }
        this.queue.splice(position, 1);
        return [this.refusal(arrived, firstEventIn, outlook.capacity, now)];
    }

    /** Puts what can't make its target any more behind the rest, and refuses what can't be served at all. */
    private sort(now: number): PlaceDecision[] {
        const refused: PlaceDecision[] = [];
        const kept: Waiting[] = [];
        const behind: Waiting[] = [];
        const outlook = this.outlook(now);
        let ahead = 0;
        for (const waiting of this.queue) {
            const { demand } = waiting;
            const firstEventIn = outlook.firstEventIn(demand, ahead);
            if (!this.stays(waiting, firstEventIn, outlook.capacity, now)) {
                refused.push(this.refusal(waiting, firstEventIn, outlook.capacity, now));
            }
            else if (!waiting.late && !demand.resumed && now + firstEventIn > waiting.targetBy) {
                behind.push(waiting);
            }
            else {
                kept.push(waiting);
                ahead += demand.cacheTokens;
            }
        }
        this.queue = kept;
        behind.forEach(waiting => this.putBehind(waiting));
        return refused;
    }

    /** What can be foreseen of the pool: computed once for all that waits, since a burst's queue has hundreds. */
    private outlook(now: number): Outlook {
        const free = this.pool.freeTokens(now);
        const capacity = this.pool.capacity(now);
        const reading = this.pool.readingForecast(now);
        const firstEventIn = (demand: PlaceDemand, ahead: number): number => {
            return this.forecast.wait(ahead + demand.cacheTokens - free, capacity)
                + this.forecast.firstEventAfter(reading(demand.promptTokens));
        };
        return { capacity, firstEventIn };
    }

    private stays(waiting: Waiting, firstEventIn: number, capacity: number, now: number): boolean {
        const hopes = capacity === 0 && now - waiting.arrivedAt < unknownPoolPatience;
        return waiting.demand.resumed || hopes || now + firstEventIn + patienceMargin <= waiting.patienceBy;
    }

    private refusal(waiting: Waiting, firstEventIn: number, capacity: number, now: number): PlaceDecision {
        const { demand } = waiting;
        const reason = capacity === 0
            ? "no engine is ready"
            : `the first event would come in ${Math.round(firstEventIn)} ms, after its caller's patience`;
        const over = Math.max(0, now + firstEventIn + patienceMargin - waiting.patienceBy);
        const comeBackIn = capacity === 0 ? noEngineComeBack : over + fractionOf(demand.attempt) * comeBackSpread;
        return { kind: "refused", attempt: demand.attempt, reason, comeBackIn };
    }

    private hold(placement: Placement, now: number): void {
        const { demand } = placement;
        this.placements.set(demand.attempt, placement);
        this.pool.hold(placement, demand, now);
    }

    private free(attempt: string, now: number): Placement | undefined {
        const placement = this.placements.get(attempt);
        if (placement !== undefined) {
            this.placements.delete(attempt);
            this.pool.release(placement, attempt, now);
        }
        return placement;
    }
}

function decided(placement: Placement): PlaceDecision {
    const { demand, prefill, decode, readingWithin } = placement;
    return { kind: "placed", attempt: demand.attempt, prefill, decode, readingWithin };
}
