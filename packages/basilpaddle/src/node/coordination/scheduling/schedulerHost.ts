import type {
    EngineHolding,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
    View,
} from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { enginesOf, rulesOf } from "./poolView.js";
import type { Scheduler, SchedulerEvent } from "./scheduler.js";

/** Time after which a new scheduler counts as warm, even if some daemons or engines haven't answered. */
const warmUpTimeoutMilliseconds = 1_500;

/** Interval of the stall check, and the delay beyond it after which other daemons have begun to place requests locally. */
const stallCheckIntervalMilliseconds = 100;
const stallLimitMilliseconds = 150;

type PendingReservation = {
    readonly settle: (decision: SchedulingDecision | undefined) => void;
};

/** Queries daemons for their holdings in the pool, and engines for their load. */
export type PoolSurvey = {
    readonly holdings: () => Promise<readonly EngineHolding[]>[];
    readonly reports: () => Promise<LoadReport | undefined>[];
};

/** Runs a scheduler of a pool: sets its timers, and resolves pending reservations with its decisions. */
export class SchedulerHost {
    private readonly pending = new Map<string, PendingReservation>();
    private cancelTick: (() => void) | undefined;
    private tickAt = Infinity;
    private closed = false;
    private lastStallCheckAt: number;
    private cancelStallCheck: (() => void) | undefined;

    private constructor(
        readonly pool: string,
        readonly fence: number,
        private readonly clock: Clock,
        private readonly scheduler: Scheduler,
        private readonly logger: Logger | undefined,
    ) {
        this.lastStallCheckAt = clock.monotonic();
        this.scheduleStallCheck();
    }

    static create(options: {
        readonly pool: string;
        readonly fence: number;
        readonly view: View;
        readonly clock: Clock;
        readonly scheduler: Scheduler;
        /** Omitted if no earlier assignments have to be recovered. */
        readonly survey?: PoolSurvey;
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

    /** Waits for the decision; resolves to undefined when this host closes first or the signal aborts. */
    reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision | undefined> {
        const { attempt } = request;
        if (this.closed || signal.aborted) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const withdraw = (): void => this.withdraw(attempt);
            const settle = (decision: SchedulingDecision | undefined): void => {
                this.pending.delete(attempt);
                signal.removeEventListener("abort", withdraw);
                resolve(decision);
            };
            this.pending.get(attempt)?.settle(undefined);
            this.pending.set(attempt, { settle });
            signal.addEventListener("abort", withdraw);
            this.step({ kind: "demand", demand: request });
        });
    }

    /** Withdraws a queued request, or releases its assignment. */
    withdraw(attempt: string): void {
        this.step({ kind: "withdraw", attempt });
        this.pending.get(attempt)?.settle(undefined);
    }

    /** Applies a holding that a daemon placed locally. */
    applyHolding(holding: EngineHolding): void {
        this.step({ kind: "holding", holding });
    }

    /** Finds another decode engine for an attempt that its engine rejected as full. */
    move(holding: EngineHolding): string | undefined {
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

    /** Applies the newest view. */
    follow(view: View): void {
        if (view.configuration.declaration.pools[this.pool] === undefined) {
            return;
        }
        this.step({ kind: "rules", rules: rulesOf(view, this.pool) });
        this.step({ kind: "engines", engines: enginesOf(view, this.pool) });
        this.step({ kind: "sessions", open: Object.values(view.sessions).map(open => open.session) });
    }

    /** Slots held and requests queued, as tracked by the scheduler. */
    schedulerStatus(): ReturnType<Scheduler["status"]> {
        return this.scheduler.status();
    }

    /** Stops the scheduler; pending reservations resolve to undefined. */
    close(): void {
        this.closed = true;
        this.cancelTick?.();
        this.cancelStallCheck?.();
        for (const waiting of [...this.pending.values()]) {
            waiting.settle(undefined);
        }
    }

    private async warmUp(survey: PoolSurvey): Promise<void> {
        let cancelLimit = (): void => {};
        const limit = new Promise<void>(resolve => {
            cancelLimit = this.clock.after(warmUpTimeoutMilliseconds, resolve);
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
        this.logger?.info("scheduler of the pool is warm", {
            pool: this.pool,
            fence: this.fence,
            ...known,
            took: Math.round(this.clock.monotonic() - since),
        });
    }

    private scheduleStallCheck(): void {
        this.cancelStallCheck = this.clock.after(stallCheckIntervalMilliseconds, () => {
            this.detectStall();
            this.lastStallCheckAt = this.clock.monotonic();
            this.scheduleStallCheck();
        });
    }

    /**
     * A host that was frozen or overloaded continues as if no time had passed, and would assign slots that others took
     * meanwhile.
     */
    private detectStall(): void {
        const now = this.clock.monotonic();
        const elapsed = now - this.lastStallCheckAt;
        if (elapsed <= stallCheckIntervalMilliseconds + stallLimitMilliseconds) {
            return;
        }
        this.lastStallCheckAt = now;
        this.logger?.warn("scheduler stalled", { pool: this.pool, milliseconds: Math.round(elapsed) });
        this.scheduler.step({ kind: "stalled" }, now);
    }

    private step(event: SchedulerEvent): void {
        if (this.closed) {
            return;
        }
        this.detectStall();
        for (const decision of this.scheduler.step(event, this.clock.monotonic())) {
            const waiting = this.pending.get(decision.attempt);
            if (waiting === undefined && decision.kind === "assigned") {
                // No reservation is pending for it; unless withdrawn, its engines would stay reserved until the session ends.
                this.step({ kind: "withdraw", attempt: decision.attempt });
                continue;
            }
            waiting?.settle(decision);
        }
        this.scheduleTick();
    }

    private scheduleTick(): void {
        const wakeAt = this.scheduler.nextTickAt() ?? Infinity;
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
