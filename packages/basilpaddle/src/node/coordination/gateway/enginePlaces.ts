import type { Announced, EngineRule, PlaceDecision, PlaceDemand } from "../../protocol/index.js";
import { type EngineState, PlacedEngine } from "./placedEngine.js";
import { PlaceForecast } from "./placeForecast.js";

/** Tokens of one block of KV cache: memory goes by whole blocks. */
const blockTokens = 16;
/** Milliseconds between two looks at what waits. */
const reviewInterval = 25;
/**
 * Milliseconds by which a decode engine must be sooner than every prefill engine to read a prompt itself: meanwhile the
 * tokens of all its runs come slower. In a burst, prompts queue at the prefill engines for a second, as measured with 13
 * engines at 2.2 times the usual load; the decode engines' own reading takes the peak off.
 */
const selfReadReluctance = 200;
/** Milliseconds for which a demand that doesn't fit may be overtaken by smaller ones; longer, and large prompts would starve. */
const overtakenFor = 250;
/** Demands looked at behind one that doesn't fit. */
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

type Placement = {
    readonly demand: PlaceDemand;
    readonly prefill: string | undefined;
    readonly decode: string;
    readonly placedAt: number;
};

/** What steers the placing. */
export type PlaceTuning = {
    /** Part of an engine's KV cache that may be promised; what a run will need at its end is promised at its start. */
    readonly fill: number;
    /** Part of each engine that this instance may hand out: all of it where it alone decides. */
    readonly share: number;
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
    private readonly engines = new Map<string, PlacedEngine>();
    private readonly placements = new Map<string, Placement>();
    private readonly forecast = PlaceForecast.create();
    private queue: Waiting[] = [];
    private rule: EngineRule | undefined;
    private share: number;
    private reviewedAt = 0;

    private constructor(private readonly tuning: PlaceTuning) {
        this.share = tuning.share;
    }

    static create(tuning: PlaceTuning): EnginePlaces {
        return new EnginePlaces(tuning);
    }

    /** Takes what is announced of the pool's engines, and the rule that they share. */
    setEngines(announced: readonly Announced[], rule: EngineRule): void {
        this.rule = rule;
        const named = new Set(announced.map(engine => engine.id));
        for (const id of this.engines.keys()) {
            if (!named.has(id)) {
                this.engines.delete(id);
            }
        }
        for (const engine of announced) {
            const known = this.engines.get(engine.id);
            if (known === undefined) {
                this.engines.set(engine.id, PlacedEngine.create(engine));
            }
            else {
                known.announced = engine;
            }
        }
    }

    /** Changes the part of each engine that may be handed out here. */
    setShare(share: number): void {
        this.share = share;
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
        return this.dispatch(now, waiting);
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
        return this.dispatch(now, undefined);
    }

    /** The caller has gone: the demand leaves the queue, or its place is free. */
    withdraw(attempt: string, now: number): PlaceDecision[] {
        this.queue = this.queue.filter(waiting => waiting.demand.attempt !== attempt);
        return this.release(attempt, undefined, now);
    }

    /** The prompt has been read. */
    prefilled(attempt: string, now: number): void {
        const placement = this.placements.get(attempt);
        if (placement !== undefined) {
            this.engines.get(placement.prefill ?? placement.decode)?.prefilled(attempt, now);
        }
    }

    /** A run has ended; `failed` names the engine that failed it. */
    release(attempt: string, failed: string | undefined, now: number): PlaceDecision[] {
        const placement = this.free(attempt, now);
        if (failed !== undefined) {
            this.engines.get(failed)?.failed(now);
        }
        else if (placement !== undefined) {
            this.forecast.ended(now - placement.placedAt);
            this.engines.get(placement.decode)?.succeeded();
        }
        return this.dispatch(now, undefined);
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
                this.hold({ demand, prefill: undefined, decode, placedAt: now }, now);
            }
        }
        return this.dispatch(now, undefined);
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

    /** What waits and what is held, for metrics and tests. */
    standing(): { readonly waiting: number; readonly held: number; readonly heldTokens: ReadonlyMap<string, number>; } {
        return {
            waiting: this.queue.length,
            held: this.placements.size,
            heldTokens: new Map([...this.engines].map(([id, engine]) => [id, engine.tokens])),
        };
    }

    private enqueue(waiting: Waiting): void {
        const at = this.queue.findIndex(other => other.key > waiting.key);
        this.queue.splice(at < 0 ? this.queue.length : at, 0, waiting);
    }

    private dispatch(now: number, arrived: Waiting | undefined): PlaceDecision[] {
        const decisions: PlaceDecision[] = [];
        let passed = 0;
        for (let position = 0; position < this.queue.length && passed < lookahead;) {
            const waiting = this.queue[position]!;
            const placement = this.place(waiting.demand, now);
            if (placement === undefined) {
                // A small one may take room that the one before it can't use, but not for ever.
                if (now - waiting.arrivedAt > overtakenFor && !waiting.late) {
                    break;
                }
                passed += 1;
                position += 1;
                continue;
            }
            this.queue.splice(position, 1);
            this.hold(placement, now);
            decisions.push(decided(placement));
        }
        decisions.push(...this.sort(now, arrived));
        return decisions;
    }

    /** Puts what can't make its target any more behind the rest, and refuses what can't be served at all. */
    private sort(now: number, arrived: Waiting | undefined): PlaceDecision[] {
        const refused: PlaceDecision[] = [];
        let ahead = 0;
        const free = this.freeTokens(now);
        const capacity = this.capacity(now);
        for (const waiting of [...this.queue]) {
            const { demand } = waiting;
            ahead += demand.cacheTokens;
            const wait = this.forecast.wait(ahead - free, capacity);
            const firstEventIn = wait + this.forecast.beforeFirstEvent(demand);
            const hopes = capacity === 0 && now - waiting.arrivedAt < unknownPoolPatience;
            const stays = demand.resumed || hopes || now + firstEventIn + patienceMargin <= waiting.patienceBy;
            if (!stays) {
                this.queue.splice(this.queue.indexOf(waiting), 1);
                ahead -= demand.cacheTokens;
                refused.push(this.refusal(waiting, firstEventIn, capacity, now));
            }
            else if (!waiting.late && !demand.resumed && now + firstEventIn > waiting.targetBy && waiting !== arrived) {
                this.queue.splice(this.queue.indexOf(waiting), 1);
                ahead -= demand.cacheTokens;
                waiting.late = true;
                waiting.key += lateOffset;
                this.enqueue(waiting);
            }
        }
        return refused;
    }

    private refusal(waiting: Waiting, firstEventIn: number, capacity: number, now: number): PlaceDecision {
        const { demand } = waiting;
        const reason = capacity === 0
            ? "no engine is ready"
            : `the first event would come in ${Math.round(firstEventIn)} ms, after its caller's patience`;
        const over = Math.max(0, now + firstEventIn + patienceMargin - waiting.patienceBy);
        const comeBackIn = capacity === 0 ? noEngineComeBack : over + spread(demand.attempt);
        return { kind: "refused", attempt: demand.attempt, reason, comeBackIn };
    }

    private place(demand: PlaceDemand, now: number): Placement | undefined {
        let best: Placement | undefined;
        let bestScore = Number.POSITIVE_INFINITY;
        const state = this.state();
        const decodes = this.usable("decode", demand.avoid, now).filter(engine => engine.hasRoom(demand, state));
        if (decodes.length === 0) {
            return undefined;
        }
        // Without a sound one a decode engine reads the prompt; a prefill engine that just failed would fail it again.
        const prefills = this.sound("prefill", demand.avoid, now);
        for (const decode of decodes) {
            for (const prefill of prefills) {
                const reading = prefill.readyIn(now) + prefill.readingTime(demand.promptTokens);
                const score = reading + decode.crowding(state) + prefill.distance(decode);
                if (score < bestScore) {
                    bestScore = score;
                    best = { demand, prefill: prefill.id, decode: decode.id, placedAt: now };
                }
            }
            const own = decode.readsItselfIn(demand.promptTokens, now) + decode.crowding(state);
            const unaided = prefills.length === 0 ? 0 : selfReadReluctance;
            if (own + unaided < bestScore) {
                bestScore = own + unaided;
                best = { demand, prefill: undefined, decode: decode.id, placedAt: now };
            }
        }
        return best;
    }

    private usable(stage: Announced["stage"], avoid: readonly string[], now: number): PlacedEngine[] {
        const sound = this.sound(stage, avoid, now);
        return sound.length > 0
            ? sound
            : [...this.engines.values()].filter(({ announced }) => {
                return announced.stage === stage && announced.state === "ready";
            });
    }

    private sound(stage: Announced["stage"], avoid: readonly string[], now: number): PlacedEngine[] {
        return [...this.engines.values()].filter(engine => {
            return engine.announced.stage === stage && engine.takesWork(now) && !avoid.includes(engine.id);
        });
    }

    private hold(placement: Placement, now: number): void {
        const { demand } = placement;
        this.placements.set(demand.attempt, placement);
        this.engines.get(placement.decode)?.hold(demand.attempt, inBlocks(demand.cacheTokens));
        this.engines.get(placement.prefill ?? placement.decode)?.addPrefill(demand.attempt, demand.promptTokens, now);
    }

    private free(attempt: string, now: number): Placement | undefined {
        const placement = this.placements.get(attempt);
        if (placement !== undefined) {
            this.placements.delete(attempt);
            this.engines.get(placement.decode)?.release(attempt);
            this.engines.get(placement.prefill ?? placement.decode)?.dropPrefill(attempt, now);
        }
        return placement;
    }

    private state(): EngineState {
        const { cacheTokens = 0, slots = 0 } = this.rule ?? {};
        return {
            tokens: cacheTokens * this.tuning.fill * this.share,
            slots: Math.max(1, Math.floor(slots * this.share)),
        };
    }

    private capacity(now: number): number {
        return this.usable("decode", [], now).length * this.state().tokens;
    }

    private freeTokens(now: number): number {
        const state = this.state();
        return this.usable("decode", [], now).reduce(
            (sum, engine) => sum + Math.max(0, state.tokens - engine.tokens),
            0,
        );
    }
}

function decided(placement: Placement): PlaceDecision {
    const { demand, prefill, decode } = placement;
    return { kind: "placed", attempt: demand.attempt, prefill, decode };
}

function inBlocks(tokens: number): number {
    return Math.ceil(tokens / blockTokens) * blockTokens;
}

/** Spreads times to come back; the same attempt always gets the same. */
function spread(attempt: string): number {
    let sum = 0;
    for (let position = 0; position < attempt.length; position++) {
        sum = (sum * 31 + attempt.charCodeAt(position)) % comeBackSpread;
    }
    return sum;
}
