import type {
    EngineAllocation,
    LoadReport,
    PeerAnswer,
    PeerRequest,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
    View,
} from "../../protocol/index.js";
import { schedulerLease } from "../../protocol/index.js";
import type { LinkContext, Network } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import type { Engine } from "../engine/engine.js";
import { Placement } from "../placement.js";
import { pause } from "../request/scope.js";
import { EngineSurvey } from "./engineSurvey.js";
import { LocalAllocations } from "./localAllocations.js";
import { LocalPlacement } from "./localPlacement.js";
import { OrphanSweep } from "./orphanSweep.js";
import { PeerLink, type RemoteDecision } from "./peerLink.js";
import { PoolScheduler } from "./poolScheduler.js";
import { refuse } from "./refusals.js";
import { SchedulerHost } from "./schedulerHost.js";

/** Timeout of a query for a daemon's allocations. */
const surveyTimeoutMilliseconds = 500;
/** Delay after which load reports include everything that a scheduler assigned before it became unreachable. */
const reportLagMilliseconds = 300;
/** Number of changes of the pool's scheduler after which a request is placed locally. */
const maxSchedulerChanges = 3;

/** Options of a scheduled placement. */
export type ScheduledPlacementOptions = {
    readonly control: ControlClient;
    readonly network: Network;
    /** Creates a client for an engine; the caller closes it. */
    readonly engineAt: (url: string) => Engine;
    /** Time in milliseconds for which a confirmation of the view is valid. */
    readonly viewLease: number;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
};

type SchedulerLeaseHolder = { readonly isLocal: boolean; readonly name: string; readonly fence: number; };

/**
 * Reserves engines through the pool's scheduler, which runs on the daemon that holds the scheduler lease: this one or
 * another. Falls back to local placement if the scheduler is unreachable.
 */
export class ScheduledPlacement extends Placement {
    private readonly store = DisposableStore.create();
    private readonly localPlacement: LocalPlacement;
    private readonly localAllocations = LocalAllocations.create();
    private readonly hosts = new Map<string, SchedulerHost>();
    private readonly links = new Map<string, PeerLink>();
    /** Highest fence with which a scheduler of each pool has queried this daemon's allocations. */
    private readonly highestFences = new Map<string, number>();
    private readonly orphanSweep: OrphanSweep;
    private readonly engineSurvey: EngineSurvey;

    private constructor(private readonly options: ScheduledPlacementOptions) {
        super();
        const { control, clock, logger, viewLease, engineAt } = options;
        this.localPlacement = LocalPlacement.create(options);
        this.orphanSweep = OrphanSweep.create({
            clock,
            logger,
            viewLease,
            engineAt,
            view: () => control.view(),
            mayStart: () => control.mayStart(),
            isScheduler: pool => this.hosts.has(pool),
            attemptsAt: (address, pool) => this.queryAttemptsAt(address, pool),
        });
        this.engineSurvey = EngineSurvey.create({
            view: () => control.view(),
            engineAt,
            randomness: options.randomness,
            onReport: (pool, report) => this.orphanSweep.recordReport(pool, report),
        });
        this.store.add(() => this.localPlacement.close());
        this.store.add(() => this.orphanSweep.close());
        this.store.add(control.onView(view => this.follow(view)));
        this.follow(control.view());
    }

    static create(options: ScheduledPlacementOptions): ScheduledPlacement {
        return new ScheduledPlacement(options);
    }

    override async reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision> {
        const startedAt = this.options.clock.monotonic();
        for (let schedulerChanges = 0; schedulerChanges < maxSchedulerChanges && !signal.aborted; schedulerChanges++) {
            let current = this.withRemainingTime(request, startedAt);
            let decision = await this.requestDecision(current, signal);
            if (decision === "alone") {
                current = this.withRemainingTime(request, startedAt);
                decision = await this.placeLocally(current, signal);
            }
            if (decision !== "moved") {
                return this.recordDecision(current, decision, startedAt, signal);
            }
        }
        const current = this.withRemainingTime(request, startedAt);
        return this.recordDecision(current, await this.localPlacement.reserve(current, signal), startedAt, signal);
    }

