import type { Announced, PlaceDemand } from "../../protocol/index.js";

/** Milliseconds to read one prompt token until prefills have shown their own. */
export const usualTokenTime = 0.035;
/** How much longer a decode engine takes to read a prompt, between the tokens of its runs. */
const selfReadFactor = 2.2;
/** Milliseconds that a prefill takes beside its tokens. */
const prefillOverhead = 10;
/** Weight of one prefill in the running mean. */
const step = 0.1;
/** Prefills that took more than this many times the expected were held up by something else. */
const strayFactor = 4;
/** Milliseconds that a full engine counts worse than an empty one: fuller batches take longer for each token. */
const crowdingWeight = 60;
/** Milliseconds that an engine pair in two failure domains counts worse: moves between domains take twice as long and are priced more. */
const otherDomainWeight = 80;
/** Milliseconds without work after a failure, at first and at the most. */
const firstPause = 800;
const mostPause = 8_000;
/** Milliseconds without work after a run was turned away: about the time in which a run of a full engine ends. */
const fullPause = 400;

/** Times the foreseen that a reading takes without anybody else's: hosts differ, and so do the ways there. */
const usualDelay = 1.5;
/**
 * How much longer than that readings take at one engine: bounds, the weight of one reading, and the milliseconds in which
 * what was seen counts half. Others may have an engine read as well: gateways that placed alone while there was no
 * leader. Just after an election readings take long though the leader sees short queues.
 */
const leastDelay = 1;
const mostDelay = 4;
const delayStep = 0.3;
const delayHalfLife = 2_000;

/** What may be promised of one engine. */
export type EngineState = { readonly tokens: number; readonly slots: number; };

/** A prompt that is being read, or waits for it. */
type Prefill = {
    readonly tokens: number;
    readonly addedAt: number;
    /** Milliseconds that it should have taken, behind those handed out before. */
    readonly foreseen: number;
};

/** What is believed of one engine: its announcement and what was handed out there. */
export class PlacedEngine {
    /** Tokens of KV cache promised here. */
    tokens = 0;
    private readonly held = new Map<string, number>();
    private readonly prefills = new Map<string, Prefill>();
    private prefillTokens = 0;
    private since = 0;
    private tokenTime = usualTokenTime;
    private failures = 0;
    private pausedUntil = 0;
    private delay = leastDelay;
    private delaySeenAt = 0;
    private ordered: { readonly stage: Announced["stage"]; readonly until: number; } | undefined;

    private constructor(public announced: Announced) {}

    static create(announced: Announced): PlacedEngine {
        return new PlacedEngine(announced);
    }

    get id(): string {
        return this.announced.id;
    }

    /** Whether new work may be sent there. */
    takesWork(now: number): boolean {
        return this.announced.state === "ready" && now >= this.pausedUntil && !this.changesStage(now);
    }

    /**
     * Notes that it was ordered to change its stage. It finishes the runs that it has and turns all others away, yet says until
     * the change is done that it is ready in its old stage; prompts of the runs that it turns away would be read
     * in vain. `until`: when the order counts as not carried out.
     */
    orderedTo(stage: Announced["stage"], until: number): void {
        this.ordered = { stage, until };
    }

    private changesStage(now: number): boolean {
        const { ordered } = this;
        return ordered !== undefined && now < ordered.until && this.announced.stage !== ordered.stage;
    }

    /** Whether a run fits. One that is larger than the share handed out here fits an engine without any. */
    hasRoom(demand: PlaceDemand, state: EngineState): boolean {
        if (this.held.size === 0) {
            return true;
        }
        return this.held.size < state.slots && this.tokens + demand.cacheTokens <= state.tokens;
    }

    /** How full it is, in milliseconds of disadvantage. */
    crowding(state: EngineState): number {
        return crowdingWeight * this.tokens / Math.max(1, state.tokens);
    }

    /** How far the KV cache would have to go, in milliseconds of disadvantage. */
    distance(decode: PlacedEngine): number {
        return this.announced.failureDomain === decode.announced.failureDomain ? 0 : otherDomainWeight;
    }

