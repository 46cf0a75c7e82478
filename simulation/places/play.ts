import {
    EnginePlaces,
    type PlaceTuning,
    placingAlone,
    placingForAll,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { PlaceDecision, PlaceDemand, PlaceEnd } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { fractionOf } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Day } from "./day.js";
import { Fleet } from "./fleet.js";
import { outcomeOf, type PoolOutcome } from "./outcome.js";
import { drawRequests, type EmulatedRequest } from "./workload.js";

const tick = 5;
/** Milliseconds between a caller's host and its gateway and back, and of the gateway's own work. */
const travel = 8;
/** Times the target that a caller waits for its first event. */
const patienceFactor = 4;
/** Part of the time left that a time to come back may take. */
const comeBackPart = 1 / 3;
const deadline = 14_000;
/** What a gateway does with a run that is turned away: as in the gateway's exchange. */
const freshPart = 0.7;
const mostOffers = 2;
const mostTurns = 4;
const turnedAwayComeBack = 300;

type Placed = Extract<PlaceDecision, { kind: "placed"; }>;

type Call = {
    readonly request: EmulatedRequest;
    retries: number;
    firstAt: number | undefined;
    ended: boolean;
    /** Whether its answer broke off. */
    lost: boolean;
    /** When its prompt was read, while the result is kept. */
    readAt: number | undefined;
    /** Engines that turned it away. */
    avoid: string[];
};

/** Plays a day whose places are decided by the product's own code, with its tuning or with some of it changed. */
export function playDay(day: Day, seed: number, tuning: Partial<PlaceTuning> = {}): PoolOutcome {
    return Play.create(day, seed, tuning).play();
}

/** One day on its way. */
export class Play {
    /** One for each gateway that places. */
    private readonly places: readonly EnginePlaces[];
    private readonly fleet: Fleet;
    private readonly calls = new Map<string, Call>();
    /** What happens at which time, in order of times. */
    private readonly events: { readonly at: number; readonly act: (now: number) => void; }[] = [];
    private turnedAway = 0;
    private wasted = 0;

    private constructor(private readonly day: Day, seed: number, tuning: Partial<PlaceTuning>) {
        const { pool, workload } = day;
        const { gateways } = pool;
        const usual = gateways === undefined ? placingForAll : { ...placingAlone, share: 1 / gateways };
        this.places = Array.from({ length: gateways ?? 1 }, () => EnginePlaces.create({ ...usual, ...tuning }));
        const { cacheTokens, slots, handleLife } = pool.figures;
        this.fleet = Fleet.create(day, seed, {
            at: (time, act) => this.at(time, act),
            onAnnounced: announced => {
                this.places.forEach(places => {
                    places.setEngines(announced, { cacheTokens, slots, handleLife, stageSwitch: 6_000 });
                });
            },
            onLost: (runs, now) => runs.forEach(name => this.lose(name, now)),
        });
        drawRequests(workload, seed).forEach(request => this.at(request.at, now => this.ask(request, now)));
    }

    /** Begins a day; the same seed gives the same. */
    static create(day: Day, seed: number, tuning: Partial<PlaceTuning> = {}): Play {
        return new Play(day, seed, tuning);
    }

    /** Plays the whole day, and as long after it as a caller may wait. */
    play(): PoolOutcome {
        const end = this.day.workload.length + deadline;
        for (let now = 0; now < end; now += tick) {
            this.pass(now);
        }
        return this.outcome();
    }

    /** Lets one tick pass, up to the time. */
    pass(now: number): void {
        while (this.events.length > 0 && this.events[0]!.at <= now) {
            this.events.shift()!.act(now);
        }
        this.fleet.running().forEach(engine => {
            engine.pass(tick).forEach(({ name, kind }) => this.progress(name, kind, now));
        });
        this.places.forEach(places => this.take(places.review(now), now));
    }

    /** What waits and what is held, over all that place. */
    standing(): { readonly waiting: number; readonly held: number; readonly mostHeldTokens: number; } {
        const standings = this.places.map(places => places.standing());
        return {
            waiting: standings.reduce((sum, { waiting }) => sum + waiting, 0),
            held: standings.reduce((sum, { held }) => sum + held, 0),
            mostHeldTokens: Math.max(0, ...standings.flatMap(({ heldTokens }) => [...heldTokens.values()])),
        };
    }

    /** What became of all requests so far. */
    outcome(): PoolOutcome {
        const waste = { turnedAway: this.turnedAway, readAgainTokens: this.fleet.readAgain() + this.wasted };
        return outcomeOf([...this.calls.values()], this.day.workload, waste);
    }

    /** What places an attempt: each attempt comes to a gateway of its own. */
    private placesOf(attempt: string): EnginePlaces {
        return this.places[Math.floor(fractionOf(attempt) * this.places.length)]!;
    }

    private ask(request: EmulatedRequest, now: number): void {
        const call = this.calls.get(request.name)
            ?? { request, retries: 0, firstAt: undefined, ended: false, lost: false, readAt: undefined, avoid: [] };
        this.calls.set(request.name, call);
        this.askPlaces(call, now);
    }