    /**
     * Places a request locally within its remaining time: treated as new, one that has waited for long would take engines
     * from those that can still meet their targets. Returns `moved` if the scheduler is reachable before it is placed.
     */
    private async placeLocally(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision | "moved"> {
        const reachable = new AbortController();
        const link = this.remoteLink(request.pool);
        const unsubscribe = link?.onReachable(() => reachable.abort());
        if (request.once) {
            await pause(this.options.clock, reportLagMilliseconds, AbortSignal.any([signal, reachable.signal]));
            const reports = await this.engineSurvey.queryDecodeEngines(request.pool);
            reports.forEach(report => this.localPlacement.load(request.pool, report));
        }
        const decision = await this.localPlacement.reserve(request, AbortSignal.any([signal, reachable.signal]));
        unsubscribe?.();
        if (reachable.signal.aborted && !signal.aborted && decision.kind === "refused") {
            return "moved";
        }
        if (decision.kind === "assigned") {
            const { prefill, decode } = decision;
            link?.reportLocalAllocation({ demand: request, prefill, decode, stage: "prefilling", tokens: 0 });
        }
        return decision;
    }

    override async move(allocation: EngineAllocation): Promise<string | undefined> {
        const { demand: { attempt, pool }, prefill, decode: full } = allocation;
        const decode = await this.requestMove(allocation);
        this.options.logger.info("decode engine is full", { pool, attempt, prefill, full, movedTo: decode });
        if (decode !== undefined) {
            this.localAllocations.move(attempt, decode);
        }
        return decode;
    }

    override progress(pool: string, progress: Progress): void {
        this.localAllocations.progress(progress);
        this.localPlacement.progress(pool, progress);
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            host.progress([progress]);
            return;
        }
        this.remoteLink(pool)?.progress(pool, progress);
    }

