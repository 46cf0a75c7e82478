import { type DirectoryWatcher, EnginePlaces, type InstanceTable, placingAlone } from "../../coordination/index.js";
import {
    type EngineRule,
    type PlaceDecision,
    type PlaceDemand,
    type PlaceEnd,
    type ServerCalls,
} from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { PlacingLeader } from "./placingLeader.js";

/** Milliseconds for which a demand waits alone before a leader may have it. */
const aloneTime = 300;
/** Milliseconds between two questions whether the leader that gave no answer is there again. */
const probeInterval = 300;
/**
 * Milliseconds that a demand waits for the first leader after this gateway's start, and between two looks. After a loss
 * of power everywhere gateways know all engines before a leader is elected, and have a backlog; each would place it alone,
 * at the same prefill engines.
 */
const firstLeaderPatience = 600;
const firstLeaderPoll = 20;
/** Milliseconds after the start in which that may happen: by then directories have loaded and voted, or can't. */
const firstLeaderWithin = 3_000;
/** Milliseconds after which a caller should come back who can't be placed. */
const comeBackIn = 500;
/** Milliseconds between two lists of what is held. */
const listInterval = 1_000;
/** Milliseconds between two accounts of calls to plain services: a server that hangs is known to all within a second. */
const callsInterval = 500;
/** Milliseconds between two looks at what waits for a place that is decided alone. */
const tickInterval = 25;

/** A place at engines, and how it came about. */
export type Place = Extract<PlaceDecision, { kind: "placed"; }> & { readonly by: "leader" | "alone"; };
/** A place, its refusal, or undefined where the caller went meanwhile. */
export type Reservation = Place | Extract<PlaceDecision, { kind: "refused"; }> | undefined;

type Held = { readonly demand: PlaceDemand; readonly decode: string; };
type Settle = (decision: PlaceDecision) => void;

