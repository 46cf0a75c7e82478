import type { EngineRule, PlacementRequest, RunWriting, ServerAnnouncement } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import { CompletionScore, defaultPrefillMillisecondsPerToken, type EngineScore } from "../cost/index.js";
import { bestPerGroup, bestSeparatePair, type EnginePair, lowestScore } from "./engineCandidates.js";
import { type EngineCapacity, EngineLoad } from "./engineLoad.js";
import { stallRateOf } from "./linkQuality.js";
import { UnevenEngines } from "./unevenEngines.js";

export type { EnginePair } from "./engineCandidates.js";

/** Tokens of one block of KV cache: engines allocate whole blocks. */
const blockTokens = 16;
/**
 * How much earlier than every prefill engine a decode engine must complete a prefill to run it itself, since the prefill
 * slows the tokens of all its runs. In a burst, prompts queue at the prefill engines for a second; prefills on decode
 * engines reduce that peak.
 */
const decodePrefillPenaltyMilliseconds = 200;

/**
 * Score penalty of an engine whose streams are all late because of the link. A late answer is worth a fifth of one in time,
 * so this is about as costly as waiting past the target.
 */
const lateAnswerPenaltyMilliseconds = 600;
/** Events of an answer, each of which may stall: an answer of 900 tokens in events of 11 or 13 tokens has about this many. */
const eventsPerAnswer = 70;
/** Packets of a prefill call, and the delay that a lost one causes. */
const packetsPerCall = 4;
const lostPacketDelayMilliseconds = 250;

/** Parameters of placement. */
export type PlacementTuning = {
    /** Fraction of an engine's KV cache that may be allocated; a run is allocated at its start what it needs at its end. */
    readonly fill: number;
    /** Fraction of each engine that this instance may allocate: 1 if no other instance places requests. */
    readonly share: number;
    /**
     * Maximum random score penalty in milliseconds for each pair of request and engine. To gateways that place locally all
     * engines appear idle: without the penalty they choose the same ones first, and most runs are rejected. @default 0
     */
    readonly scatter?: number;
    /**
     * Score penalty in milliseconds of an engine in another failure domain than the gateway. It isn't used for local
     * placement: gateways don't know each other's local placements, and those of one domain would fill only its engines.
     * @default 0
     */
    readonly farWeight?: number;
    /**
     * Score of decode engines whose speeds differ much. It isn't used for local placement: a gateway doesn't know how many
     * runs of others an engine has, and takes a loaded engine for a slow one. @default the speeds have no effect
     */
    readonly unevenScore?: EngineScore;
};

/**
 * Tuning of a leader, which places the requests of all gateways. The penalty of an engine in another domain is half of the
 * penalty of a full one. Engines in the gateway's domain are therefore filled only slightly more than others, but fewer
 * streams cross a link when it begins to lose packets. A run is allocated the cache that it needs at its end; on average it
 * uses only half of the part for its answer, so slightly more than the whole cache can be allocated without preemptions.
 */
export const leaderPlacementTuning: PlacementTuning = { fill: 1.1, share: 1, farWeight: 30 };

/** Tuning of a leader that also takes the observed speeds of engines into account, where they differ much. */
export const speedPlacementTuning: PlacementTuning = {
    ...leaderPlacementTuning,
    unevenScore: CompletionScore.create(),
};

/**
 * Tuning of local placement by a gateway, without its share. It leaves a margin, since the allocations of all gateways
 * together must fit the engines and the gateways use their shares unevenly.
 */
export const localPlacementTuning: Omit<PlacementTuning, "share"> = { fill: 0.9, scatter: 100 };

/** The decode engine that is expected to be the first with room for a request. */
export type LeastLoadedEngine = {
    readonly id: string;
    /**
     * Tokens of KV cache that must be freed before the request fits, and those that may be allocated in total; among engines
     * of uneven speed, those that an engine of mean speed would free in the same time.
     */
    readonly missingTokens: number;
    readonly capacityTokens: number;
};

/** Tracks the load of one pool's engines and selects engines for requests. */
export class EnginePool {
    private readonly engines = new Map<string, EngineLoad>();
    private readonly uneven: UnevenEngines;
    private rule: EngineRule | undefined;
    private share: number;
    private boundsPrefillBacklog = false;

    private constructor(
        private readonly tuning: PlacementTuning,
        private readonly limitOf: (engine: string) => number | undefined,
    ) {
        this.share = tuning.share;
        this.uneven = UnevenEngines.create(tuning.unevenScore);
    }