    override load(pool: string, report: LoadReport): void {
        this.localPlacement.load(pool, report);
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            this.orphanSweep.recordReport(pool, report);
            host.load([report]);
            return;
        }
        this.remoteLink(pool)?.load(pool, report);
    }

    /** Handles a request of another daemon; undefined if it isn't a scheduling request. */
    async handlePeer(request: PeerRequest, context: LinkContext): Promise<PeerAnswer | undefined> {
        switch (request.kind) {
            case "reserve":
                return this.serveReserve(request.demand, context);
            case "taken":
                this.hosts.get(request.pool)?.applyAllocation(request.holding);
                return { kind: "received" };
            case "move":
                return this.serveMove(request.pool, request.holding);
            case "withdraw":
                this.hosts.forEach(host => host.withdraw(request.attempt));
                return { kind: "received" };
            case "progress":
                this.hosts.get(request.pool)?.progress(request.progress);
                return { kind: "received" };
            case "load":
                for (const report of request.reports) {
                    this.orphanSweep.recordReport(request.pool, report);
                }
                this.hosts.get(request.pool)?.load(request.reports);
                return { kind: "received" };
            case "holdings":
                this.highestFences.set(
                    request.pool,
                    Math.max(request.fence, this.highestFences.get(request.pool) ?? 0),
                );
                return { kind: "held", holdings: this.localAllocations.ofPool(request.pool) };
            default:
                return undefined;
        }
    }

    /** Number of allocated slots and of queued requests at the schedulers of this daemon, by pool. */
    status(): ReadonlyMap<string, ReturnType<SchedulerHost["schedulerStatus"]>> {
        return new Map([...this.hosts].map(([pool, host]) => [pool, host.schedulerStatus()]));
    }

    override async close(): Promise<void> {
        this.hosts.forEach(host => host.close());
        this.hosts.clear();
        this.links.forEach(link => link.close());
        this.links.clear();
        await this.store.dispose();
    }

    /** The request with the elapsed time subtracted from its time limits. */
    private withRemainingTime(request: SchedulingRequest, startedAt: number): SchedulingRequest {
        const elapsed = this.options.clock.monotonic() - startedAt;
        return {
            ...request,
            firstTokenWithin: request.firstTokenWithin - elapsed,
            deadlineWithin: Math.max(1, request.deadlineWithin - elapsed),
        };
    }

    private async requestDecision(
        request: SchedulingRequest,
        signal: AbortSignal,
    ): Promise<SchedulingDecision | "moved" | "alone"> {
        const { pool } = request;
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            return await host.reserve(request, signal) ?? "moved";
        }
        const previousHolder = this.leaseHolder(pool);
        const link = this.remoteLink(pool);
        if (link === undefined) {
            return "alone";
        }
        const decision: RemoteDecision = await link.reserve(request, signal);
        if (decision === "unreachable" || decision === "notScheduler") {
            return this.leaseHolder(pool)?.fence === previousHolder?.fence ? "alone" : "moved";
        }
        if (decision.kind === "assigned" && decision.fence < (this.highestFences.get(pool) ?? 0)) {
            // A newer scheduler queried the allocations before this one was added, and could assign the slot a second time.
            link.withdraw(request.attempt);
            return "moved";
        }
        return decision;
    }

    private recordDecision(
        request: SchedulingRequest,
        decision: SchedulingDecision,
        startedAt: number,
        signal: AbortSignal,
    ): SchedulingDecision {
        if (signal.aborted) {
            if (decision.kind === "assigned") {
                this.progress(request.pool, { attempt: request.attempt, stage: "cancelled", tokens: 0 });
            }
            return refuse(request, "callerGone", "the caller disconnected", undefined);
        }
        if (decision.kind === "assigned") {
            this.localAllocations.add(request, decision.prefill, decision.decode);
            const { attempt, prefill, decode, fence } = decision;
            const waited = Math.round(this.options.clock.monotonic() - startedAt);
            this.options.logger.info("engines assigned", {
                attempt,
                prefill,
                decode,
                fence,
                alone: fence === 0,
                waited,
            });
        }
        return decision;
    }

    private async serveReserve(request: SchedulingRequest, context: LinkContext): Promise<PeerAnswer> {
        const host = this.hosts.get(request.pool);
        // After a process freeze another daemon may hold the lease; the view shows that only once it is confirmed again.
        const decision = host === undefined || !this.options.control.mayStart()
            ? undefined
            : await host.reserve(request, context.disconnected);
        return decision === undefined
            ? { kind: "notScheduler", holder: this.options.control.view().leases[schedulerLease(request.pool)]?.holder }
            : { kind: "decision", decision };
    }

    /** Asks the pool's scheduler even about a local placement, which the scheduler may not know yet. */
    private async requestMove(allocation: EngineAllocation): Promise<string | undefined> {
        const { pool } = allocation.demand;
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            return host.move(allocation);
        }
        const answer = await this.remoteLink(pool)?.move(allocation) ?? "unreachable";
        return answer === "unreachable" ? this.localPlacement.move(allocation) : answer.decode;
    }

    private serveMove(pool: string, allocation: EngineAllocation): PeerAnswer {
        const host = this.hosts.get(pool);
        return host === undefined || !this.options.control.mayStart()
            ? { kind: "notScheduler", holder: this.options.control.view().leases[schedulerLease(pool)]?.holder }
            : { kind: "moved", decode: host.move(allocation) };
    }

    private leaseHolder(pool: string): SchedulerLeaseHolder | undefined {
        const { control } = this.options;
        const view = control.view();
        const lease = view.leases[schedulerLease(pool)];
        if (lease === undefined) {
            return undefined;
        }
        const session = control.session();
        const isLocal = lease.holder.daemon === session.daemon && lease.holder.incarnation === session.incarnation;
        return { isLocal, name: `${lease.holder.daemon}/${lease.holder.incarnation}`, fence: lease.fence };
    }

    private remoteLink(pool: string): PeerLink | undefined {
        const holder = this.leaseHolder(pool);
        return holder === undefined || holder.isLocal ? undefined : this.links.get(holder.name);
    }

    private follow(view: View): void {
        this.orphanSweep.follow(view);
        this.followSessions(view);
        for (const pool of Object.keys(view.configuration.declaration.pools)) {
            this.followPool(view, pool);
        }
        for (const [pool, host] of this.hosts) {
            if (view.configuration.declaration.pools[pool] === undefined) {
                host.close();
                this.hosts.delete(pool);
            }
        }
    }

    private followSessions(view: View): void {
        const ownSession = this.options.control.session();
        const openSessions = new Set<string>();
        for (const { session, peers } of Object.values(view.sessions)) {
            const name = `${session.daemon}/${session.incarnation}`;
            openSessions.add(name);
            if (session.daemon !== ownSession.daemon && !this.links.has(name)) {
                this.links.set(name, PeerLink.create(this.options.network.link(peers), this.options.clock));
            }
        }
        for (const [name, link] of this.links) {
            if (!openSessions.has(name)) {
                link.close();
                this.links.delete(name);
            }
        }
    }

    private followPool(view: View, pool: string): void {
        const holder = this.leaseHolder(pool);
        const previousHost = this.hosts.get(pool);
        if (previousHost !== undefined && (holder?.isLocal !== true || holder.fence !== previousHost.fence)) {
            previousHost.close();
            this.hosts.delete(pool);
        }
        if (holder?.isLocal !== true) {
            return;
        }
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            host.follow(view);
            return;
        }
        this.options.logger.info("scheduler of the pool started", { pool, fence: holder.fence });
        const survey = {
            allocations: () => this.queryAllocations(pool, holder.fence),
            reports: () => this.engineSurvey.queryPool(pool),
        };
        const { clock, logger } = this.options;
        const { fence } = holder;
        const scheduler = PoolScheduler.create({ fence, warm: false });
        this.hosts.set(pool, SchedulerHost.create({ pool, fence, view, clock, scheduler, survey, logger }));
    }

    private queryAllocations(pool: string, fence: number) {
        const others = [...this.links.values()].map(async link =>
            await link.queryAllocations(pool, fence, surveyTimeoutMilliseconds) ?? []
        );
        return [Promise.resolve(this.localAllocations.ofPool(pool)), ...others];
    }

    private async queryAttemptsAt(address: { readonly host: string; readonly port: number; }, pool: string) {
        const link = PeerLink.create(this.options.network.link(address), this.options.clock);
        try {
            const allocations = await link.queryAllocations(pool, 0, surveyTimeoutMilliseconds);
            return allocations === undefined ? undefined : new Set(allocations.map(each => each.demand.attempt));
        }
        finally {
            link.close();
        }
    }
}