    private askPlaces(call: Call, now: number): void {
        const demand = this.demand(call, now);
        this.take(this.placesOf(demand.attempt).ask(demand, now), now);
    }

    private demand({ request, retries, avoid }: Call, now: number): PlaceDemand {
        const { target } = this.day.workload;
        return {
            attempt: `${request.name}#${retries}`,
            gateway: "gateway",
            service: "pool",
            failureDomain: "a",
            promptTokens: request.promptTokens,
            cacheTokens: request.promptTokens + request.guessedTokens,
            priority: 1,
            // A gateway doesn't know of an attempt before: its target counts from this one.
            targetWithin: target - travel,
            patienceWithin: Math.min(request.at + deadline - now, patienceFactor * target),
            avoid: [...avoid],
            resumed: false,
        };
    }

    private take(decisions: readonly PlaceDecision[], now: number): void {
        for (const decision of decisions) {
            const call = this.calls.get(decision.attempt.split("#", 1)[0]!)!;
            if (decision.kind === "refused") {
                this.refused(call, decision.comeBackIn, now);
            }
            else {
                this.placed(call, decision, now);
            }
        }
    }

    private refused(call: Call, comeBackIn: number, now: number): void {
        if (call.retries > 0) {
            call.ended = true;
            return;
        }
        call.retries += 1;
        call.avoid = [];
        const wait = Math.min(comeBackIn, (call.request.at + deadline - now) * comeBackPart);
        this.at(now + wait + travel, then => this.ask(call.request, then));
    }

    private placed(call: Call, decision: Placed, now: number): void {
        const { promptTokens } = call.request;
        const { handleLife } = this.day.pool.figures;
        const isFresh = call.readAt !== undefined && now - call.readAt < handleLife * freshPart;
        const readsItself = decision.prefill === undefined || call.avoid.length >= mostOffers;
        if (isFresh || readsItself) {
            this.at(now + travel / 2, then => this.run(call, decision, isFresh ? 0 : promptTokens, then));
            return;
        }
        this.noteWaste(call);
        this.read(call, decision, decision.prefill!, now);
    }

    private read(call: Call, decision: Placed, prefill: string, now: number): void {
        const reader = this.fleet.prefill(prefill);
        const readAt = reader?.read(call.request.promptTokens, now + travel / 2) ?? now + travel / 2;
        this.at(readAt + travel / 2, then => {
            if (reader === undefined || this.fleet.prefill(prefill) !== reader) {
                this.tryElsewhere(call, decision, prefill, { failed: prefill }, then);
                return;
            }
            call.readAt = then;
            this.placesOf(decision.attempt).prefilled(decision.attempt, then);
            this.run(call, decision, 0, then);
        });
    }

    private run(call: Call, decision: Placed, unread: number, now: number): void {
        const { name, promptTokens, answerTokens } = call.request;
        const engine = this.fleet.decode(decision.decode);
        if (engine === undefined) {
            this.tryElsewhere(call, decision, decision.decode, { failed: decision.decode }, now);
            return;
        }
        if (engine.begin(name, promptTokens, answerTokens, unread)) {
            this.noteWaste(unread > 0 ? call : undefined);
            return;
        }
        this.turnedAway += 1;
        const blame = { turnedAwayBy: decision.decode, readBy: decision.prefill };
        this.tryElsewhere(call, decision, decision.decode, blame, now);
    }

    /** An engine didn't do its part: the place is given back, and another one asked for, as long as turns are left. */
    private tryElsewhere(call: Call, decision: Placed, engine: string, end: PlaceEnd, now: number): void {
        call.avoid.push(engine);
        this.take(this.placesOf(decision.attempt).release(decision.attempt, end, now), now);
        if (call.avoid.length >= mostTurns) {
            this.noteWaste(call);
            this.refused(call, turnedAwayComeBack, now);
            return;
        }
        this.askPlaces(call, now);
    }

    /** A run ended with its engine; it may not be made again. */
    private lose(name: string, now: number): void {
        const call = this.calls.get(name)!;
        call.lost = true;
        call.ended = true;
        this.wasted += call.request.promptTokens;
        const attempt = `${name}#${call.retries}`;
        this.take(this.placesOf(attempt).release(attempt, {}, now), now);
    }

    /** The result of a reading that wasn't used is lost. */
    private noteWaste(call: Call | undefined): void {
        if (call?.readAt !== undefined) {
            this.wasted += call.request.promptTokens;
            call.readAt = undefined;
        }
    }

    private progress(name: string, kind: "first" | "done", now: number): void {
        const call = this.calls.get(name)!;
        const attempt = `${name}#${call.retries}`;
        if (kind === "first") {
            call.firstAt = now + travel / 2;
            this.placesOf(attempt).prefilled(attempt, now);
            return;
        }
        call.ended = true;
        this.take(this.placesOf(attempt).release(attempt, {}, now), now);
    }

    private at(at: number, act: (now: number) => void): void {
        let position = this.events.length;
        while (position > 0 && this.events[position - 1]!.at > at) {
            position -= 1;
        }
        this.events.splice(position, 0, { at, act });
    }
}
