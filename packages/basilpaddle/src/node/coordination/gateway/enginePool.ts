import type { Announced, EngineRule, PlaceDemand } from "../../protocol/index.js";
import { fractionOf } from "../../utils/index.js";
import { stallRateOf } from "./linkQuality.js";
import { type EngineState, PlacedEngine, usualTokenTime } from "./placedEngine.js";

/** Tokens of one block of KV cache: memory goes by whole blocks. */
const blockTokens = 16;
/**
 * Milliseconds by which a decode engine must be sooner than every prefill engine to read a prompt itself: meanwhile the
 * tokens of all its runs come slower. In a burst, prompts queue at the prefill engines for a second; the decode
 * engines' own reading takes the peak off.
 */
const selfReadReluctance = 200;

/**
 * Milliseconds that an engine counts worse whose streams are all late for the link they come over: an answer that is
 * late is worth a fifth of one in time, about what waiting past the target would cost.
 */
const lateWeight = 600;
/** Events of an answer, each of which may stall; answers of 900 tokens in events of 11 or 13 have about as many. */
const answerEvents = 70;
/** Packets of a call that has a prompt read, and the milliseconds that a lost one costs. */
const callPackets = 4;
const stallTime = 250;

/** What steers the placing. */
export type PlaceTuning = {
    /** Part of an engine's KV cache that may be promised; what a run will need at its end is promised at its start. */
    readonly fill: number;
    /** Part of each engine that this instance may hand out: all of it where it alone decides. */
    readonly share: number;
    /**
     * Milliseconds by which engines are made to look worse at random, anew for each request. Gateways that place alone
     * all see idle engines: without it each of them takes the same ones first, and most are turned away. @default 0
     */
    readonly scatter?: number;
    /**
     * Milliseconds that an engine in another failure domain than the gateway counts worse. Gateways that place alone know
     * nothing of each other, and with it those of one domain would fill that domain's engines alone. @default 0
     */
    readonly farWeight?: number;
};

/**
 * How the leader places for all gateways. Far engines count half as much worse as full ones do, so that near ones fill up
 * only a little more: fewer streams cross a link when it begins to lose packets. A run is promised what it will hold at its
 * end, and holds half of its answer on the mean, so that a little more than all of the cache can be promised before runs are
 * preempted.
 */
export const placingForAll: PlaceTuning = { fill: 1.1, share: 1, farWeight: 30 };

/** How a gateway places alone, but for its share: what all of them promise together must fit, and their shares are uneven. */
export const placingAlone: Omit<PlaceTuning, "share"> = { fill: 0.9, scatter: 100 };

/** Engines for one request: where its prompt is read, undefined for the decode engine itself, and where its run is made. */
export type EnginePair = {
    readonly prefill: string | undefined;
    readonly decode: string;
    /** Milliseconds that the reading of the prompt should take there, from now on. */
    readonly readingTime: number;
};

/** The engine that will likely have room for a request first. */
export type RoomiestEngine = {
    readonly id: string;
    /** Tokens of KV cache that must come free there before the request fits, and those that may be handed out there in all. */
    readonly missingTokens: number;
    readonly tokens: number;
};

/** The engines of one pool with what was handed out at each, and the choice among them. */
export class EnginePool {
    private readonly engines = new Map<string, PlacedEngine>();
    private rule: EngineRule | undefined;
    private share: number;

    private constructor(private readonly tuning: PlaceTuning) {
        this.share = tuning.share;
    }

