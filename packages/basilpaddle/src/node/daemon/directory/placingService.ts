import {
    EnginePlaces,
    type InstanceTable,
    placingForAll,
    type RepeatBudgetRules,
    SharedRepeatBudget,
    type UsualRequest,
} from "../../coordination/index.js";
import type { Announced, PlaceDecision, Placing, PlacingAnswer, ServerCalls, Traffic } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/**
 * Milliseconds for which a question waits for its decision before its asker is told to ask again. By that answer gateways
 * tell a leader whose queue is long from one that is gone, and wait for it with each request until they know.
 */
const answerWithin = 100;
/** Milliseconds between two looks at what waits. */
const tickInterval = 25;
/** Milliseconds that a place must be old before a gateway's list that lacks it takes it back: the list may be older. */
const listGrace = 1_500;
type Waiter = (decision: PlaceDecision) => void;

/** What places are decided from. */
export type PlacingSources = {
    readonly instances: InstanceTable;
    readonly traffic: () => Traffic | undefined;
    /** Called with what a gateway tells of its calls to plain services. */
    readonly onCalls: (calls: readonly ServerCalls[]) => void;
    /** Called with an incarnation that a gateway found ended. */
    readonly onEnded: (instance: string) => void;
    /** The allowance for repeats that all gateways share; undefined where nothing of it is lent. */
    readonly repeats?: RepeatBudgetRules | undefined;
    /** Repeats of a service that gateways borrowed within the last window, as `WatchBook` tells it. */
    readonly borrowed?: (service: string) => number | undefined;
    readonly clock: Clock;
    readonly logger: Logger;
};

/** Places runs at engines for all gateways, while this directory leads; one `EnginePlaces` a service. */
export class PlacingService {
    private readonly pools = new Map<string, EnginePlaces>();
    private readonly serviceOfAttempt = new Map<string, string>();
    private readonly waiters = new Map<string, Waiter>();
    private readonly sharedRepeats = new Map<string, SharedRepeatBudget>();
    private readonly startedAt: number;
    private cancelTick: (() => void) | undefined;
    private closed = false;
    /** Whether engines or rules have changed since they were last taken over. */
    private isOutdated = true;

    private constructor(private readonly sources: PlacingSources, private readonly term: number) {
        this.startedAt = sources.clock.monotonic();
        this.schedule();
    }

    /** `term`: of the leadership under which it places; gateways tell by it whom they hold places from. */
    static create(sources: PlacingSources, term: number): PlacingService {
        return new PlacingService(sources, term);
    }

    /**
     * Notes that engines or rules have changed; they are taken over before the next decision, once however many changed.
     * Taking them over goes over every server of every pool: done for each of a thousand first heartbeats after a restart
     * it kept the leader busy, and done a little later it let runs be placed at engines that were known to have left.
     */
    noteChange(): void {
        this.isOutdated = true;
    }

    /** Answers what a gateway says. */
    async handle(message: Placing): Promise<PlacingAnswer | undefined> {
        const now = this.sources.clock.monotonic();
        this.bringUpToDate();
        switch (message.kind) {
            case "place":
                return this.place(message.demand, now);
            case "withdraw":
                this.deliver(this.poolOf(message.attempt)?.withdraw(message.attempt, now));
                this.serviceOfAttempt.delete(message.attempt);
                return undefined;
            case "prefilled":
                this.poolOf(message.attempt)?.prefilled(message.attempt, now);
                return undefined;
            case "release":
                this.deliver(this.poolOf(message.attempt)?.release(message.attempt, message.end, now));
                this.serviceOfAttempt.delete(message.attempt);
                return undefined;
            case "holdings":
                this.reconcile(message, now);
                return undefined;
            case "borrow":
                return { kind: "lent", granted: this.lend(message.service, message.gateway, now) };
            case "probe":
                return { kind: "leading", term: this.term };
            case "calls":
                this.sources.onCalls(message.calls);
                return undefined;
            case "ended":
                this.sources.onEnded(message.instance);
                return undefined;
        }
    }

    /** Drops what gateways held that are gone. */
    keepGateways(names: readonly string[]): void {
        const now = this.sources.clock.monotonic();
        for (const pool of this.pools.values()) {
            pool.gateways().filter(name => !names.includes(name)).forEach(name => {
                this.deliver(pool.dropGateway(name, now));
            });
        }
    }

