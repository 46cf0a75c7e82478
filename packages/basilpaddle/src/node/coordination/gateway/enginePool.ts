import type { Announced, EngineRule, PlaceDemand } from "../../protocol/index.js";
import { type EngineState, PlacedEngine, usualTokenTime } from "./placedEngine.js";

/** Tokens of one block of KV cache: memory goes by whole blocks. */
const blockTokens = 16;
/**
 * Milliseconds by which a decode engine must be sooner than every prefill engine to read a prompt itself: meanwhile the
 * tokens of all its runs come slower. In a burst, prompts queue at the prefill engines for a second, as measured with 13
 * engines at 2.2 times the usual load; the decode engines' own reading takes the peak off.
 */
const selfReadReluctance = 200;

/** What steers the placing. */
export type PlaceTuning = {
    /** Part of an engine's KV cache that may be promised; what a run will need at its end is promised at its start. */
    readonly fill: number;
    /** Part of each engine that this instance may hand out: all of it where it alone decides. */
    readonly share: number;
};

/** Engines for one request: where its prompt is read, undefined for the decode engine itself, and where its run is made. */
export type EnginePair = {
    readonly prefill: string | undefined;
    readonly decode: string;
    /** Milliseconds that the reading of the prompt should take there, from now on. */
    readonly readingTime: number;
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

    /** The best engines for a request; undefined where no decode engine has room for it. */
    best(demand: PlaceDemand, now: number): EnginePair | undefined {
        let best: EnginePair | undefined;
        let bestScore = Number.POSITIVE_INFINITY;
        const state = this.state();
        const decodes = this.usable("decode", demand.avoid, now).filter(engine => engine.hasRoom(demand, state));
        if (decodes.length === 0) {
            return undefined;
        }
        // Without a sound one a decode engine reads the prompt; a prefill engine that just failed would fail it again.
        const prefills = this.sound("prefill", demand.avoid, now);
        const consider = (
            prefill: PlacedEngine | undefined,
            decode: PlacedEngine,
            time: number,
            worse: number,
        ): void => {
            const score = time + decode.crowding(state) + worse;
            if (score < bestScore) {
                bestScore = score;
                best = { prefill: prefill?.id, decode: decode.id, readingTime: time };
            }
        };
        for (const decode of decodes) {
            for (const prefill of prefills) {
                const time = prefill.readyIn(now) + prefill.readingTime(demand.promptTokens);
                consider(prefill, decode, time, prefill.distance(decode));
            }
            const unaided = prefills.length === 0 ? 0 : selfReadReluctance;
            consider(undefined, decode, decode.readsItselfIn(demand.promptTokens, now), unaided);
        }
        return best;
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

    /** Milliseconds to have a prompt read at the engine that is soonest ready for it. */
    leastReadingTime(promptTokens: number, now: number): number {
        const engines = [...this.engines.values()].filter(({ announced }) => announced.stage === "prefill");
        const times = engines.map(engine => engine.readyIn(now) + engine.readingTime(promptTokens));
        return times.length === 0 ? promptTokens * usualTokenTime : Math.min(...times);
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

    private state(): EngineState {
        const { cacheTokens = 0, slots = 0 } = this.rule ?? {};
        return {
            tokens: cacheTokens * this.tuning.fill * this.share,
            slots: Math.max(1, Math.floor(slots * this.share)),
        };
    }
}

function inBlocks(tokens: number): number {
    return Math.ceil(tokens / blockTokens) * blockTokens;
}