    /** `limitOf`: requests per second that an engine takes from all gateways; undefined if it names no limit. */
    static create(
        tuning: PlacementTuning,
        limitOf: (engine: string) => number | undefined = () => undefined,
    ): EnginePool {
        return new EnginePool(tuning, limitOf);
    }

    /** Replaces the announcements of the pool's engines and the rule that applies to all of them; returns the engines that are new. */
    setEngines(announced: readonly ServerAnnouncement[], rule: EngineRule): readonly string[] {
        this.rule = rule;
        const added: string[] = [];
        const announcedIds = new Set(announced.map(engine => engine.id));
        for (const id of this.engines.keys()) {
            if (!announcedIds.has(id)) {
                this.engines.delete(id);
            }
        }
        this.uneven.retain(announcedIds);
        for (const engine of announced) {
            const known = this.engines.get(engine.id);
            if (known === undefined) {
                this.engines.set(engine.id, EngineLoad.create(engine));
                added.push(engine.id);
            }
            else {
                known.announced = engine;
            }
        }
        return added;
    }

    /** Changes the fraction of each engine that this instance may allocate. */
    setShare(share: number): void {
        this.share = share;
    }

    /** Sets whether prompts wait to be placed rather than in a long queue of a prefill engine, which ignores priorities. */
    boundPrefillBacklog(isBounded: boolean): void {
        this.boundsPrefillBacklog = isBounded;
    }

    engine(id: string): EngineLoad | undefined {
        return this.engines.get(id);
    }

    /** The best engines for a request; undefined if no decode engine that isn't reserved for another request has room. */
    bestPair(request: PlacementRequest, now: number, reserved: ReadonlySet<string>): EnginePair | undefined {
        const capacity = this.engineCapacity();
        const speeds = this.uneven.effective(capacity.tokens, now);
        const usableDecodes = this.usable("decode", request, now);
        const decodes = usableDecodes.filter(engine => {
            return engine.hasRoom(request, capacity) && !reserved.has(engine.id) && this.isWithinLimit(engine, now)
                && (speeds === undefined || speeds.isFastEnough(engine, request));
        });
        if (decodes.length === 0) {
            return undefined;
        }
        // Without a healthy prefill engine a decode engine runs the prefill; a prefill engine that just failed would fail again.
        const healthyPrefills = this.healthyEngines("prefill", request, now);
        const prefills = healthyPrefills.filter(engine => this.isWithinLimit(engine, now)).map(engine => {
            const time = engine.prefillDelay(request.promptTokens, now);
            const stallDelay = stallRateOf(request.linkStalls, engine.announced.failureDomain) * packetsPerCall
                * lostPacketDelayMilliseconds;
            return { engine, time, score: time + stallDelay + this.randomPenalty(request, engine) };
        });
        const loadPenalties = speeds?.penalties(decodes, usableDecodes, request, now)
            ?? decodes.map(engine => engine.loadPenalty(capacity));
        const scoredDecodes = decodes.map((engine, position) => {
            const { failureDomain } = engine.announced;
            const domainPenalty = failureDomain === request.failureDomain ? 0 : this.tuning.farWeight ?? 0;
            const lateAnswerPenalty = lateAnswerPenaltyMilliseconds
                * lateProbability(stallRateOf(request.linkStalls, failureDomain));
            const score = loadPenalties[position]! + domainPenalty + lateAnswerPenalty
                + this.randomPenalty(request, engine);
            return { engine, time: 0, score };
        });
        const separatePair = bestSeparatePair(
            bestPerGroup(prefills.filter(({ engine }) => !this.boundsPrefillBacklog || engine.acceptsPrompt(now))),
            bestPerGroup(scoredDecodes),
        );
        const mayQueueAtDecode = prefills.length === 0 || !this.boundsPrefillBacklog;
        const combinedEngine = lowestScore(
            scoredDecodes.filter(({ engine }) => mayQueueAtDecode || engine.hasNoPrefills()).map(scored => {
                const time = scored.engine.decodePrefillDelay(request.promptTokens, now);
                const score = scored.score + time + (prefills.length === 0 ? 0 : decodePrefillPenaltyMilliseconds);
                return { engine: scored.engine, time, score };
            }),
        );
        return combinedEngine === undefined || separatePair !== undefined && separatePair.score <= combinedEngine.score
            ? separatePair?.pair
            : { prefill: undefined, decode: combinedEngine.engine.id, prefillTime: combinedEngine.time };
    }