    static create(tuning: PlaceTuning): EnginePool {
        return new EnginePool(tuning);
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

    engine(id: string): PlacedEngine | undefined {
        return this.engines.get(id);
    }

    /** The best engines for a request; undefined where no decode engine has room for it, but for those reserved for others. */
    best(demand: PlaceDemand, now: number, reserved: ReadonlySet<string>): EnginePair | undefined {
        const state = this.state();
        const decodes = this.usable("decode", demand.avoid, now).filter(engine => {
            return engine.hasRoom(demand, state) && !reserved.has(engine.id);
        });
        if (decodes.length === 0) {
            return undefined;
        }
        // Without a sound one a decode engine reads the prompt; a prefill engine that just failed would fail it again.
        const readers = this.sound("prefill", demand.avoid, now).map(engine => {
            const time = engine.readIn(demand.promptTokens, now);
            const stall = stallRateOf(demand.linkStalls, engine.announced.failureDomain) * callPackets * stallTime;
            return { engine, time, score: time + stall + this.scatter(demand, engine) };
        });
        const runners = decodes.map(engine => {
            const { failureDomain } = engine.announced;
            const far = failureDomain === demand.failureDomain ? 0 : this.tuning.farWeight ?? 0;
            const late = lateWeight * lateRisk(stallRateOf(demand.linkStalls, failureDomain));
            const score = engine.crowding(state) + far + late + this.scatter(demand, engine);
            return { engine, time: 0, score };
        });
        const apart = bestApart(bestOfDomains(readers), bestOfDomains(runners));
        const alone = leastScore(runners.map(({ engine, score }) => {
            const time = engine.readsItselfIn(demand.promptTokens, now);
            return { engine, time, score: score + time + (readers.length === 0 ? 0 : selfReadReluctance) };
        }))!;
        return apart === undefined || alone.score < apart.score
            ? { prefill: undefined, decode: alone.engine.id, readingTime: alone.time }
            : apart.pair;
    }

    /** The decode engine that will likely have room for a request first, of those that aren't reserved for others. */
    roomiest(demand: PlaceDemand, now: number, reserved: ReadonlySet<string>): RoomiestEngine | undefined {
        const engines = this.usable("decode", demand.avoid, now).filter(engine => !reserved.has(engine.id));
        const engine = leastScore(engines.map(candidate => ({ engine: candidate, score: candidate.tokens })))?.engine;
        if (engine === undefined) {
            return undefined;
        }
        const { tokens } = this.state();
        return { id: engine.id, missingTokens: engine.tokens + demand.cacheTokens - tokens, tokens };
    }

    /** Notes what a request takes of its engines. */
    hold(pair: EnginePair, demand: PlaceDemand, now: number): void {
        this.engines.get(pair.decode)?.hold(demand.attempt, inBlocks(demand.cacheTokens));
        this.engines.get(pair.prefill ?? pair.decode)?.addPrefill(demand.attempt, demand.promptTokens, now);
    }

    /** Frees what a request took. */
    release(pair: EnginePair, attempt: string, now: number): void {
        this.engines.get(pair.decode)?.release(attempt);
        this.engines.get(pair.prefill ?? pair.decode)?.dropPrefill(attempt, now);
    }

    /** Forecasts for prompts of any length how soon they would be read, at the engine that is soonest ready. */
    readingForecast(now: number): (promptTokens: number) => number {
        const engines = [...this.engines.values()].filter(({ announced }) => announced.stage === "prefill");
        const soonest = leastScore(engines.map(engine => ({ engine, score: engine.readyIn(now) })));
        return soonest === undefined
            ? promptTokens => promptTokens * usualTokenTime
            : promptTokens => soonest.score + soonest.engine.readingTime(promptTokens);
    }

    /** Milliseconds of work that the reading of a prompt is for a prefill engine of the pool, on the mean of them. */
    readingWork(promptTokens: number): number {
        const readers = [...this.engines.values()].filter(({ announced }) => announced.stage === "prefill");
        const work = readers.reduce((sum, engine) => sum + engine.readingTime(promptTokens), 0);
        return readers.length === 0 ? promptTokens * usualTokenTime : work / readers.length;
    }

    /** Tokens of KV cache that may be handed out in all. */
    capacity(now: number): number {
        return this.usable("decode", [], now).length * this.state().tokens;
    }

    /** Tokens of KV cache that may still be handed out. */
    freeTokens(now: number): number {
        const state = this.state();
        return this.usable("decode", [], now).reduce(
            (sum, engine) => sum + Math.max(0, state.tokens - engine.tokens),
            0,
        );
    }

    /** Tokens handed out at each engine. */
    heldTokens(): ReadonlyMap<string, number> {
        return new Map([...this.engines].map(([id, engine]) => [id, engine.tokens]));
    }

    /**
     * Engines of a stage that may get work: sound ones, else those that failed of late or are to be avoided, else silent
     * ones. These are likely gone, but a directory that was cut off from them would say the same.
     */
    private usable(stage: Announced["stage"], avoid: readonly string[], now: number): PlacedEngine[] {
        const sound = this.sound(stage, avoid, now);
        return sound.length > 0 ? sound : this.inState(stage, "ready") ?? this.inState(stage, "silent") ?? [];
    }

    private inState(stage: Announced["stage"], state: Announced["state"]): PlacedEngine[] | undefined {
        const engines = [...this.engines.values()].filter(({ announced }) => {
            return announced.stage === stage && announced.state === state;
        });
        return engines.length > 0 ? engines : undefined;
    }

    private sound(stage: Announced["stage"], avoid: readonly string[], now: number): PlacedEngine[] {
        return [...this.engines.values()].filter(engine => {
            return engine.announced.stage === stage && engine.takesWork(now) && !avoid.includes(engine.id);
        });
    }

    private scatter(demand: PlaceDemand, engine: PlacedEngine): number {
        const { scatter = 0 } = this.tuning;
        return scatter === 0 ? 0 : scatter * fractionOf(demand.attempt + engine.id);
    }

    private state(): EngineState {
        const { cacheTokens = 0, slots = 0 } = this.rule ?? {};
        return {
            tokens: cacheTokens * this.tuning.fill * this.share,
            slots: Math.max(1, Math.floor(slots * this.share)),
        };
    }
}

/** How likely an answer is late, where each of its events stalls at the rate. */
function lateRisk(stallRate: number): number {
    return 1 - (1 - stallRate) ** answerEvents;
}

type Scored = { readonly engine: PlacedEngine; readonly score: number; };
type Candidate = Scored & { readonly time: number; };

function leastScore<T extends Scored>(candidates: readonly T[]): T | undefined {
    let least: T | undefined;
    for (const candidate of candidates) {
        if (least === undefined || candidate.score < least.score) {
            least = candidate;
        }
    }
    return least;
}

/**
 * The best candidate of each failure domain. Only these can be part of the best pair, since engines of one domain are
 * equally far from any other. Comparing each engine with each took the leader of 78 engines its whole processor in a
 * burst, and with it the leadership.
 */
function bestOfDomains(candidates: readonly Candidate[]): readonly Candidate[] {
    const best = new Map<string, Candidate>();
    for (const candidate of candidates) {
        const { failureDomain } = candidate.engine.announced;
        const known = best.get(failureDomain);
        if (known === undefined || candidate.score < known.score) {
            best.set(failureDomain, candidate);
        }
    }
    return [...best.values()];
}

function bestApart(
    readers: readonly Candidate[],
    runners: readonly Candidate[],
): { readonly pair: EnginePair; readonly score: number; } | undefined {
    let best: { readonly pair: EnginePair; readonly score: number; } | undefined;
    for (const runner of runners) {
        for (const reader of readers) {
            const score = runner.score + reader.score + reader.engine.distance(runner.engine);
            if (best === undefined || score < best.score) {
                const pair = { prefill: reader.engine.id, decode: runner.engine.id, readingTime: reader.time };
                best = { pair, score };
            }
        }
    }
    return best;
}

function inBlocks(tokens: number): number {
    return Math.ceil(tokens / blockTokens) * blockTokens;
}
