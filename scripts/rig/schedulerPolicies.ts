import {
    type LoadReport,
    LocalScheduler,
    PoolScheduler,
    type Progress,
    type Scheduler,
    type SchedulerEvent,
    type SchedulerTuning,
    type SchedulingDecision,
    type SchedulingRequest,
    SeededRandomness,
} from "../../packages/basilpaddle/src/node/index.js";
import { Policy, type PolicyContext } from "./policy.js";

/** Milliseconds without an answer after which an entry daemon considers the scheduler unreachable. */
const unreachableTimeout = 350;
/** Milliseconds after which the lease of a lost scheduler is granted to another entry daemon. */
const failoverDelay = 4_200;
/** Milliseconds after which a new scheduler starts to schedule even if its state may be incomplete. */
const warmUpTimeout = 1_500;

/** Runs one scheduler in simulated time: schedules its ticks and delivers its decisions. */
class SchedulerDriver {
    private tickAt = Infinity;
    stopped = false;

    constructor(
        private readonly scheduler: Scheduler,
        private readonly context: PolicyContext,
        private readonly onDecision: (decision: SchedulingDecision) => void,
    ) {
        const { cluster } = context;
        this.step({ kind: "rules", rules: cluster.rules() });
        this.step({ kind: "engines", engines: cluster.view() });
        this.step({ kind: "sessions", open: cluster.sessions() });
    }

    step(event: SchedulerEvent): void {
        const { simulation } = this.context.cluster;
        if (this.stopped) {
            return;
        }
        for (const decision of this.scheduler.step(event, simulation.now)) {
            this.onDecision(decision);
        }
        const nextTickAt = this.scheduler.nextTickAt();
        if (nextTickAt !== undefined && nextTickAt < this.tickAt) {
            this.tickAt = nextTickAt;
            simulation.after(nextTickAt - simulation.now, () => {
                if (this.tickAt === nextTickAt) {
                    this.tickAt = Infinity;
                    this.step({ kind: "tick" });
                }
            });
        }
    }
}

/** Each entry daemon decides independently, with its own scheduler. */
export class LocalPolicy extends Policy {
    private readonly drivers: SchedulerDriver[];
    private readonly waiting = new Map<string, (decision: SchedulingDecision) => void>();

    constructor(protected readonly context: PolicyContext, create: (entry: number) => Scheduler) {
        super();
        this.drivers = context.cluster.entryAlive.map((_, entry) =>
            new SchedulerDriver(create(entry), context, decision => {
                this.waiting.get(decision.attempt)?.(decision);
                this.waiting.delete(decision.attempt);
            })
        );
    }

    override reserve(
        entry: number,
        request: SchedulingRequest,
        onDecision: (decision: SchedulingDecision) => void,
    ): void {
        this.waiting.set(request.attempt, onDecision);
        this.drivers[entry]!.step({ kind: "demand", demand: request });
    }

    override withdraw(entry: number, attempt: string): void {
        this.waiting.delete(attempt);
        this.drivers[entry]!.step({ kind: "withdraw", attempt });
    }

    override progress(entry: number, progress: Progress): void {
        this.drivers[entry]!.step({ kind: "progress", progress });
    }

    /** Every daemon receives every report; a real entry daemon receives only some of them. */
    override load(report: LoadReport): void {
        for (const driver of this.drivers) {
            driver.step({ kind: "load", report });
        }
    }

    override viewChanged(): void {
        const { cluster } = this.context;
        for (const driver of this.drivers) {
            driver.step({ kind: "engines", engines: cluster.view() });
            driver.step({ kind: "sessions", open: cluster.sessions() });
        }
    }
}

/** One scheduler for the pool, on the first entry daemon. Daemons that can't reach it fall back to deciding independently. */
export class PoolPolicy extends Policy {
    private driver: SchedulerDriver;
    private schedulerEntry = 0;
    private fence = 1;
    private readonly fallback: LocalPolicy;
    private readonly waiting = new Map<
        string,
        { readonly entry: number; readonly onDecision: (decision: SchedulingDecision) => void; readonly since: number; }
    >();

    constructor(
        private readonly context: PolicyContext,
        private readonly tuning: SchedulerTuning,
        override readonly hasPerfectInformation: boolean,
    ) {
        super();
        this.driver = this.createDriver(true);
        this.fallback = new LocalPolicy(
            context,
            entry =>
                LocalScheduler.create({
                    randomness: SeededRandomness.create(context.seed * 31 + entry),
                    divided: true,
                }),
        );
        if (!hasPerfectInformation) {
            this.monitorScheduler();
        }
    }

    override reserve(
        entry: number,
        request: SchedulingRequest,
        onDecision: (decision: SchedulingDecision) => void,
    ): void {
        const { simulation } = this.context.cluster;
        this.waiting.set(request.attempt, { entry, onDecision, since: simulation.now });
        if (this.isReachable(entry)) {
            this.send(entry, { kind: "demand", demand: request });
            simulation.after(unreachableTimeout, () => this.checkWaiting(entry, request));
            return;
        }
        if (this.unreachableFor() < unreachableTimeout) {
            simulation.after(unreachableTimeout - this.unreachableFor(), () => this.checkWaiting(entry, request));
            return;
        }
        this.scheduleLocally(entry, request);
    }

