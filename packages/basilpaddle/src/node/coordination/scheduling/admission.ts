import type { Decision, Demand } from "../../protocol/index.js";
import { fractionOf } from "../../utils/index.js";
import type { AdmissionForecast, Ahead, CrewStanding, PartTimes } from "./admissionForecast.js";
import type { DemandQueue, WaitingDemand } from "./demandQueue.js";
import type { EngineChooser } from "./engineChoice.js";
import type { OrganisationShares } from "./organisationShares.js";
import type { PoolPicture } from "./poolPicture.js";
import { refuse } from "./refusals.js";
import type { Crew, Roster } from "./roster.js";
import type { PoolRules } from "./scheduler.js";
import type { TransferTimes } from "./transferTimes.js";
import type { Tuning } from "./tuning.js";

/** Milliseconds after which a caller who found no engine should come back. */
const noEngineRetry = 1_000;
/** Milliseconds after which a caller who found the queue or its organisation's limit full should come back. */
const fullRetry = 500;
/** Most milliseconds by which the times to come back of refused callers are spread, so that they don't come back together. */
const retrySpread = 500;
/** Part by which a forecast may worsen while a demand waits before it is refused; without it small swings refuse. */
const reviewTolerance = 1.1;
/** Milliseconds that one step of priority moves a demand in the order. */
const priorityStep = 10;
/** Priority of a demand whose route names none. */
const usualPriority = 100;
/** Puts demands that are late already behind all that aren't. */
const lateOffset = 1e9;

const nothingAhead: Ahead = { demands: 0, work: 0 };

type Parts = {
    readonly picture: PoolPicture;
    readonly queue: DemandQueue;
    readonly roster: Roster;
    readonly forecast: AdmissionForecast;
    readonly chooser: EngineChooser;
    readonly transfers: TransferTimes;
    readonly shares: OrganisationShares;
    readonly tuning: Tuning;
};

/** Decides which demands may wait, and in which order. Refuses at once what can't make its targets. */
export class Admission {
    private constructor(private readonly parts: Parts) {}

    static create(parts: Parts): Admission {
        return new Admission(parts);
    }

    /** Puts a demand in the queue, or gives its refusal. */
    admit(demand: Demand, rules: PoolRules | undefined, now: number): Decision | undefined {
        const { queue, roster, shares } = this.parts;
        const crew = roster.crew(demand);
        if (crew.prefill.length === 0 || crew.decode.length === 0) {
            const role = crew.prefill.length === 0 ? "prefill" : "decode";
            const message = `pool ${demand.pool} has no ready ${role} engine for ${demand.model}`;
            return refuse(demand, "noBackend", message, noEngineRetry);
        }
        const limit = this.limit(demand, rules);
        if (limit !== undefined) {
            return limit;
        }
        const times = this.times(demand, crew, now);
        const onTime = this.place(demand, times, false, now);
        const ahead = this.ahead(queue.positionOf(onTime.key));
        const refuses = rules?.pool.weighting === "goodput";
        const expected = this.expected(demand, crew, ahead, times, refuses, now);
        const verdict = this.verdict(onTime, expected, this.parts.tuning.admission, times, rules, now);
        if (verdict === "refuse") {
            return this.outOfReach(demand, expected);
        }
        const organisation = rules?.organisations[demand.organisation] ?? rules?.anyOrganisation;
        const shareStart = organisation === undefined
            ? 0
            : shares.charge(demand.organisation, organisation, poolTime(demand, crew, times.work));
        const waiting = verdict === "late" ? this.place(demand, times, true, now) : onTime;
        queue.add({ ...waiting, shareStart });
        return undefined;
    }

    private expected(
        demand: Demand,
        crew: Crew,
        ahead: Ahead,
        times: PartTimes,
        refuses: boolean,
        now: number,
    ): number {
        const { forecast, shares } = this.parts;
        const standing = forecast.standing(crew, now);
        const next = forecast.firstTokenIn(demand, crew, standing, nothingAhead, times);
        const queued = forecast.firstTokenIn(demand, crew, standing, ahead, times) - next;
        // Others that are within their share will come and go before one that is ahead of its own; without this it is
        // let in, overtaken, and refused only after it has waited.
        const lag = refuses ? shares.lag(demand.organisation) : 0;
        const overtaking = Math.min(1, lag / Math.max(1, demand.firstTokenWithin));
        return next + queued * (1 + overtaking);
    }

    /** Looks at all that wait: refuses what has got out of reach meanwhile, rather than at its deadline. */
    review(rules: PoolRules | undefined, now: number): Decision[] {
        const refusals: Decision[] = [];
        let demands = 0;
        let work = 0;
        const standings = new Map<Crew, CrewStanding>();
        for (const waiting of this.parts.queue.all()) {
            const { demand } = waiting;
            const crew = this.parts.roster.crew(demand);
            const standing = standings.get(crew) ?? this.parts.forecast.standing(crew, now);
            standings.set(crew, standing);
            const refusal = crew.prefill.length === 0 || crew.decode.length === 0
                ? refuse(
                    demand,
                    "noBackend",
                    `pool ${demand.pool} has lost its engines for ${demand.model}`,
                    noEngineRetry,
                )
                : this.reviewOne(waiting, crew, standing, { demands, work }, rules, now);
            if (refusal === undefined) {
                demands++;
                work += waiting.work;
                continue;
            }
            this.parts.queue.remove(demand.attempt);
            refusals.push(refusal);
        }
        return refusals;
    }

