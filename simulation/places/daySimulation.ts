import {
    leaderPlacementTuning,
    localPlacementTuning,
    PlacementQueue,
    type PlacementTuning,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type {
    PlacementDecision,
    PlacementOutcome,
    PlacementRequest,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { hashToFraction } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Day } from "./day.js";
import { Fleet } from "./fleet.js";
import { type CallResult, outcomeOf, type PoolOutcome } from "./outcome.js";
import type { PriorityMix } from "./priorityMix.js";
import { type EmulatedRequest, generateRequests } from "./workload.js";

const tickMilliseconds = 5;
/** Round trip between a caller's host and its gateway, with the gateway's own processing. */
const roundTripMilliseconds = 8;
/** A caller waits for its first event for this many times the target. */
const firstEventTimeoutFactor = 4;
/** Upper limit of a delay before a retry, as a fraction of the time left until the deadline. */
const maxRetryAfterFraction = 1 / 3;
const deadlineMilliseconds = 14_000;
/** Interval at which gateways report the writing of their runs. */
const reportIntervalMilliseconds = 1_000;
/** How a gateway handles a rejected run; the same values as in the gateway's exchange. */
const freshHandleFraction = 0.7;
const maxFailuresBeforeLocalPrefill = 2;
const maxFailedPlacements = 4;
const rejectedRetryAfterMilliseconds = 300;

type GrantedPlacement = Extract<PlacementDecision, { kind: "placed"; }>;

type Call = {
    readonly request: EmulatedRequest;
    retries: number;
    firstAt: number | undefined;
    endAt: number | undefined;
    ended: boolean;
    /** Whether its engine crashed during the run. */
    lost: boolean;
    /** When the prefill of its prompt finished; undefined if there is no unused result. */
    prefilledAt: number | undefined;
    /** Engines that rejected or failed the request. */
    avoid: string[];
};

/** Simulates a day with the production placement code; `tuning` overrides parts of its default tuning. */
export function simulateDay(day: Day, seed: number, tuning: Partial<PlacementTuning> = {}): PoolOutcome {
    return DaySimulation.create(day, seed, tuning).runToEnd();
}

/** Simulation of one day. Deterministic for a given day, seed and tuning. */
export class DaySimulation {
    /** One queue for each gateway that decides locally, else a single one for the leader. */
    private readonly placementQueues: readonly PlacementQueue[];
    private readonly fleet: Fleet;
    private readonly calls = new Map<string, Call>();
    /** Runs by attempt; `reportedAt` is infinite before the first event. */
    private readonly runs = new Map<string, { readonly name: string; readonly decode: string; reportedAt: number; }>();
    /** Scheduled callbacks, sorted by time. */
    private readonly events: { readonly at: number; readonly act: (now: number) => void; }[] = [];
    private rejectedRunCount = 0;
    private wastedTokens = 0;

    private constructor(
        private readonly day: Day,
        seed: number,
        tuning: Partial<PlacementTuning>,
        private readonly mix: PriorityMix | undefined,
    ) {
        const { pool, workload } = day;
        const { gateways } = pool;
        const defaultTuning = gateways === undefined
            ? leaderPlacementTuning
            : { ...localPlacementTuning, share: 1 / gateways };
        this.placementQueues = Array.from(
            { length: gateways ?? 1 },
            () => PlacementQueue.create({ ...defaultTuning, ...tuning }),
        );
        if (mix !== undefined) {
            this.placementQueues.forEach(queue => queue.setPrioritised(mix.isPrioritised, mix.floor));
        }
        const { cacheTokens, slots, handleLife } = pool.figures;
        this.fleet = Fleet.create(day, seed, {
            at: (time, act) => this.schedule(time, act),
            onAnnounced: announced => {
                this.placementQueues.forEach(queue => {
                    queue.setEngines(announced, { cacheTokens, slots, handleLife, stageSwitch: 6_000 });
                });
            },
            onRunsLost: (runs, now) => runs.forEach(name => this.failRun(name, now)),
        });
        generateRequests(workload, seed).forEach(request =>
            this.schedule(request.at, now => this.submit(request, now))
        );
    }

    /** Creates the simulation and schedules all requests and engine faults. `mix`: priorities of the requests. @default one */
    static create(day: Day, seed: number, tuning: Partial<PlacementTuning> = {}, mix?: PriorityMix): DaySimulation {
        return new DaySimulation(day, seed, tuning, mix);
    }

    /** Simulates the whole day and the deadline of its last request after it. */
    runToEnd(): PoolOutcome {
        const end = this.day.workload.length + deadlineMilliseconds;
        for (let now = 0; now < end; now += tickMilliseconds) {
            this.advanceTo(now);
        }
        return this.outcome();
    }

    /** Runs the callbacks due by `now`, advances the engines by one tick and reviews the placement queues. */
    advanceTo(now: number): void {
        while (this.events.length > 0 && this.events[0]!.at <= now) {
            this.events.shift()!.act(now);
        }
        this.fleet.decodeEngines().forEach(engine => {
            engine.advance(tickMilliseconds).forEach(({ name, kind }) => this.onProgress(name, kind, now));
        });
        this.reportWriting(now);
        this.placementQueues.forEach(queue => this.handleDecisions(queue.review(now), now));
    }

    /** Reports each run once per interval, a part of the runs in each tick. */
    private reportWriting(now: number): void {
        for (const [attempt, run] of this.runs) {
            const milliseconds = now - run.reportedAt;
            const events = milliseconds < reportIntervalMilliseconds
                ? 0
                : this.fleet.decode(run.decode)?.takeEvents(run.name) ?? 0;
            if (events > 0) {
                run.reportedAt = now;
                this.placementQueueOf(attempt).recordWriting(run.decode, { events, milliseconds }, now);
            }
        }
    }

    /** Number of waiting requests and of placements of all placement queues, and the most tokens allocated at one engine by one queue. */
    status(): { readonly waiting: number; readonly active: number; readonly maxAllocatedTokens: number; } {
        const statuses = this.placementQueues.map(queue => queue.counts());
        return {
            waiting: statuses.reduce((sum, { waiting }) => sum + waiting, 0),
            active: statuses.reduce((sum, { active }) => sum + active, 0),
            maxAllocatedTokens: Math.max(0, ...statuses.flatMap(({ allocated }) => [...allocated.values()])),
        };
    }

    /** Results of all requests so far. */
    results(): readonly CallResult[] {
        return [...this.calls.values()];
    }

    /** Outcome of all requests so far. */
    outcome(): PoolOutcome {
        const waste = {
            turnedAway: this.rejectedRunCount,
            wastedPromptTokens: this.fleet.totalRecomputedTokens() + this.wastedTokens,
        };
        return outcomeOf([...this.calls.values()], this.day.workload, waste);
    }

    /** The queue that decides on an attempt. Attempts are spread over the gateways by a hash of their names. */
    private placementQueueOf(attempt: string): PlacementQueue {
        return this.placementQueues[Math.floor(hashToFraction(attempt) * this.placementQueues.length)]!;
    }

    private submit(request: EmulatedRequest, now: number): void {
        const call = this.calls.get(request.name)
            ?? {
                request,
                retries: 0,
                firstAt: undefined,
                endAt: undefined,
                ended: false,
                lost: false,
                prefilledAt: undefined,
                avoid: [],
            };
        this.calls.set(request.name, call);
        this.requestPlacement(call, now);
    }

    private requestPlacement(call: Call, now: number): void {
        const request = this.placementRequest(call, now);
        this.handleDecisions(this.placementQueueOf(request.attempt).enqueueRequest(request, now), now);
    }

    private placementRequest({ request, retries, avoid }: Call, now: number): PlacementRequest {
        const { gap } = this.day.workload;
        const kind = this.mix?.kindOf(request);
        const target = kind?.target ?? this.day.workload.target;
        return {
            attempt: `${request.name}#${retries}`,
            gateway: "gateway",
            service: "pool",
            failureDomain: "a",
            promptTokens: request.promptTokens,
            cacheTokens: request.promptTokens + request.estimatedAnswerTokens,
            priority: 1,
            // A gateway knows nothing of earlier attempts of the request; the queue knows those that it refused.
            targetWithin: target - roundTripMilliseconds,
            patienceWithin: Math.min(request.at + deadlineMilliseconds - now, firstEventTimeoutFactor * target),
            avoid: [...avoid],
            resumed: false,
            ...kind === undefined
                ? {}
                : {
                    priority: kind.priority,
                    organisation: kind.organisation,
                    deadlineWithin: request.at + deadlineMilliseconds - now,
                },
            finishWithin: request.at + deadlineMilliseconds - now,
            content: request.name,
            ...gap === undefined ? {} : { gap },
        };
    }

    private handleDecisions(decisions: readonly PlacementDecision[], now: number): void {
        for (const decision of decisions) {
            const call = this.calls.get(decision.attempt.split("#", 1)[0]!)!;
            if (decision.kind === "refused") {
                this.onRefused(call, decision.comeBackIn, now);
            }
            else {
                this.onGranted(call, decision, now);
            }
        }
    }

    private onRefused(call: Call, comeBackIn: number, now: number): void {
        if (call.retries > 0) {
            call.ended = true;
            return;
        }
        call.retries += 1;
        call.avoid = [];
        const delayMilliseconds = Math.min(
            comeBackIn,
            (call.request.at + deadlineMilliseconds - now) * maxRetryAfterFraction,
        );
        this.schedule(now + delayMilliseconds + roundTripMilliseconds, then => this.submit(call.request, then));
    }

    private onGranted(call: Call, decision: GrantedPlacement, now: number): void {
        const { promptTokens } = call.request;
        const { handleLife } = this.day.pool.figures;
        const isHandleFresh = call.prefilledAt !== undefined
            && now - call.prefilledAt < handleLife * freshHandleFraction;
        const prefillsLocally = decision.prefill === undefined || call.avoid.length >= maxFailuresBeforeLocalPrefill;
        if (isHandleFresh || prefillsLocally) {
            this.schedule(
                now + roundTripMilliseconds / 2,
                then => this.startDecode(call, decision, isHandleFresh ? 0 : promptTokens, then),
            );
            return;
        }
        this.recordUnusedPrefill(call);
        this.runPrefill(call, decision, decision.prefill!, now);
    }

    private runPrefill(call: Call, decision: GrantedPlacement, prefill: string, now: number): void {
        const prefillEngine = this.fleet.prefill(prefill);
        const prefilledAt = prefillEngine?.enqueue(call.request.promptTokens, now + roundTripMilliseconds / 2)
            ?? now + roundTripMilliseconds / 2;
        this.schedule(prefilledAt + roundTripMilliseconds / 2, then => {
            if (prefillEngine === undefined || this.fleet.prefill(prefill) !== prefillEngine) {
                this.retryElsewhere(call, decision, prefill, { failed: prefill }, then);
                return;
            }
            call.prefilledAt = then;
            this.placementQueueOf(decision.attempt).prefillCompleted(decision.attempt, then);
            this.startDecode(call, decision, 0, then);
        });
    }

    private startDecode(call: Call, decision: GrantedPlacement, tokensToPrefill: number, now: number): void {
        const { name, promptTokens, answerTokens } = call.request;
        const engine = this.fleet.decode(decision.decode);
        if (engine === undefined) {
            this.retryElsewhere(call, decision, decision.decode, { failed: decision.decode }, now);
            return;
        }
        if (engine.tryStart(name, promptTokens, answerTokens, tokensToPrefill)) {
            this.recordUnusedPrefill(tokensToPrefill > 0 ? call : undefined);
            this.runs.set(decision.attempt, { name, decode: decision.decode, reportedAt: Number.POSITIVE_INFINITY });
            return;
        }
        this.rejectedRunCount += 1;
        const releaseOutcome = { turnedAwayBy: decision.decode, readBy: decision.prefill };
        this.retryElsewhere(call, decision, decision.decode, releaseOutcome, now);
    }

    /** Releases the grant after an engine rejected or failed the request, then requests another one or refuses the attempt. */
    private retryElsewhere(
        call: Call,
        decision: GrantedPlacement,
        engine: string,
        end: PlacementOutcome,
        now: number,
    ): void {
        call.avoid.push(engine);
        this.handleDecisions(this.placementQueueOf(decision.attempt).release(decision.attempt, end, now), now);
        if (call.avoid.length >= maxFailedPlacements) {
            this.recordUnusedPrefill(call);
            this.onRefused(call, rejectedRetryAfterMilliseconds, now);
            return;
        }
        this.requestPlacement(call, now);
    }

    /** Ends a request whose engine crashed during the run; it isn't retried. */
    private failRun(name: string, now: number): void {
        const call = this.calls.get(name)!;
        call.lost = true;
        call.ended = true;
        this.wastedTokens += call.request.promptTokens;
        const attempt = `${name}#${call.retries}`;
        this.runs.delete(attempt);
        this.handleDecisions(this.placementQueueOf(attempt).release(attempt, {}, now), now);
    }

    /** Counts the prompt tokens of a prefill result that is discarded unused. */
    private recordUnusedPrefill(call: Call | undefined): void {
        if (call?.prefilledAt !== undefined) {
            this.wastedTokens += call.request.promptTokens;
            call.prefilledAt = undefined;
        }
    }

    private onProgress(name: string, kind: "first" | "done", now: number): void {
        const call = this.calls.get(name)!;
        const attempt = `${name}#${call.retries}`;
        if (kind === "first") {
            call.firstAt = now + roundTripMilliseconds / 2;
            const run = this.runs.get(attempt);
            if (run !== undefined) {
                run.reportedAt = now;
            }
            this.placementQueueOf(attempt).prefillCompleted(attempt, now);
            return;
        }
        call.ended = true;
        call.endAt = now + roundTripMilliseconds / 2;
        this.runs.delete(attempt);
        const answerEvents = Math.ceil(call.request.answerTokens / this.day.pool.figures.eventTokens);
        this.handleDecisions(this.placementQueueOf(attempt).release(attempt, { answerEvents }, now), now);
    }

    private schedule(at: number, act: (now: number) => void): void {
        let position = this.events.length;
        while (position > 0 && this.events[position - 1]!.at > at) {
            position -= 1;
        }
        this.events.splice(position, 0, { at, act });
    }
}