    override withdraw(entry: number, attempt: string): void {
        this.waiting.delete(attempt);
        this.send(entry, { kind: "withdraw", attempt });
        this.fallback.withdraw(entry, attempt);
    }

    override progress(entry: number, progress: Progress): void {
        this.send(entry, { kind: "progress", progress });
        this.fallback.progress(entry, progress);
    }

    override load(report: LoadReport): void {
        if (!this.context.cluster.entryPartitioned[this.schedulerEntry]) {
            this.driver.step({ kind: "load", report });
        }
        this.fallback.load(report);
    }

    override viewChanged(): void {
        const { cluster } = this.context;
        this.driver.step({ kind: "engines", engines: cluster.view() });
        this.driver.step({ kind: "sessions", open: cluster.sessions() });
        this.fallback.viewChanged();
    }

    private unreachableSince: number | undefined;

    private unreachableFor(): number {
        return this.unreachableSince === undefined ? 0 : this.context.cluster.simulation.now - this.unreachableSince;
    }

    private createDriver(warm: boolean): SchedulerDriver {
        const scheduler = PoolScheduler.create({ fence: this.fence++, warm, tuning: this.tuning });
        return new SchedulerDriver(scheduler, this.context, decision => this.deliverDecision(decision));
    }

    private isReachable(entry: number): boolean {
        const { entryAlive, entryPartitioned } = this.context.cluster;
        return entryAlive[this.schedulerEntry]!
            && (entry === this.schedulerEntry || (!entryPartitioned[this.schedulerEntry] && !entryPartitioned[entry]));
    }

    private networkDelay(entry: number): number {
        const { cluster } = this.context;
        return this.hasPerfectInformation || entry === this.schedulerEntry
            ? 0
            : cluster.networkDelay(cluster.entryDomain(entry), cluster.entryDomain(this.schedulerEntry));
    }

    private send(entry: number, event: SchedulerEvent): void {
        if (this.isReachable(entry)) {
            const { driver } = this;
            this.context.cluster.simulation.after(this.networkDelay(entry), () => driver.step(event));
        }
    }

    private deliverDecision(decision: SchedulingDecision): void {
        const waiting = this.waiting.get(decision.attempt);
        if (waiting === undefined || !this.isReachable(waiting.entry)) {
            return;
        }
        this.context.cluster.simulation.after(this.networkDelay(waiting.entry), () => {
            if (this.waiting.delete(decision.attempt)) {
                waiting.onDecision(decision);
            }
        });
    }

    /** Falls back to the daemon's own scheduler if the request still waits and the pool's scheduler is unreachable. */
    private checkWaiting(entry: number, request: SchedulingRequest): void {
        if (!this.waiting.has(request.attempt)) {
            return;
        }
        if (this.isReachable(entry)) {
            this.context.cluster.simulation.after(unreachableTimeout, () => this.checkWaiting(entry, request));
            return;
        }
        this.scheduleLocally(entry, request);
    }

    private scheduleLocally(entry: number, request: SchedulingRequest): void {
        const waiting = this.waiting.get(request.attempt);
        this.waiting.delete(request.attempt);
        if (waiting !== undefined) {
            const elapsed = this.context.cluster.simulation.now - waiting.since;
            const firstTokenWithin = request.firstTokenWithin - elapsed;
            const deadlineWithin = Math.max(1, request.deadlineWithin - elapsed);
            this.fallback.reserve(entry, { ...request, firstTokenWithin, deadlineWithin }, waiting.onDecision);
        }
    }

    /** Checks whether the scheduler's daemon was lost, and fails over to another one after the lease has expired. */
    private monitorScheduler(): void {
        const { cluster } = this.context;
        cluster.simulation.after(50, () => this.monitorScheduler());
        const lost = !cluster.entryAlive[this.schedulerEntry] || cluster.entryPartitioned[this.schedulerEntry]!;
        if (!lost || this.unreachableSince !== undefined) {
            return;
        }
        this.unreachableSince = cluster.simulation.now;
        cluster.simulation.after(failoverDelay, () => this.failOver());
    }

    private failOver(): void {
        const { cluster } = this.context;
        this.driver.stopped = true;
        this.schedulerEntry = cluster.entryAlive.findIndex((alive, entry) => alive && !cluster.entryPartitioned[entry]);
        this.unreachableSince = undefined;
        this.driver = this.createDriver(false);
        const { driver } = this;
        for (const [entry, alive] of cluster.entryAlive.entries()) {
            if (alive && !cluster.entryPartitioned[entry]) {
                cluster.simulation.after(5, () => {
                    for (const allocation of this.context.allocations(entry)) {
                        driver.step({ kind: "holding", holding: allocation });
                    }
                });
            }
        }
        cluster.simulation.after(warmUpTimeout, () => driver.step({ kind: "warm" }));
    }
}
