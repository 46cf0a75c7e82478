import type {
    EngineAllocation,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
    View,
} from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { enginesOf, rulesOf } from "./poolView.js";
import type { Scheduler, SchedulerEvent } from "./scheduler.js";

/** Time after which the warm-up of a new scheduler ends even if some daemons or engines haven't answered. */
const warmUpTimeoutMilliseconds = 1_500;

/**
 * Interval of the stall check, and the delay beyond it after which other daemons may have begun to place requests
 * locally.
 */
const stallCheckIntervalMilliseconds = 100;
const stallLimitMilliseconds = 150;

type PendingReservation = {
    readonly settle: (decision: SchedulingDecision | undefined) => void;
};

/** Queries daemons for their allocations in the pool, and engines for their load. */
export type PoolSurvey = {
    readonly allocations: () => Promise<readonly EngineAllocation[]>[];
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
        /** Omitted if there are no earlier assignments to recover. */
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

    /** Waits for the scheduler's decision; resolves to undefined if this host closes or the signal aborts before. */
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

    /** Applies an allocation made by a daemon's local placement. */
    applyAllocation(allocation: EngineAllocation): void {
        this.step({ kind: "holding", holding: allocation });
    }

    /** Allocates another decode engine to an attempt whose engine rejected it because it was full. */
    move(allocation: EngineAllocation): string | undefined {
        return this.closed ? undefined : this.scheduler.move(allocation, this.clock.monotonic());
    }

    progress(progress: readonly Progress[]): void {
        for (const report of progress) {
            this.step({ kind: "progress", progress: report });
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

    /** Number of allocated slots and of queued requests, as tracked by the scheduler. */
    schedulerStatus(): ReturnType<Scheduler["status"]> {
        return this.scheduler.status();
    }

    /** Stops the scheduler; pending reservations resolve to undefined. */
    close(): void {
        this.closed = true;
        this.cancelTick?.();
        this.cancelStallCheck?.();
        for (const reservation of [...this.pending.values()]) {
            reservation.settle(undefined);
        }
    }

    private async warmUp(survey: PoolSurvey): Promise<void> {
        let cancelTimeout = (): void => {};
        const timeout = new Promise<void>(resolve => {
            cancelTimeout = this.clock.after(warmUpTimeoutMilliseconds, resolve);
        });
        const startedAt = this.clock.monotonic();
        const counts = { holdings: 0, reports: 0 };
        const allocations = survey.allocations().map(async answer => {
            for (const allocation of await answer) {
                counts.holdings++;
                this.step({ kind: "holding", holding: allocation });
            }
        });
        const reports = survey.reports().map(async answer => {
            const report = await answer;
            counts.reports += report === undefined ? 0 : 1;
            this.load(report === undefined ? [] : [report]);
        });
        await Promise.race([Promise.allSettled([...allocations, ...reports]), timeout]);
        cancelTimeout();
        this.step({ kind: "warm" });
        this.logger?.info("warm-up of the pool's scheduler finished", {
            pool: this.pool,
            fence: this.fence,
            ...counts,
            took: Math.round(this.clock.monotonic() - startedAt),
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
     * After a freeze or an overload the process continues as if no time had passed. Without this check the scheduler would
     * assign slots that other daemons have allocated in the meantime.
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
            const reservation = this.pending.get(decision.attempt);
            if (reservation === undefined && decision.kind === "assigned") {
                // No reservation is pending; unless withdrawn, the engines would stay allocated until the daemon's
                // session ends.
                this.step({ kind: "withdraw", attempt: decision.attempt });
                continue;
            }
            reservation?.settle(decision);
        }
        this.scheduleTick();
    }

    private scheduleTick(): void {
        const nextTickAt = this.scheduler.nextTickAt() ?? Infinity;
        if (nextTickAt >= this.tickAt || this.closed) {
            return;
        }
        this.cancelTick?.();
        this.tickAt = nextTickAt;
        this.cancelTick = this.clock.after(Math.max(1, nextTickAt - this.clock.monotonic()), () => {
            this.tickAt = Infinity;
            this.step({ kind: "tick" });
        });
    }
}
