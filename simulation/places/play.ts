import { EnginePlaces, placingAlone, placingForAll } from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { Announced, PlaceDecision, PlaceDemand } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { fractionOf } from "../../packages/basilpaddle/src/node/utils/index.js";
import { EmulatedDecode, EmulatedPrefill, type EngineFigures } from "./engines.js";
import { drawRequests, type EmulatedRequest, type Workload, worth } from "./workload.js";

/** A pool of engines. */
export type EmulatedPool = {
    readonly prefill: number;
    readonly decode: number;
    readonly figures: EngineFigures;
    /** How many times longer each third engine takes: one pool's hosts differ. */
    readonly slowThird: number;
    /** Gateways that place alone, each within its part of every engine. Undefined where a leader places for all. */
    readonly gateways?: number;
};

/** What became of all requests. */
export type PoolOutcome = {
    readonly requests: number;
    /** Parts of the requests: first event in time, late, never. */
    readonly inTime: number;
    readonly late: number;
    readonly unserved: number;
    /** Worth earned of what was owed; late answers count a fifth. */
    readonly worth: number;
    /** Tokens read again or in vain, of all prompt tokens. */
    readonly readAgain: number;
    /** Runs that engines turned away, for each request. */
    readonly turnedAway: number;
    /** Parts in time by the third of the requests with the shortest answers, the middle and the longest. */
    readonly bySize: readonly [number, number, number];
    /** The same by prompts: the shorter half, the next four tenths, and the longest tenth. */
    readonly byPrompt: readonly [number, number, number];
};

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
const lateWorth = 0.2;
const failureDomains = ["a", "b", "c"];

type Call = {
    readonly request: EmulatedRequest;
    retries: number;
    firstAt: number | undefined;
    ended: boolean;
    /** When its prompt was read, while the result is kept. */
    readAt: number | undefined;
    /** Engines that turned it away. */
    avoid: string[];
};

/** Plays a workload on a pool whose places are decided by the product's own code. */
export function playPool(pool: EmulatedPool, workload: Workload, seed: number): PoolOutcome {
    return new Play(pool, workload, seed).play();
}

class Play {
    /** One for each gateway that places. */
    private readonly places: readonly EnginePlaces[];
    private readonly prefills = new Map<string, EmulatedPrefill>();
    private readonly decodes = new Map<string, EmulatedDecode>();
    private readonly calls = new Map<string, Call>();
    /** What happens at which time, in order of times. */
    private readonly events: { readonly at: number; readonly act: (now: number) => void; }[] = [];
    private readonly requests: readonly EmulatedRequest[];
    private turnedAway = 0;
    private wasted = 0;

    constructor(private readonly pool: EmulatedPool, private readonly workload: Workload, seed: number) {
        this.requests = drawRequests(workload, seed);
        const { gateways } = pool;
        const tuning = gateways === undefined ? placingForAll : { ...placingAlone, share: 1 / gateways };
        this.places = Array.from({ length: gateways ?? 1 }, () => EnginePlaces.create(tuning));
        const { cacheTokens, slots, handleLife } = pool.figures;
        const engines = this.announce();
        this.places.forEach(places => {
            places.setEngines(engines, { cacheTokens, slots, handleLife, stageSwitch: 6_000 });
        });
        this.requests.forEach(request => this.at(request.at, now => this.ask(request, now)));
    }

    play(): PoolOutcome {
        const end = this.workload.length + deadline;
        for (let now = 0; now < end; now += tick) {
            while (this.events.length > 0 && this.events[0]!.at <= now) {
                this.events.shift()!.act(now);
            }
            this.decodes.forEach(engine =>
                engine.pass(tick).forEach(({ name, kind }) => this.progress(name, kind, now))
            );
            this.places.forEach(places => this.take(places.review(now), now));
        }
        return this.outcome();
    }

    /** What places an attempt: each attempt comes to a gateway of its own. */
    private placesOf(attempt: string): EnginePlaces {
        return this.places[Math.floor(fractionOf(attempt) * this.places.length)]!;
    }

    private announce(): Announced[] {
        const { prefill, decode, figures, slowThird } = this.pool;
        const announced: Announced[] = [];
        for (let number = 0; number < prefill + decode; number++) {
            const stage = number < prefill ? "prefill" : "decode";
            const id = `${stage}-${number}`;
            const slowness = number % 3 === 2 ? slowThird : 1;
            announced.push({
                id,
                service: "pool",
                address: `10.0.0.${number}:80`,
                failureDomain: failureDomains[Math.floor(number / 3) % failureDomains.length]!,
                slots: figures.slots,
                state: "ready",
                sequence: 1,
                stage,
            });
            if (stage === "prefill") {
                this.prefills.set(id, new EmulatedPrefill(figures, slowness));
            }
            else {
                this.decodes.set(id, new EmulatedDecode(figures, slowness));
            }
        }
        return announced;
    }