/** What places are asked with. */
export type PlacesClientOptions = {
    readonly name: string;
    readonly watcher: DirectoryWatcher;
    readonly instances: InstanceTable;
    readonly engineRule: (service: string) => EngineRule | undefined;
    /** How calls to plain services went since it was last asked. */
    readonly calls: () => readonly ServerCalls[];
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * Asks the leading directory for places at engines. While no leader answers, this gateway places alone within its part
 * of every engine: callers who would wait for an election are served, and the parts of all gateways together still fit.
 */
export class PlacesClient {
    private readonly held = new Map<string, Held>();
    private readonly alone = new Map<string, EnginePlaces>();
    private readonly aloneWaiting = new Map<string, Settle>();
    private readonly cancels: (() => void)[] = [];
    private readonly leader: PlacingLeader;
    private hadLeader = false;
    private listed = false;

    private readonly startedAt: number;

    private constructor(private readonly options: PlacesClientOptions) {
        const { name, watcher, clock, logger } = options;
        this.startedAt = clock.monotonic();
        this.leader = PlacingLeader.create({ name, watcher, clock, logger, onRegained: () => this.list() });
        this.every(listInterval, () => this.list());
        this.every(callsInterval, () => this.tellCalls());
        this.every(tickInterval, () => this.reviewAlone());
        this.every(probeInterval, () => void this.leader.probe());
    }

    static create(options: PlacesClientOptions): PlacesClient {
        return new PlacesClient(options);
    }

    /** Asks until there is a decision. When the signal aborts, the demand is withdrawn. */
    async reserve(demand: PlaceDemand, signal: AbortSignal): Promise<Reservation> {
        const { clock } = this.options;
        const askedAt = clock.monotonic();
        while (!signal.aborted) {
            const passed = clock.monotonic() - askedAt;
            if (passed > demand.patienceWithin) {
                const reason = "no decision came within the caller's patience";
                this.leader.tell({ kind: "withdraw", attempt: demand.attempt });
                return { kind: "refused", attempt: demand.attempt, reason, comeBackIn };
            }
            const current = {
                ...demand,
                targetWithin: demand.targetWithin - passed,
                patienceWithin: demand.patienceWithin - passed,
            };
            if (this.awaitsFirstLeader() && passed < firstLeaderPatience) {
                await new Promise<void>(resolve => clock.after(firstLeaderPoll, resolve));
                continue;
            }
            const answer = this.leader.mayAnswer() ? await this.leader.ask(current) : undefined;
            if (signal.aborted) {
                break;
            }
            if (answer?.kind === "decided") {
                return this.take(demand, answer.decision, "leader");
            }
            const alone = answer === undefined ? await this.reserveAlone(current, signal) : "waiting";
            if (alone !== "waiting") {
                return alone;
            }
        }
        this.leader.tell({ kind: "withdraw", attempt: demand.attempt });
        return undefined;
    }

    /** Notes that the prompt of an attempt was read. */
    prefilled(attempt: string): void {
        this.leader.tell({ kind: "prefilled", attempt });
        this.alone.forEach(pool => pool.prefilled(attempt, this.options.clock.monotonic()));
    }

    /** Gives a place back. */
    release(attempt: string, end: PlaceEnd): void {
        this.held.delete(attempt);
        this.leader.tell({ kind: "release", attempt, end });
        const now = this.options.clock.monotonic();
        this.alone.forEach(pool => this.settleAlone(pool.release(attempt, end, now)));
    }

    /** Tells the leader that an incarnation has ended, so that it places nothing there and tells all others. */
    reportEnded(instance: string): void {
        this.leader.tell({ kind: "ended", instance });
    }

    /** Asks the leader for a repeat beyond this gateway's part of a service's allowance. */
    borrowRepeat(service: string): Promise<boolean> {
        return this.leader.borrowRepeat(service);
    }

    /** Stops. */
    close(): void {
        this.cancels.forEach(cancel => cancel());
    }

    private take(demand: PlaceDemand, decision: PlaceDecision, by: Place["by"]): Reservation {
        if (decision.kind === "refused") {
            return decision;
        }
        this.held.set(demand.attempt, { demand, decode: decision.decode });
        return { ...decision, by };
    }

    private awaitsFirstLeader(): boolean {
        const { watcher, clock } = this.options;
        this.hadLeader ||= watcher.leader() !== undefined;
        return !this.hadLeader && clock.monotonic() - this.startedAt < firstLeaderWithin;
    }

    /**
     * Places a demand alone; gives it back as waiting after a while, since by then a leader may place again. Without that
     * whatever waited when a leader was elected waited on for a place within this gateway's part alone: after a loss of
     * power everywhere some first events came a second later than they had to.
     */
    private reserveAlone(demand: PlaceDemand, signal: AbortSignal): Promise<Reservation | "waiting"> {
        const pool = this.alonePool(demand.service);
        if (pool === undefined) {
            const reason = "no rule of its engines is known";
            return Promise.resolve({ kind: "refused", attempt: demand.attempt, reason, comeBackIn });
        }
        return new Promise(resolve => {
            const withdraw = (outcome: undefined | "waiting"): void => {
                cancel();
                signal.removeEventListener("abort", gone);
                this.aloneWaiting.delete(demand.attempt);
                this.settleAlone(pool.withdraw(demand.attempt, this.options.clock.monotonic()));
                resolve(outcome);
            };
            const gone = (): void => withdraw(undefined);
            const cancel = this.options.clock.after(aloneTime, () => withdraw("waiting"));
            signal.addEventListener("abort", gone);
            this.aloneWaiting.set(demand.attempt, decision => {
                cancel();
                signal.removeEventListener("abort", gone);
                resolve(this.take(demand, decision, "alone"));
            });
            this.settleAlone(pool.ask(demand, this.options.clock.monotonic()));
        });
    }

    private alonePool(service: string): EnginePlaces | undefined {
        const rule = this.options.engineRule(service);
        if (rule === undefined) {
            return undefined;
        }
        let pool = this.alone.get(service);
        if (pool === undefined) {
            pool = EnginePlaces.create({ ...placingAlone, share: 1 });
            this.alone.set(service, pool);
        }
        const now = this.options.clock.monotonic();
        pool.setShare(1 / this.options.watcher.gateways());
        pool.setEngines(this.options.instances.all().filter(instance => instance.service === service), rule);
        const held = [...this.held.values()].filter(({ demand }) => demand.service === service);
        this.settleAlone(pool.reconcile(this.options.name, held, 0, now));
        return pool;
    }

    private reviewAlone(): void {
        const now = this.options.clock.monotonic();
        this.alone.forEach(pool => this.settleAlone(pool.review(now)));
    }

    private settleAlone(decisions: readonly PlaceDecision[]): void {
        for (const decision of decisions) {
            const settle = this.aloneWaiting.get(decision.attempt);
            this.aloneWaiting.delete(decision.attempt);
            settle?.(decision);
        }
    }

    private list(): void {
        if (this.held.size > 0 || this.listed) {
            this.leader.tell({ kind: "holdings", gateway: this.options.name, held: [...this.held.values()] });
        }
        this.listed = this.held.size > 0;
    }

    private tellCalls(): void {
        const calls = this.options.calls();
        if (calls.length > 0) {
            this.leader.tell({ kind: "calls", calls: [...calls] });
        }
    }

    private every(interval: number, act: () => void): void {
        let cancel = (): void => undefined;
        const turn = (): void => {
            act();
            cancel = this.options.clock.after(interval, turn);
        };
        cancel = this.options.clock.after(interval, turn);
        this.cancels.push(() => cancel());
    }
}
