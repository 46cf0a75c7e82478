import type { Decision, Demand, Holding, LoadReport, Progress, View } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { Scheduler, SchedulerEvent } from "./scheduler.js";
import { enginesOf, rulesOf } from "./viewOfPool.js";

/** Milliseconds after which a new scheduler trusts its picture, whoever hasn't answered by then. */
const warmLimit = 1_500;

/** Milliseconds between two beats, and beyond them without one after which other daemons have begun to choose alone. */
const beatInterval = 100;
const stallLimit = 150;

type Waiting = {
    readonly settle: (decision: Decision | undefined) => void;
};

/** Asks everybody who may hold something in the pool. */
export type Survey = {
    readonly holdings: () => Promise<readonly Holding[]>[];
    readonly reports: () => Promise<LoadReport | undefined>[];
};

/** Runs a scheduler of a pool: sets its ticks, and hands its decisions to those who wait. */
export class SchedulerHost {
    private readonly waiting = new Map<string, Waiting>();
    private cancelTick: (() => void) | undefined;
    private tickAt = Infinity;
    private closed = false;
    private beatAt: number;
    private cancelBeat: (() => void) | undefined;

    private constructor(
        readonly pool: string,
        readonly fence: number,
        private readonly clock: Clock,
        private readonly scheduler: Scheduler,
        private readonly logger: Logger | undefined,
    ) {
        this.beatAt = clock.monotonic();
        this.beatLater();
    }

    static create(options: {
        readonly pool: string;
        readonly fence: number;
        readonly view: View;
        readonly clock: Clock;
        readonly scheduler: Scheduler;
        /** Left out where nothing of the time before is to be learnt. */
        readonly survey?: Survey;
        readonly logger?: Logger;
    }): SchedulerHost {
        const { pool, fence, clock, scheduler, logger } = options;
        const host = new SchedulerHost(pool, fence, clock, scheduler, logger);
        host.follow(options.view);
        if (options.survey !== undefined) {
            void host.warmUp(options.survey);
        }
        return host;
    }

    /** Waits for the decision; undefined when this host stops first or the signal aborts. */
    reserve(demand: Demand, signal: AbortSignal): Promise<Decision | undefined> {
        const { attempt } = demand;
        if (this.closed || signal.aborted) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const withdraw = (): void => this.withdraw(attempt);
            const settle = (decision: Decision | undefined): void => {
                this.waiting.delete(attempt);
                signal.removeEventListener("abort", withdraw);
                resolve(decision);
            };
            this.waiting.get(attempt)?.settle(undefined);
            this.waiting.set(attempt, { settle });
            signal.addEventListener("abort", withdraw);
            this.step({ kind: "demand", demand });
        });
    }

    /** Takes a demand back, or frees what it was given. */
    withdraw(attempt: string): void {
        this.step({ kind: "withdraw", attempt });
        this.waiting.get(attempt)?.settle(undefined);
    }

    /** Takes in what a daemon took without this scheduler. */
    taken(holding: Holding): void {
        this.step({ kind: "holding", holding });
    }

    /** Finds another decode engine for an attempt whose engine has proved that it is full. */
    move(holding: Holding): string | undefined {
        return this.closed ? undefined : this.scheduler.move(holding, this.clock.monotonic());
    }

    progress(progress: readonly Progress[]): void {
        for (const one of progress) {
            this.step({ kind: "progress", progress: one });
        }
    }

    load(reports: readonly LoadReport[]): void {
        for (const report of reports) {
            this.step({ kind: "load", report });
        }
    }

    /** Takes in the newest view. */
    follow(view: View): void {
        if (view.configuration.declaration.pools[this.pool] === undefined) {
            return;
        }
        this.step({ kind: "rules", rules: rulesOf(view, this.pool) });
        this.step({ kind: "engines", engines: enginesOf(view, this.pool) });
        this.step({ kind: "sessions", open: Object.values(view.sessions).map(open => open.session) });
    }

    /** Slots held and demands waiting, by the scheduler's own account. */
    standing(): ReturnType<Scheduler["standing"]> {
        return this.scheduler.standing();
    }

    /** Stops; those who wait are told that this is not the scheduler any more. */
    close(): void {
        this.closed = true;
        this.cancelTick?.();
        this.cancelBeat?.();
        for (const waiting of [...this.waiting.values()]) {
            waiting.settle(undefined);
        }
    }

    private async warmUp(survey: Survey): Promise<void> {
        let cancelLimit = (): void => {};
        const limit = new Promise<void>(resolve => {
            cancelLimit = this.clock.after(warmLimit, resolve);
        });
        const since = this.clock.monotonic();
        const known = { holdings: 0, reports: 0 };
        const holdings = survey.holdings().map(async answer => {
            for (const holding of await answer) {
                known.holdings++;
                this.step({ kind: "holding", holding });
            }
        });
        const reports = survey.reports().map(async answer => {
            const report = await answer;
            known.reports += report === undefined ? 0 : 1;
            this.load(report === undefined ? [] : [report]);
        });
        await Promise.race([Promise.allSettled([...holdings, ...reports]), limit]);
        cancelLimit();
        this.step({ kind: "warm" });
        this.logger?.info("knows what a pool's attempts hold", {
            pool: this.pool,
            fence: this.fence,
            ...known,
            took: Math.round(this.clock.monotonic() - since),
        });
    }

    private beatLater(): void {
        this.cancelBeat = this.clock.after(beatInterval, () => {
            this.noteStall();
            this.beatAt = this.clock.monotonic();
            this.beatLater();
        });
    }

    /** A host that was frozen or overloaded goes on as if no time had passed, and would hand out what others took meanwhile. */
    private noteStall(): void {
        const now = this.clock.monotonic();
        const silent = now - this.beatAt;
        if (silent <= beatInterval + stallLimit) {
            return;
        }
        this.beatAt = now;
        this.logger?.warn("the scheduler stood still", { pool: this.pool, milliseconds: Math.round(silent) });
        this.scheduler.step({ kind: "stalled" }, now);
    }

    private step(event: SchedulerEvent): void {
        if (this.closed) {
            return;
        }
        this.noteStall();
        for (const decision of this.scheduler.step(event, this.clock.monotonic())) {
            const waiting = this.waiting.get(decision.attempt);
            if (waiting === undefined && decision.kind === "assigned") {
                // Nobody waits for it: without this its engines would stay reserved until the session ends.
                this.step({ kind: "withdraw", attempt: decision.attempt });
                continue;
            }
            waiting?.settle(decision);
        }
        this.plan();
    }

    private plan(): void {
        const wakeAt = this.scheduler.wakeAt() ?? Infinity;
        if (wakeAt >= this.tickAt || this.closed) {
            return;
        }
        this.cancelTick?.();
        this.tickAt = wakeAt;
        this.cancelTick = this.clock.after(Math.max(1, wakeAt - this.clock.monotonic()), () => {
            this.tickAt = Infinity;
            this.step({ kind: "tick" });
        });
    }
}