    private reviewOne(
        waiting: WaitingDemand,
        crew: Crew,
        standing: CrewStanding,
        ahead: Ahead,
        rules: PoolRules | undefined,
        now: number,
    ): Decision | undefined {
        const { demand } = waiting;
        const expected = this.parts.forecast.firstTokenIn(demand, crew, standing, ahead, waiting);
        const verdict = this.verdict(waiting, expected, reviewTolerance, waiting, rules, now);
        if (verdict === "refuse") {
            return this.outOfReach(demand, expected);
        }
        if (verdict === "late" && !waiting.late) {
            this.parts.queue.remove(demand.attempt);
            this.parts.queue.add({ ...waiting, late: true, key: waiting.endsBy + lateOffset });
        }
        return undefined;
    }

    private verdict(
        waiting: WaitingDemand,
        expected: number,
        tolerance: number,
        times: PartTimes,
        rules: PoolRules | undefined,
        now: number,
    ): "onTime" | "late" | "refuse" {
        const { demand } = waiting;
        const answerTime = demand.expectedTokens * (rules?.pool.targets.perToken ?? 0);
        const whole = now + expected + answerTime <= waiting.endsBy;
        if (!waiting.late && now + expected <= now + (waiting.firstTokenBy - now) * tolerance) {
            return whole ? "onTime" : "refuse";
        }
        const hopeless = times.work + times.transfer > demand.firstTokenWithin;
        // Coming back later wouldn't help a prompt that is too long for the target on an idle pool, and a caller that
        // has got a part of its answer is worse off with a refusal than with a pause.
        const lateIsBetter = rules?.pool.weighting === "prefill" || hopeless || demand.alreadySent > 0;
        return lateIsBetter && whole ? "late" : "refuse";
    }

    private limit(demand: Demand, rules: PoolRules | undefined): Decision | undefined {
        const { queue, picture } = this.parts;
        if (rules === undefined) {
            return undefined;
        }
        const organisation = rules.organisations[demand.organisation] ?? rules.anyOrganisation;
        if (queue.openOf(demand.organisation) + picture.openOf(demand.organisation) >= organisation.openRequests) {
            const message =
                `${demand.organisation} has ${organisation.openRequests} requests open in pool ${demand.pool}`;
            return refuse(demand, "organisationLimit", message, fullRetry + spread(demand.attempt));
        }
        if (queue.size >= rules.pool.queueLimit) {
            const message = `${queue.size} requests wait in pool ${demand.pool}`;
            return refuse(demand, "poolFull", message, fullRetry + spread(demand.attempt));
        }
        return undefined;
    }

    private place(demand: Demand, times: PartTimes, late: boolean, now: number): WaitingDemand {
        const firstTokenBy = now + demand.firstTokenWithin;
        const endsBy = now + demand.deadlineWithin;
        const priority = (demand.priority - usualPriority) * priorityStep;
        const key = late
            ? endsBy + lateOffset
            : firstTokenBy + priority + this.parts.shares.lag(demand.organisation);
        return { demand, arrivedAt: now, firstTokenBy, endsBy, key, ...times, late, shareStart: 0 };
    }

    private ahead(position: number): Ahead {
        const { queue } = this.parts;
        return { demands: position, work: queue.size === 0 ? 0 : queue.work * position / queue.size };
    }

    private times(demand: Demand, crew: Crew, now: number): { readonly work: number; readonly transfer: number; } {
        const chosen = this.parts.chooser.prefill(demand, crew.prefill, now);
        const prefill = chosen?.prefill ?? crew.prefill[0]!;
        return {
            work: chosen?.work ?? demand.promptTokens * prefill.tokenTime,
            transfer: this.parts.transfers.expected(prefill, crew.decode[0]!, demand.promptTokens),
        };
    }

    private outOfReach(demand: Demand, expected: number): Decision {
        const message = `the first token would come in ${Math.round(expected)} ms`;
        const retryAfter = Math.max(0, expected - demand.firstTokenWithin) + spread(demand.attempt);
        return refuse(demand, "targetsOutOfReach", message, retryAfter);
    }
}

/** Milliseconds for which the demand would fill the whole pool. */
function poolTime(demand: Demand, crew: Crew, work: number): number {
    const decoding = demand.expectedTokens * crew.decode[0]!.tokenTime / crew.slots;
    return Math.max(work / crew.prefill.length, decoding);
}

/** Spreads times to come back; the same attempt always gets the same. */
function spread(attempt: string): number {
    return Math.floor(fractionOf(attempt) * retrySpread);
}
