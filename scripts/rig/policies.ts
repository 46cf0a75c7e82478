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

/** Milliseconds without an answer after which an entry daemon takes the scheduler as unreachable. */
const unreachableAfter = 350;
/** Milliseconds until a lost scheduler's lease is granted to another. */
const leaseAfter = 4_200;
/** Milliseconds after which a new scheduler trusts its picture at the latest. */
const warmAfter = 1_500;

/** Drives one scheduler in simulated time: sets its ticks and hands its decisions out. */
class Driven {
    private tickAt = Infinity;
    stopped = false;

    constructor(
        private readonly scheduler: Scheduler,
        private readonly context: PolicyContext,
        private readonly decided: (decision: SchedulingDecision) => void,
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
            this.decided(decision);
        }
        const wakeAt = this.scheduler.nextTickAt();
        if (wakeAt !== undefined && wakeAt < this.tickAt) {
            this.tickAt = wakeAt;
            simulation.after(wakeAt - simulation.now, () => {
                if (this.tickAt === wakeAt) {
                    this.tickAt = Infinity;
                    this.step({ kind: "tick" });
                }
            });
        }
    }
}

/** Entry daemons that choose alone, each with a scheduler of its own. */
export class AlonePolicy extends Policy {
    private readonly daemons: Driven[];
    private readonly waiting = new Map<string, (decision: SchedulingDecision) => void>();

    constructor(protected readonly context: PolicyContext, create: (entry: number) => Scheduler) {
        super();
        this.daemons = context.cluster.entryAlive.map((_, entry) =>
            new Driven(create(entry), context, decision => {
                this.waiting.get(decision.attempt)?.(decision);
                this.waiting.delete(decision.attempt);
            })
        );
    }

    override reserve(entry: number, demand: SchedulingRequest, decided: (decision: SchedulingDecision) => void): void {
        this.waiting.set(demand.attempt, decided);
        this.daemons[entry]!.step({ kind: "demand", demand });
    }

    override withdraw(entry: number, attempt: string): void {
        this.waiting.delete(attempt);
        this.daemons[entry]!.step({ kind: "withdraw", attempt });
    }

    override progress(entry: number, progress: Progress): void {
        this.daemons[entry]!.step({ kind: "progress", progress });
    }

    /** Every daemon hears every report; in the daemons each would hear only its part. */
    override load(report: LoadReport): void {
        for (const daemon of this.daemons) {
            daemon.step({ kind: "load", report });
        }
    }

    override viewChanged(): void {
        const { cluster } = this.context;
        for (const daemon of this.daemons) {
            daemon.step({ kind: "engines", engines: cluster.view() });
            daemon.step({ kind: "sessions", open: cluster.sessions() });
        }
    }
}

/** One scheduler for the pool, on the first entry daemon; the others choose alone while they can't reach it. */
export class PoolPolicy extends Policy {
    private driven: Driven;
    private host = 0;
    private fence = 1;
    private readonly fallback: AlonePolicy;
    private readonly waiting = new Map<
        string,
        { readonly entry: number; readonly decided: (decision: SchedulingDecision) => void; readonly since: number; }
    >();

    constructor(
        private readonly context: PolicyContext,
        private readonly tuning: SchedulerTuning,
        override readonly seesEverything: boolean,
    ) {
        super();
        this.driven = this.drive(true);
        this.fallback = new AlonePolicy(
            context,
            entry =>
                LocalScheduler.create({
                    randomness: SeededRandomness.create(context.seed * 31 + entry),
                    divided: true,
                }),
        );
        if (!seesEverything) {
            this.watchHost();
        }
    }

    override reserve(entry: number, demand: SchedulingRequest, decided: (decision: SchedulingDecision) => void): void {
        const { simulation } = this.context.cluster;
        this.waiting.set(demand.attempt, { entry, decided, since: simulation.now });
        if (this.reachable(entry)) {
            this.send(entry, { kind: "demand", demand });
            simulation.after(unreachableAfter, () => this.watch(entry, demand));
            return;
        }
        if (this.cutFor() < unreachableAfter) {
            simulation.after(unreachableAfter - this.cutFor(), () => this.watch(entry, demand));
            return;
        }
        this.alone(entry, demand);
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
        if (!this.context.cluster.entryCut[this.host]) {
            this.driven.step({ kind: "load", report });
        }
        this.fallback.load(report);
    }