    /** The decode engine with the fewest allocated tokens that isn't reserved for another request; undefined if there is none. */
    leastLoaded(request: PlacementRequest, now: number, reserved: ReadonlySet<string>): LeastLoadedEngine | undefined {
        const { tokens } = this.engineCapacity();
        const speeds = this.uneven.effective(tokens, now);
        const engines = this.usable("decode", request, now).filter(engine =>
            !reserved.has(engine.id) && (speeds === undefined || speeds.isFastEnough(engine, request))
        );
        const shareOf = (engine: EngineLoad): number => speeds?.shareOf(engine) ?? 1;
        // Of equal engines, the least loaded one is the first with room; a fast one frees as much in less time.
        const scoreOf = (engine: EngineLoad): number =>
            speeds === undefined
                ? engine.allocatedTokens
                : (engine.allocatedTokens + request.cacheTokens - tokens) / shareOf(engine);
        const engine = lowestScore(engines.map(candidate => ({ engine: candidate, score: scoreOf(candidate) })))
            ?.engine;
        if (engine === undefined) {
            return undefined;
        }
        return {
            id: engine.id,
            missingTokens: engine.allocatedTokens + request.cacheTokens - tokens,
            capacityTokens: tokens * shareOf(engine),
        };
    }

    /** Records the KV cache and the prefill of a request at its engines. */
    allocate(pair: EnginePair, request: PlacementRequest, now: number): void {
        this.allocateRun(pair.decode, request, now);
        this.engines.get(pair.prefill ?? pair.decode)?.addPrefill(request.attempt, request.promptTokens, now);
    }

    /** Records the writing of a run that is still allocated. Unknown engines and invalid values are ignored. */
    recordWriting(id: string | undefined, writing: RunWriting | undefined, now: number): void {
        const engine = this.engines.get(id ?? "");
        if (engine !== undefined && writing !== undefined) {
            this.uneven.recordWriting(engine, writing, now);
        }
    }

    /** Records a successful run. `answerEvents`: events of its complete answer, if they are known. */
    recordRun(decode: string, request: PlacementRequest, answerEvents: number | undefined): void {
        this.engines.get(decode)?.recordSuccess();
        if (answerEvents !== undefined) {
            this.uneven.recordAnswer(request, answerEvents);
        }
    }

    /** Records the KV cache of a request at its decode engine, since `now`. */
    allocateRun(decode: string, { attempt, cacheTokens, promptTokens }: PlacementRequest, now: number): void {
        const answerTokens = Math.max(0, cacheTokens - promptTokens);
        this.engines.get(decode)?.addRun(attempt, roundUpToBlocks(cacheTokens), answerTokens, now);
    }

    /** Records that a request is about to be sent to its engines, for those that name a limit. */
    recordSends({ prefill, decode }: EnginePair, now: number): void {
        for (const id of prefill === undefined ? [decode] : [prefill, decode]) {
            const limit = this.limitOf(id);
            if (limit !== undefined) {
                this.engines.get(id)?.recordSend(limit, now);
            }
        }
    }

    /** Frees the KV cache of a request and removes its prefill. */
    release(pair: EnginePair, attempt: string, now: number): void {
        this.engines.get(pair.decode)?.removeRun(attempt);
        this.engines.get(pair.prefill ?? pair.decode)?.removePrefill(attempt, now);
    }

    /** Returns a function from prompt tokens to expected milliseconds until the prefill, at the engine with the shortest queue. */
    prefillForecast(now: number): (promptTokens: number) => number {
        const engines = [...this.engines.values()].filter(({ announced }) => announced.stage === "prefill");
        const shortestQueue = lowestScore(engines.map(engine => ({ engine, score: engine.queueDelay(now) })));
        return shortestQueue === undefined
            ? promptTokens => promptTokens * defaultPrefillMillisecondsPerToken
            : promptTokens => shortestQueue.score + shortestQueue.engine.prefillTime(promptTokens);
    }

    /** Mean milliseconds of work of a prefill over the pool's prefill engines. */
    prefillWork(promptTokens: number): number {
        const prefills = [...this.engines.values()].filter(({ announced }) => announced.stage === "prefill");
        const totalWork = prefills.reduce((sum, engine) => sum + engine.prefillTime(promptTokens), 0);
        return prefills.length === 0 ? promptTokens * defaultPrefillMillisecondsPerToken : totalWork / prefills.length;
    }