    /** Promises room for a run. */
    hold(attempt: string, tokens: number): void {
        this.held.set(attempt, tokens);
        this.tokens += tokens;
    }

    /** Frees a run's room. */
    release(attempt: string): void {
        const tokens = this.held.get(attempt);
        if (tokens !== undefined) {
            this.held.delete(attempt);
            this.tokens = this.held.size === 0 ? 0 : this.tokens - tokens;
        }
    }

    /** Notes a prompt handed out for reading. */
    addPrefill(attempt: string, tokens: number, now: number): void {
        const foreseen = this.readyIn(now) + this.readingTime(tokens);
        if (this.prefills.size === 0) {
            this.since = now;
        }
        this.prefills.set(attempt, { tokens, addedAt: now, foreseen });
        this.prefillTokens += tokens;
    }

    /** Notes that a prompt was read, and learns how long it took where nothing else was being read. */
    prefilled(attempt: string, now: number): void {
        const work = this.prefills.get(attempt);
        if (work !== undefined && this.prefills.size === 1 && work.addedAt === this.since && work.tokens > 0) {
            const seen = Math.max(0, now - work.addedAt - prefillOverhead) / work.tokens;
            if (seen < strayFactor * this.tokenTime) {
                this.tokenTime += step * (seen - this.tokenTime);
            }
        }
        if (work !== undefined) {
            this.noteDelay(work.foreseen, now - work.addedAt, now);
        }
        this.dropPrefill(attempt, now);
        this.succeeded();
    }

    /** Notes that a prompt isn't being read here any more. */
    dropPrefill(attempt: string, now: number): void {
        const work = this.prefills.get(attempt);
        if (work !== undefined) {
            this.prefills.delete(attempt);
            this.prefillTokens -= work.tokens;
            this.since = now;
        }
    }

    /** Milliseconds until the prompts handed out so far are likely read. */
    readyIn(now: number): number {
        const work = this.prefillTokens * this.tokenTime + this.prefills.size * prefillOverhead;
        return Math.max(0, this.since + work - now, this.prefills.size > 0 ? work / 2 : 0);
    }

    /** Milliseconds until a prompt would be read here, behind those handed out so far and what others have read here. */
    readIn(tokens: number, now: number): number {
        return (this.readyIn(now) + this.readingTime(tokens)) * this.currentDelay(now);
    }

    /** Milliseconds to read a prompt here, once its turn has come. */
    readingTime(tokens: number): number {
        return tokens * this.tokenTime + prefillOverhead;
    }

    /** Milliseconds until a decode engine would have read a prompt itself: at half the speed, after those it reads already. */
    readsItselfIn(tokens: number, now: number): number {
        return selfReadFactor * (this.readyIn(now) + this.readingTime(tokens));
    }

    /** Notes a failure. An engine whose link is stalled looks idle; without a pause it would get one run after another. */
    failed(now: number): void {
        if (now >= this.pausedUntil) {
            this.pausedUntil = now + Math.min(mostPause, firstPause * 2 ** this.failures);
            this.failures += 1;
        }
    }

    /** Notes that a run was turned away by this engine's fault: it is full, or its KV caches lapse. */
    turnedAway(now: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, now + fullPause);
    }

    /** Notes that work got on here. */
    succeeded(): void {
        this.failures = 0;
        this.pausedUntil = 0;
    }

    /** Notes how long a reading was foreseen to take, and how long it took. */
    private noteDelay(foreseen: number, taken: number, now: number): void {
        const seen = Math.min(mostDelay, Math.max(leastDelay, taken / (usualDelay * Math.max(1, foreseen))));
        const current = this.currentDelay(now);
        this.delay = current + delayStep * (seen - current);
        this.delaySeenAt = now;
    }

    private currentDelay(now: number): number {
        return leastDelay + (this.delay - leastDelay) * 0.5 ** ((now - this.delaySeenAt) / delayHalfLife);
    }
}