    /** Notes that an engine was ordered to change its stage, and how long that may take. */
    noteOrdered({ id, service }: Announced, stage: Announced["stage"], within: number): void {
        this.pools.get(service)?.orderedTo(id, stage, this.sources.clock.monotonic() + within);
    }

    /** Demands of a service that wait for a place. */
    waiting(service: string): number {
        return this.pools.get(service)?.standing().waiting ?? 0;
    }

    /** What a request of the service takes of its pool; undefined until enough have been served under this leader. */
    usualRequest(service: string): UsualRequest | undefined {
        return this.pools.get(service)?.usualRequest();
    }

    /** What waits and what is held, over all pools. */
    standing(): { readonly waiting: number; readonly held: number; } {
        const standings = [...this.pools.values()].map(pool => pool.standing());
        return {
            waiting: standings.reduce((sum, standing) => sum + standing.waiting, 0),
            held: standings.reduce((sum, standing) => sum + standing.held, 0),
        };
    }

    /** Stops placing. */
    close(): void {
        this.closed = true;
        this.cancelTick?.();
        this.waiters.clear();
    }

    /** Takes engines and rules over where they have changed. */
    private bringUpToDate(): void {
        if (!this.isOutdated) {
            return;
        }
        this.isOutdated = false;
        const { instances, traffic } = this.sources;
        const all = instances.all();
        for (const service of traffic()?.services ?? []) {
            if (service.engine !== undefined) {
                const pool = this.pools.get(service.name) ?? EnginePlaces.create(placingForAll);
                this.pools.set(service.name, pool);
                pool.setEngines(all.filter(instance => instance.service === service.name), service.engine);
            }
        }
    }

    private async place(
        demand: Extract<Placing, { kind: "place"; }>["demand"],
        now: number,
    ): Promise<PlacingAnswer> {
        const pool = this.pools.get(demand.service);
        if (pool === undefined) {
            // A leader that has just begun may not have read its configuration yet.
            await new Promise<void>(resolve => this.sources.clock.after(answerWithin, resolve));
            return { kind: "waiting", term: this.term };
        }
        this.serviceOfAttempt.set(demand.attempt, demand.service);
        const answer = new Promise<PlacingAnswer>(resolve => {
            const cancel = this.sources.clock.after(answerWithin, () => {
                this.waiters.delete(demand.attempt);
                resolve({ kind: "waiting", term: this.term });
            });
            this.waiters.set(demand.attempt, decision => {
                cancel();
                resolve(this.decided(decision));
            });
        });
        this.deliver(pool.ask(demand, now));
        return answer;
    }

    private lend(service: string, gateway: string, now: number): boolean {
        const { repeats, logger } = this.sources;
        if (repeats === undefined) {
            return false;
        }
        const budget = this.sharedRepeats.get(service) ?? SharedRepeatBudget.create(repeats, this.startedAt);
        this.sharedRepeats.set(service, budget);
        const granted = budget.lend(now, this.sources.borrowed?.(service));
        logger.info("a gateway asked for a repeat", { gateway, service, granted });
        return granted;
    }

    private reconcile(message: Extract<Placing, { kind: "holdings"; }>, now: number): void {
        for (const [service, pool] of this.pools) {
            const held = message.held.filter(({ demand }) => demand.service === service);
            held.forEach(({ demand }) => this.serviceOfAttempt.set(demand.attempt, service));
            this.deliver(pool.reconcile(message.gateway, held, listGrace, now));
        }
    }

    private deliver(decisions: readonly PlaceDecision[] = []): void {
        for (const decision of decisions) {
            // A decision that nobody waits for now is given when its gateway asks again: the place is held for it.
            const waiter = this.waiters.get(decision.attempt);
            this.waiters.delete(decision.attempt);
            waiter?.(decision);
            if (decision.kind === "refused") {
                this.serviceOfAttempt.delete(decision.attempt);
            }
        }
    }

    private poolOf(attempt: string): EnginePlaces | undefined {
        return this.pools.get(this.serviceOfAttempt.get(attempt) ?? "");
    }

    private decided(decision: PlaceDecision): PlacingAnswer {
        return { kind: "decided", term: this.term, decision };
    }

    private schedule(): void {
        this.cancelTick = this.sources.clock.after(tickInterval, () => {
            if (!this.closed) {
                const now = this.sources.clock.monotonic();
                this.bringUpToDate();
                this.pools.forEach(pool => this.deliver(pool.review(now)));
                this.schedule();
            }
        });
    }
}