    /** Prompt tokens that all prefill engines read in a millisecond; infinite if prompts don't wait for them to be placed. */
    prefillRate(now: number): number {
        const engines = this.boundsPrefillBacklog ? this.healthyEngines("prefill", anyRequest, now) : [];
        return engines.length === 0
            ? Number.POSITIVE_INFINITY
            : engines.reduce((sum, engine) => sum + engine.prefillRate(), 0);
    }

    /** Tokens of KV cache that may be allocated in total. */
    capacity(now: number): number {
        return this.usable("decode", anyRequest, now).length * this.engineCapacity().tokens;
    }

    /** Number of decode engines that may receive a request. */
    usableDecodeEngines(now: number): number {
        return this.usable("decode", anyRequest, now).length;
    }

    /** Whether no request can be placed because all decode engines that are known leave. */
    isAbandoned(): boolean {
        const decodes = [...this.engines.values()].filter(({ announced }) => announced.stage === "decode");
        return decodes.length > 0 && decodes.every(({ announced }) => announced.state === "draining");
    }

    /** Whether a decode engine of the software version is known that doesn't leave. */
    hasVersion(version: string): boolean {
        return [...this.engines.values()].some(({ announced, version: other }) => {
            return other === version && announced.stage === "decode" && announced.state !== "draining";
        });
    }

    /** Tokens of KV cache that may still be allocated. */
    freeTokens(now: number): number {
        const capacity = this.engineCapacity();
        return this.usable("decode", anyRequest, now).reduce(
            (sum, engine) => sum + Math.max(0, capacity.tokens - engine.allocatedTokens),
            0,
        );
    }

    /** Allocated tokens of KV cache by engine. */
    allocatedTokensByEngine(): ReadonlyMap<string, number> {
        return new Map([...this.engines].map(([id, engine]) => [id, engine.allocatedTokens]));
    }

    /**
     * Engines of a stage that may receive a request: healthy ones, else those that failed recently or should be avoided, else
     * silent ones. Silent engines have probably terminated, but they are reported as silent as well if a network partition
     * separates their directory from them.
     */
    private usable(stage: ServerAnnouncement["stage"], request: EngineConstraints, now: number): EngineLoad[] {
        const healthy = this.healthyEngines(stage, request, now);
        return healthy.length > 0
            ? healthy
            : this.enginesInState(stage, "ready", request) ?? this.enginesInState(stage, "silent", request) ?? [];
    }

    private enginesInState(
        stage: ServerAnnouncement["stage"],
        state: ServerAnnouncement["state"],
        request: EngineConstraints,
    ): EngineLoad[] | undefined {
        const engines = [...this.engines.values()].filter(engine => {
            const { announced } = engine;
            return announced.stage === stage && announced.state === state && mayRun(engine, request);
        });
        return engines.length > 0 ? engines : undefined;
    }

    private healthyEngines(
        stage: ServerAnnouncement["stage"],
        request: EngineConstraints,
        now: number,
    ): EngineLoad[] {
        return [...this.engines.values()].filter(engine => {
            return engine.announced.stage === stage && engine.acceptsWork(now) && mayRun(engine, request)
                && !request.avoid.includes(engine.id);
        });
    }

    private isWithinLimit(engine: EngineLoad, now: number): boolean {
        return this.limitOf(engine.id) === undefined || engine.isSendDue(now);
    }

    private randomPenalty(request: PlacementRequest, engine: EngineLoad): number {
        const { scatter = 0 } = this.tuning;
        return scatter === 0 ? 0 : scatter * hashToFraction(request.attempt + engine.id);
    }

    private engineCapacity(): EngineCapacity {
        const { cacheTokens = 0, slots = 0 } = this.rule ?? {};
        return {
            tokens: cacheTokens * this.tuning.fill * this.share,
            slots: Math.max(1, Math.floor(slots * this.share)),
        };
    }
}

/** Probability that an answer is late if each of its events stalls with the given probability. */
function lateProbability(stallRate: number): number {
    return 1 - (1 - stallRate) ** eventsPerAnswer;
}

/** What a request demands of its engines. */
type EngineConstraints = Pick<PlacementRequest, "avoid" | "version">;

const anyRequest: EngineConstraints = { avoid: [] };

function mayRun({ version }: EngineLoad, request: EngineConstraints): boolean {
    return request.version === undefined || request.version === version;
}

function roundUpToBlocks(tokens: number): number {
    return Math.ceil(tokens / blockTokens) * blockTokens;
}