    override viewChanged(): void {
        const { cluster } = this.context;
        this.driven.step({ kind: "engines", engines: cluster.view() });
        this.driven.step({ kind: "sessions", open: cluster.sessions() });
        this.fallback.viewChanged();
    }

    private cutSince: number | undefined;

    private cutFor(): number {
        return this.cutSince === undefined ? 0 : this.context.cluster.simulation.now - this.cutSince;
    }

    private drive(warm: boolean): Driven {
        const scheduler = PoolScheduler.create({ fence: this.fence++, warm, tuning: this.tuning });
        return new Driven(scheduler, this.context, decision => this.answer(decision));
    }

    private reachable(entry: number): boolean {
        const { entryAlive, entryCut } = this.context.cluster;
        return entryAlive[this.host]! && (entry === this.host || (!entryCut[this.host] && !entryCut[entry]));
    }

    private wire(entry: number): number {
        const { cluster } = this.context;
        return this.seesEverything || entry === this.host
            ? 0
            : cluster.wire(cluster.entryDomain(entry), cluster.entryDomain(this.host));
    }

    private send(entry: number, event: SchedulerEvent): void {
        if (this.reachable(entry)) {
            const { driven } = this;
            this.context.cluster.simulation.after(this.wire(entry), () => driven.step(event));
        }
    }

    private answer(decision: SchedulingDecision): void {
        const waiting = this.waiting.get(decision.attempt);
        if (waiting === undefined || !this.reachable(waiting.entry)) {
            return;
        }
        this.context.cluster.simulation.after(this.wire(waiting.entry), () => {
            if (this.waiting.delete(decision.attempt)) {
                waiting.decided(decision);
            }
        });
    }

    /** A demand that waits at a scheduler out of reach is decided by the daemon alone. */
    private watch(entry: number, demand: SchedulingRequest): void {
        if (!this.waiting.has(demand.attempt)) {
            return;
        }
        if (this.reachable(entry)) {
            this.context.cluster.simulation.after(unreachableAfter, () => this.watch(entry, demand));
            return;
        }
        this.alone(entry, demand);
    }

    private alone(entry: number, demand: SchedulingRequest): void {
        const waiting = this.waiting.get(demand.attempt);
        this.waiting.delete(demand.attempt);
        if (waiting !== undefined) {
            const passed = this.context.cluster.simulation.now - waiting.since;
            const firstTokenWithin = demand.firstTokenWithin - passed;
            const deadlineWithin = Math.max(1, demand.deadlineWithin - passed);
            this.fallback.reserve(entry, { ...demand, firstTokenWithin, deadlineWithin }, waiting.decided);
        }
    }

    /** Looks whether the scheduler's host was lost, and has another take over after the lease has run out. */
    private watchHost(): void {
        const { cluster } = this.context;
        cluster.simulation.after(50, () => this.watchHost());
        const lost = !cluster.entryAlive[this.host] || cluster.entryCut[this.host]!;
        if (!lost || this.cutSince !== undefined) {
            return;
        }
        this.cutSince = cluster.simulation.now;
        cluster.simulation.after(leaseAfter, () => this.handOver());
    }

    private handOver(): void {
        const { cluster } = this.context;
        this.driven.stopped = true;
        this.host = cluster.entryAlive.findIndex((alive, entry) => alive && !cluster.entryCut[entry]);
        this.cutSince = undefined;
        this.driven = this.drive(false);
        const { driven } = this;
        for (const [entry, alive] of cluster.entryAlive.entries()) {
            if (alive && !cluster.entryCut[entry]) {
                cluster.simulation.after(5, () => {
                    for (const holding of this.context.holdings(entry)) {
                        driven.step({ kind: "holding", holding });
                    }
                });
            }
        }
        cluster.simulation.after(warmAfter, () => driven.step({ kind: "warm" }));
    }
}
