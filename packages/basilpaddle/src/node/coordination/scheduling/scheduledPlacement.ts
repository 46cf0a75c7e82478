import type {
    EngineHolding,
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
import { LocalHoldings } from "./localHoldings.js";
import { LocalPlacement } from "./localPlacement.js";
import { OrphanSweep } from "./orphanSweep.js";
import { PeerLink, type RemoteDecision } from "./peerLink.js";
import { PoolScheduler } from "./poolScheduler.js";
import { refuse } from "./refusals.js";
import { SchedulerHost } from "./schedulerHost.js";

/** Timeout of a daemon's answer when it is asked for its holdings. */
const surveyTimeoutMilliseconds = 500;
/** Time after which load reports include everything that a scheduler assigned before it became unreachable. */
const reportLagMilliseconds = 300;
/** Number of times that a request follows its pool's scheduler to another daemon before it is placed locally. */
const moveLimit = 3;

/** Dependencies of a placement. */
export type ScheduledPlacementParts = {
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

type SchedulerLeaseHolder = { readonly here: boolean; readonly name: string; readonly fence: number; };

/**
 * Reserves engines through the pool's scheduler, here or on the daemon that holds its lease; falls back to local
 * placement if it is unreachable.
 */
export class ScheduledPlacement extends Placement {
    private readonly store = DisposableStore.create();
    private readonly localPlacement: LocalPlacement;
    private readonly localHoldings = LocalHoldings.create();
    private readonly hosts = new Map<string, SchedulerHost>();
    private readonly links = new Map<string, PeerLink>();
    /** Highest fence with which a scheduler of each pool has asked for holdings. */
    private readonly highestFences = new Map<string, number>();
    private readonly orphanSweep: OrphanSweep;
    private readonly engineSurvey: EngineSurvey;

    private constructor(private readonly parts: ScheduledPlacementParts) {
        super();
        const { control, clock, logger, viewLease, engineAt } = parts;
        this.localPlacement = LocalPlacement.create(parts);
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
            randomness: parts.randomness,
            onReport: (pool, report) => this.orphanSweep.recordReport(pool, report),
        });
        this.store.add(() => this.localPlacement.close());
        this.store.add(() => this.orphanSweep.close());
        this.store.add(control.onView(view => this.follow(view)));
        this.follow(control.view());
    }

    static create(parts: ScheduledPlacementParts): ScheduledPlacement {
        return new ScheduledPlacement(parts);
    }

    override async reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision> {
        const since = this.parts.clock.monotonic();
        for (let move = 0; move < moveLimit && !signal.aborted; move++) {
            let current = this.withRemainingTime(request, since);
            let decision = await this.requestDecision(current, signal);
            if (decision === "alone") {
                current = this.withRemainingTime(request, since);
                decision = await this.placeLocally(current, signal);
            }
            if (decision !== "moved") {
                return this.recordDecision(current, decision, since, signal);
            }
        }
        const current = this.withRemainingTime(request, since);
        return this.recordDecision(current, await this.localPlacement.reserve(current, signal), since, signal);
    }

    /**
     * Places a request locally within its remaining time: treated as new, a request that has waited long would take engines
     * from those that can still meet their targets. The request returns to the scheduler as soon as that answers again.
     */
    private async placeLocally(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision | "moved"> {
        const back = new AbortController();
        const link = this.remoteLink(request.pool);
        const forget = link?.onReachable(() => back.abort());
        if (request.once) {
            await pause(this.parts.clock, reportLagMilliseconds, AbortSignal.any([signal, back.signal]));
            const reports = await this.engineSurvey.queryDecodeEngines(request.pool);
            reports.forEach(report => this.localPlacement.load(request.pool, report));
        }
        const decision = await this.localPlacement.reserve(request, AbortSignal.any([signal, back.signal]));
        forget?.();
        if (back.signal.aborted && !signal.aborted && decision.kind === "refused") {
            return "moved";
        }
        if (decision.kind === "assigned") {
            const { prefill, decode } = decision;
            link?.reportLocalHolding({ demand: request, prefill, decode, stage: "prefilling", tokens: 0 });
        }
        return decision;
    }

    override async move(holding: EngineHolding): Promise<string | undefined> {
        const { demand: { attempt, pool }, prefill, decode: full } = holding;
        const decode = await this.requestMove(holding);
        this.parts.logger.info("decode engine is full", { pool, attempt, prefill, full, movedTo: decode });
        if (decode !== undefined) {
            this.localHoldings.move(attempt, decode);
        }
        return decode;
    }

    override progress(pool: string, progress: Progress): void {
        this.localHoldings.progress(progress);
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
                this.hosts.get(request.pool)?.applyHolding(request.holding);
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
                return { kind: "held", holdings: this.localHoldings.ofPool(request.pool) };
            default:
                return undefined;
        }
    }

    /** Slots held and requests queued at the schedulers of this daemon, by pool. */
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

    /** The request with the time already spent subtracted from its limits. */
    private withRemainingTime(request: SchedulingRequest, since: number): SchedulingRequest {
        const passed = this.parts.clock.monotonic() - since;
        return {
            ...request,
            firstTokenWithin: request.firstTokenWithin - passed,
            deadlineWithin: Math.max(1, request.deadlineWithin - passed),
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
        const before = this.leaseHolder(pool);
        const link = this.remoteLink(pool);
        if (link === undefined) {
            return "alone";
        }
        const decision: RemoteDecision = await link.reserve(request, signal);
        if (decision === "unreachable" || decision === "notScheduler") {
            return this.leaseHolder(pool)?.fence === before?.fence ? "alone" : "moved";
        }
        if (decision.kind === "assigned" && decision.fence < (this.highestFences.get(pool) ?? 0)) {
            // A newer scheduler has asked for holdings before this one existed, and could assign the slot a second time.
            link.withdraw(request.attempt);
            return "moved";
        }
        return decision;
    }

    private recordDecision(
        request: SchedulingRequest,
        decision: SchedulingDecision,
        since: number,
        signal: AbortSignal,
    ): SchedulingDecision {
        if (signal.aborted) {
            if (decision.kind === "assigned") {
                this.progress(request.pool, { attempt: request.attempt, stage: "cancelled", tokens: 0 });
            }
            return refuse(request, "callerGone", "the caller has gone", undefined);
        }
        if (decision.kind === "assigned") {
            this.localHoldings.add(request, decision.prefill, decision.decode);
            const { attempt, prefill, decode, fence } = decision;
            const waited = Math.round(this.parts.clock.monotonic() - since);
            this.parts.logger.info("engines assigned", {
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
        // After a freeze another daemon may hold the lease; the view doesn't show it until it is confirmed again.
        const decision = host === undefined || !this.parts.control.mayStart()
            ? undefined
            : await host.reserve(request, context.gone);
        return decision === undefined
            ? { kind: "notScheduler", holder: this.parts.control.view().leases[schedulerLease(request.pool)]?.holder }
            : { kind: "decision", decision };
    }

    /** Asks the pool's scheduler also for local placements, which it may not know yet. */
    private async requestMove(holding: EngineHolding): Promise<string | undefined> {
        const { pool } = holding.demand;
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            return host.move(holding);
        }
        const answer = await this.remoteLink(pool)?.move(holding) ?? "unreachable";
        return answer === "unreachable" ? this.localPlacement.move(holding) : answer.decode;
    }

    private serveMove(pool: string, holding: EngineHolding): PeerAnswer {
        const host = this.hosts.get(pool);
        return host === undefined || !this.parts.control.mayStart()
            ? { kind: "notScheduler", holder: this.parts.control.view().leases[schedulerLease(pool)]?.holder }
            : { kind: "moved", decode: host.move(holding) };
    }

    private leaseHolder(pool: string): SchedulerLeaseHolder | undefined {
        const { control } = this.parts;
        const view = control.view();
        const lease = view.leases[schedulerLease(pool)];
        if (lease === undefined) {
            return undefined;
        }
        const own = control.session();
        const here = lease.holder.daemon === own.daemon && lease.holder.incarnation === own.incarnation;
        return { here, name: `${lease.holder.daemon}/${lease.holder.incarnation}`, fence: lease.fence };
    }

    private remoteLink(pool: string): PeerLink | undefined {
        const holder = this.leaseHolder(pool);
        return holder === undefined || holder.here ? undefined : this.links.get(holder.name);
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
        const own = this.parts.control.session();
        const open = new Set<string>();
        for (const { session, peers } of Object.values(view.sessions)) {
            const name = `${session.daemon}/${session.incarnation}`;
            open.add(name);
            if (session.daemon !== own.daemon && !this.links.has(name)) {
                this.links.set(name, PeerLink.create(this.parts.network.link(peers), this.parts.clock));
            }
        }
        for (const [name, link] of this.links) {
            if (!open.has(name)) {
                link.close();
                this.links.delete(name);
            }
        }
    }

    private followPool(view: View, pool: string): void {
        const holder = this.leaseHolder(pool);
        const known = this.hosts.get(pool);
        if (known !== undefined && (holder?.here !== true || holder.fence !== known.fence)) {
            known.close();
            this.hosts.delete(pool);
        }
        if (holder?.here !== true) {
            return;
        }
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            host.follow(view);
            return;
        }
        this.parts.logger.info("scheduler of the pool started", { pool, fence: holder.fence });
        const survey = {
            holdings: () => this.requestHoldings(pool, holder.fence),
            reports: () => this.engineSurvey.queryPool(pool),
        };
        const { clock, logger } = this.parts;
        const { fence } = holder;
        const scheduler = PoolScheduler.create({ fence, warm: false });
        this.hosts.set(pool, SchedulerHost.create({ pool, fence, view, clock, scheduler, survey, logger }));
    }

    private requestHoldings(pool: string, fence: number) {
        const others = [...this.links.values()].map(async link =>
            await link.holdings(pool, fence, surveyTimeoutMilliseconds) ?? []
        );
        return [Promise.resolve(this.localHoldings.ofPool(pool)), ...others];
    }

    private async queryAttemptsAt(address: { readonly host: string; readonly port: number; }, pool: string) {
        const link = PeerLink.create(this.parts.network.link(address), this.parts.clock);
        try {
            const holdings = await link.holdings(pool, 0, surveyTimeoutMilliseconds);
            return holdings === undefined ? undefined : new Set(holdings.map(holding => holding.demand.attempt));
        }
        finally {
            link.close();
        }
    }
}
