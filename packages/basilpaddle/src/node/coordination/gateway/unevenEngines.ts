import type { PlacementRequest, RunWriting } from "../../protocol/index.js";
import {
    assumedEventTokens,
    type EngineScore,
    EventTokens,
    maxUnknownShare,
    PoolSpeeds,
    type RelativeSpeeds,
    type ScoredLoad,
    tokenTimeAt,
    type TokenTimes,
} from "../cost/index.js";
import type { EngineLoad } from "./engineLoad.js";

/** Fraction of a route's gap that the expected time between two events may take: single pauses are longer. */
const maxGapFraction = 0.8;
/** Score penalty of an engine of unknown speed beyond its share: more runs are placed there only if no other engine has room. */
const unknownSharePenaltyMilliseconds = 10_000;

/** Placement at decode engines whose observed speeds differ much; without such a difference it has no effect. */
export class UnevenEngines {
    private readonly speeds = PoolSpeeds.create();
    private readonly eventTokens = EventTokens.create();

    private current: { readonly speeds: RelativeSpeeds; readonly effective: EffectiveSpeeds; } | undefined;

    private constructor(private readonly score: EngineScore | undefined) {}

    /** `score`: undefined if speeds aren't to be used. */
    static create(score: EngineScore | undefined): UnevenEngines {
        return new UnevenEngines(score);
    }

    /** Forgets the engines that aren't in the list. */
    retain(ids: ReadonlySet<string>): void {
        this.speeds.retain(ids);
    }

    /** Records the writing of a run at an engine; invalid values are ignored. */
    recordWriting(engine: EngineLoad, writing: RunWriting, now: number): void {
        this.speeds.recordWriting(engine.id, engine.speed, writing, engine.runs, now);
    }

    /** Records the number of events of a complete answer. */
    recordAnswer(request: PlacementRequest, events: number): void {
        this.eventTokens.recordAnswer(answerTokensOf(request), events);
    }

    /** Speeds and times while they differ much; undefined otherwise. */
    effective(capacityTokens: number, now: number): EffectiveSpeeds | undefined {
        if (this.score === undefined) {
            return undefined;
        }
        const speeds = this.speeds.relative(now);
        const { eventTime } = speeds;
        if (!speeds.isUneven || eventTime === undefined) {
            return undefined;
        }
        if (this.current?.speeds !== speeds) {
            const eventTokens = this.eventTokens.mean();
            const effective = EffectiveSpeeds.create(speeds, eventTime, eventTokens, this.score, capacityTokens);
            this.current = { speeds, effective };
        }
        return this.current.effective;
    }
}

/** Speeds and times of a pool's engines at one time. */
export class EffectiveSpeeds {
    private readonly times: TokenTimes;
    private readonly fastestSpeed: number;

    private constructor(
        private readonly speeds: RelativeSpeeds,
        private readonly eventTime: number,
        private readonly eventTokens: number | undefined,
        private readonly score: EngineScore,
        capacityTokens: number,
    ) {
        const { growth, meanSpeed } = speeds;
        const tokenTime = eventTime / (eventTokens ?? assumedEventTokens);
        this.times = { growth, meanSpeed, tokenTime, capacityTokens };
        this.fastestSpeed = Math.max(...speeds.speeds.values());
    }

    static create(
        speeds: RelativeSpeeds,
        eventTime: number,
        eventTokens: number | undefined,
        score: EngineScore,
        capacityTokens: number,
    ): EffectiveSpeeds {
        return new EffectiveSpeeds(speeds, eventTime, eventTokens, score, capacityTokens);
    }

    /** Speed of an engine relative to the mean of the pool. */
    shareOf(engine: EngineLoad): number {
        return this.speedOf(engine) / this.speeds.meanSpeed;
    }

    /** Score penalties of the engines with room for a request, in milliseconds. `all`: also those without room. */
    penalties(
        engines: readonly EngineLoad[],
        all: readonly EngineLoad[],
        request: PlacementRequest,
        now: number,
    ): readonly number[] {
        const { attempt, cacheTokens } = request;
        const run = { attempt, cacheTokens, answerTokens: answerTokensOf(request) };
        const penalties = this.score.penalties(engines.map(engine => this.loadOf(engine, now)), run, this.times);
        const runs = all.reduce((sum, engine) => sum + engine.runs, 0) + 1;
        const maxUnknownRuns = Math.max(1, maxUnknownShare * runs / all.length);
        return penalties.map((penalty, position) => {
            const engine = engines[position]!;
            const exceedsShare = !this.speeds.speeds.has(engine.id) && engine.runs + 1 > maxUnknownRuns;
            return penalty + (exceedsShare ? unknownSharePenaltyMilliseconds : 0);
        });
    }

    /**
     * Whether a run at the engine would keep the pauses and the end that its caller expects. If even the fastest engine
     * wouldn't, the others aren't excluded.
     */
    isFastEnough(engine: EngineLoad, request: PlacementRequest): boolean {
        const { gap, finishWithin } = request;
        if (gap === undefined && finishWithin === undefined) {
            return true;
        }
        return this.keepsLimits(this.speedOf(engine), engine.runs, request)
            || !this.keepsLimits(this.fastestSpeed, 0, request);
    }

    private keepsLimits(speed: number, runs: number, request: PlacementRequest): boolean {
        const { gap, finishWithin } = request;
        const time = tokenTimeAt({ speed }, runs + 1, this.times);
        const eventTime = time * this.eventTime / this.times.tokenTime;
        const keepsGap = gap === undefined || eventTime <= gap * maxGapFraction;
        // Without known tokens of an event the end isn't known either.
        const keepsEnd = finishWithin === undefined || this.eventTokens === undefined
            || answerTokensOf(request) * time <= finishWithin;
        return keepsGap && keepsEnd;
    }

    private loadOf(engine: EngineLoad, now: number): ScoredLoad {
        const { id, runs, allocatedTokens } = engine;
        const speed = this.speedOf(engine);
        const remainingTokens = engine.remainingTokens(now, tokenTimeAt({ speed }, runs, this.times));
        return { id, speed, runs, allocatedTokens, remainingTokens };
    }

    private speedOf({ id }: EngineLoad): number {
        return this.speeds.speeds.get(id) ?? this.speeds.unknownSpeed;
    }
}

function answerTokensOf({ cacheTokens, promptTokens }: PlacementRequest): number {
    return Math.max(0, cacheTokens - promptTokens);
}