    private ask(request: EmulatedRequest, now: number): void {
        const call = this.calls.get(request.name)
            ?? { request, retries: 0, firstAt: undefined, ended: false, readAt: undefined, avoid: [] };
        this.calls.set(request.name, call);
        this.askPlaces(call, now);
    }

    private askPlaces(call: Call, now: number): void {
        const demand = this.demand(call, now);
        this.take(this.placesOf(demand.attempt).ask(demand, now), now);
    }

    private demand({ request, retries, avoid }: Call, now: number): PlaceDemand {
        const { target } = this.workload;
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

    private placed(call: Call, decision: Extract<PlaceDecision, { kind: "placed"; }>, now: number): void {
        const { promptTokens } = call.request;
        const isFresh = call.readAt !== undefined && now - call.readAt < this.pool.figures.handleLife * freshPart;
        const readsItself = decision.prefill === undefined || call.avoid.length >= mostOffers;
        if (isFresh || readsItself) {
            this.at(now + travel / 2, then => this.run(call, decision, isFresh ? 0 : promptTokens, then));
            return;
        }
        this.noteWaste(call);
        const readAt = this.prefills.get(decision.prefill!)!.read(promptTokens, now + travel / 2);
        this.at(readAt + travel / 2, then => {
            call.readAt = then;
            this.placesOf(decision.attempt).prefilled(decision.attempt, then);
            this.run(call, decision, 0, then);
        });
    }

    private run(
        call: Call,
        decision: Extract<PlaceDecision, { kind: "placed"; }>,
        unread: number,
        now: number,
    ): void {
        const { name, promptTokens, answerTokens } = call.request;
        if (this.decodes.get(decision.decode)!.begin(name, promptTokens, answerTokens, unread)) {
            this.noteWaste(unread > 0 ? call : undefined);
            return;
        }
        this.turnedAway += 1;
        call.avoid.push(decision.decode);
        this.take(
            this.placesOf(decision.attempt).release(decision.attempt, {
                turnedAwayBy: decision.decode,
                readBy: decision.prefill,
            }, now),
            now,
        );
        if (call.avoid.length >= mostTurns) {
            this.noteWaste(call);
            this.refused(call, turnedAwayComeBack, now);
            return;
        }
        this.askPlaces(call, now);
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

    private outcome(): PoolOutcome {
        const { workload, requests } = this;
        const calls = [...this.calls.values()];
        const isInTime = (call: Call): boolean => {
            return call.firstAt !== undefined && call.firstAt - call.request.at <= workload.target;
        };
        const part = (some: readonly Call[], of: readonly Call[]): number => some.length / Math.max(1, of.length);
        const served = calls.filter(call => call.firstAt !== undefined);
        const value = (call: Call): number => {
            return worth(call.request, workload) * (isInTime(call) ? 1 : call.firstAt === undefined ? 0 : lateWorth);
        };
        const bySize = [...calls].sort((one, other) => one.request.answerTokens - other.request.answerTokens);
        const third = Math.ceil(calls.length / 3);
        const sizes = [0, 1, 2].map(number => bySize.slice(number * third, (number + 1) * third));
        const [short, middle, long] = sizes.map(some => part(some.filter(isInTime), some)) as [number, number, number];
        const byPrompt = [...calls].sort((one, other) => one.request.promptTokens - other.request.promptTokens);
        const cut = (from: number, to: number): Call[] => byPrompt.slice(from * calls.length, to * calls.length);
        const prompts = [cut(0, 0.5), cut(0.5, 0.9), cut(0.9, 1)].map(some => part(some.filter(isInTime), some));
        const readAgain = [...this.decodes.values()].reduce((sum, engine) => sum + engine.readAgain, 0);
        return {
            requests: requests.length,
            inTime: part(calls.filter(isInTime), calls),
            late: part(served.filter(call => !isInTime(call)), calls),
            unserved: 1 - part(served, calls),
            worth: calls.reduce((sum, call) => sum + value(call), 0)
                / calls.reduce((sum, call) => sum + worth(call.request, workload), 0),
            readAgain: (readAgain + this.wasted) / requests.reduce((sum, request) => sum + request.promptTokens, 0),
            turnedAway: this.turnedAway / requests.length,
            bySize: [short, middle, long],
            byPrompt: prompts as [number, number, number],
        };
    }
}
