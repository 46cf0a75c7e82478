import type {
    Decision,
    Demand,
    Holding,
    LoadReport,
    PeerAnswer,
    PeerRequest,
    Progress,
    View,
} from "../../protocol/index.js";
import { schedulerLease } from "../../protocol/index.js";
import type { LinkContext, Network } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import type { Engine } from "../engine/engine.js";
import { Placement } from "../placement.js";
import { pause } from "../request/scope.js";
import { AlonePlacement } from "./alonePlacement.js";
import { EngineSurvey } from "./engineSurvey.js";
import { HeldAttempts } from "./heldAttempts.js";
import { OrphanSweep } from "./orphanSweep.js";
import { PeerLink, type RemoteDecision } from "./peerLink.js";
import { PoolScheduler } from "./poolScheduler.js";
import { refuse } from "./refusals.js";
import { SchedulerHost } from "./schedulerHost.js";

/** Milliseconds for a daemon to tell what it holds to a new scheduler. */
const surveyTimeout = 500;
/** Milliseconds by which reports may lag: what a scheduler handed out until it fell silent isn't in them before. */
const reportLag = 300;
/** Times that a demand follows its pool's scheduler from daemon to daemon before this daemon chooses alone. */
const moves = 3;

/** What a placement needs of its daemon. */
export type ScheduledPlacementParts = {
    readonly control: ControlClient;
    readonly network: Network;
    /** Makes a client for an engine; whoever asks for it closes it. */
    readonly engineAt: (url: string) => Engine;
    /** Milliseconds for which a confirmation of the view holds. */
    readonly viewLease: number;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
};

type Holder = { readonly here: boolean; readonly name: string; readonly fence: number; };

/** Finds engines through the scheduler of the pool, here or on the daemon that holds its lease; alone where neither is within reach. */
export class ScheduledPlacement extends Placement {
    private readonly store = DisposableStore.create();
    private readonly alone: AlonePlacement;
    private readonly held = HeldAttempts.create();
    private readonly hosts = new Map<string, SchedulerHost>();
    private readonly links = new Map<string, PeerLink>();
    /** Highest fencing number by which a scheduler of the pool has asked for holdings. */
    private readonly fences = new Map<string, number>();
    private readonly orphans: OrphanSweep;
    private readonly engines: EngineSurvey;

    private constructor(private readonly parts: ScheduledPlacementParts) {
        super();
        const { control, clock, logger, viewLease, engineAt } = parts;
        this.alone = AlonePlacement.create(parts);
        this.orphans = OrphanSweep.create({
            clock,
            logger,
            viewLease,
            engineAt,
            view: () => control.view(),
            mayStart: () => control.mayStart(),
            isScheduler: pool => this.hosts.has(pool),
            drivenAt: (address, pool) => this.drivenAt(address, pool),
        });
        this.engines = EngineSurvey.create({
            view: () => control.view(),
            engineAt,
            randomness: parts.randomness,
            heard: (pool, report) => this.orphans.load(pool, report),
        });
        this.store.add(() => this.alone.close());
        this.store.add(() => this.orphans.close());
        this.store.add(control.onView(view => this.follow(view)));
        this.follow(control.view());
    }

    static create(parts: ScheduledPlacementParts): ScheduledPlacement {
        return new ScheduledPlacement(parts);
    }

    override async reserve(demand: Demand, signal: AbortSignal): Promise<Decision> {
        const since = this.parts.clock.monotonic();
        for (let move = 0; move < moves && !signal.aborted; move++) {
            let current = this.leftOf(demand, since);
            let decision = await this.ask(current, signal);
            if (decision === "alone") {
                current = this.leftOf(demand, since);
                decision = await this.reserveAlone(current, signal);
            }
            if (decision !== "moved") {
                return this.noted(current, decision, since, signal);
            }
        }
        const current = this.leftOf(demand, since);
        return this.noted(current, await this.alone.reserve(current, signal), since, signal);
    }

    /**
     * The demand has the times that are left of it: chosen for as if it had just come, one that has waited long would take
     * engines from those that can be on time. It goes back to the scheduler as soon as that answers again.
     */
    private async reserveAlone(demand: Demand, signal: AbortSignal): Promise<Decision | "moved"> {
        const back = new AbortController();
        const link = this.remote(demand.pool);
        const forget = link?.onReachable(() => back.abort());
        if (demand.once) {
            await pause(this.parts.clock, reportLag, AbortSignal.any([signal, back.signal]));
            const reports = await this.engines.askDecodes(demand.pool);
            reports.forEach(report => this.alone.load(demand.pool, report));
        }
        const decision = await this.alone.reserve(demand, AbortSignal.any([signal, back.signal]));
        forget?.();
        if (back.signal.aborted && !signal.aborted && decision.kind === "refused") {
            return "moved";
        }
        if (decision.kind === "assigned") {
            const { prefill, decode } = decision;
            link?.taken({ demand, prefill, decode, stage: "prefilling", tokens: 0 });
        }
        return decision;
    }

    override async move(holding: Holding): Promise<string | undefined> {
        const { demand: { attempt, pool }, prefill, decode: full } = holding;
        const decode = await this.askMove(holding);
        this.parts.logger.info("a decode engine proved to be full", { pool, attempt, prefill, full, movedTo: decode });
        if (decode !== undefined) {
            this.held.move(attempt, decode);
        }
        return decode;
    }

    override progress(pool: string, progress: Progress): void {
        this.held.progress(progress);
        this.alone.progress(pool, progress);
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            host.progress([progress]);
            return;
        }
        this.remote(pool)?.progress(pool, progress);
    }

    override load(pool: string, report: LoadReport): void {
        this.alone.load(pool, report);
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            this.orphans.load(pool, report);
            host.load([report]);
            return;
        }
        this.remote(pool)?.load(pool, report);
    }

    /** Serves a request of another daemon; undefined where it is none of the scheduler's. */
    async handlePeer(request: PeerRequest, context: LinkContext): Promise<PeerAnswer | undefined> {
        switch (request.kind) {
            case "reserve":
                return this.serve(request.demand, context);
            case "taken":
                this.hosts.get(request.pool)?.taken(request.holding);
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
                    this.orphans.load(request.pool, report);
                }
                this.hosts.get(request.pool)?.load(request.reports);
                return { kind: "received" };
            case "holdings":
                this.fences.set(request.pool, Math.max(request.fence, this.fences.get(request.pool) ?? 0));
                return { kind: "held", holdings: this.held.ofPool(request.pool) };
            default:
                return undefined;
        }
    }

    /** Slots held and demands waiting at the schedulers that are here, by pool. */
    standing(): ReadonlyMap<string, ReturnType<SchedulerHost["standing"]>> {
        return new Map([...this.hosts].map(([pool, host]) => [pool, host.standing()]));
    }

    override async close(): Promise<void> {
        this.hosts.forEach(host => host.close());
        this.hosts.clear();
        this.links.forEach(link => link.close());
        this.links.clear();
        await this.store.dispose();
    }

    /** The demand with the times that are left of it. */
    private leftOf(demand: Demand, since: number): Demand {
        const passed = this.parts.clock.monotonic() - since;
        return {
            ...demand,
            firstTokenWithin: demand.firstTokenWithin - passed,
            deadlineWithin: Math.max(1, demand.deadlineWithin - passed),
        };
    }

    private async ask(demand: Demand, signal: AbortSignal): Promise<Decision | "moved" | "alone"> {
        const { pool } = demand;
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            return await host.reserve(demand, signal) ?? "moved";
        }
        const before = this.holder(pool);
        const link = this.remote(pool);
        if (link === undefined) {
            return "alone";
        }
        const decision: RemoteDecision = await link.reserve(demand, signal);
        if (decision === "unreachable" || decision === "notScheduler") {
            return this.holder(pool)?.fence === before?.fence ? "alone" : "moved";
        }
        if (decision.kind === "assigned" && decision.fence < (this.fences.get(pool) ?? 0)) {
            // A newer scheduler has asked what is held here and wasn't told of this; it would hand the slot out again.
            link.withdraw(demand.attempt);
            return "moved";
        }
        return decision;
    }

    private noted(demand: Demand, decision: Decision, since: number, signal: AbortSignal): Decision {
        if (signal.aborted) {
            if (decision.kind === "assigned") {
                this.progress(demand.pool, { attempt: demand.attempt, stage: "cancelled", tokens: 0 });
            }
            return refuse(demand, "callerGone", "the caller has gone", undefined);
        }
        if (decision.kind === "assigned") {
            this.held.add(demand, decision.prefill, decision.decode);
            const { attempt, prefill, decode, fence } = decision;
            const waited = Math.round(this.parts.clock.monotonic() - since);
            this.parts.logger.info("engines are assigned", {
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

    private async serve(demand: Demand, context: LinkContext): Promise<PeerAnswer> {
        const host = this.hosts.get(demand.pool);
        // After a freeze the lease may be another's; the view can't tell until it is confirmed again.
        const decision = host === undefined || !this.parts.control.mayStart()
            ? undefined
            : await host.reserve(demand, context.gone);
        return decision === undefined
            ? { kind: "notScheduler", holder: this.parts.control.view().leases[schedulerLease(demand.pool)]?.holder }
            : { kind: "decision", decision };
    }

    /** The pool's scheduler is asked also for what was chosen alone, of which it may not know yet. */
    private async askMove(holding: Holding): Promise<string | undefined> {
        const { pool } = holding.demand;
        const host = this.hosts.get(pool);
        if (host !== undefined) {
            return host.move(holding);
        }
        const answer = await this.remote(pool)?.move(holding) ?? "unreachable";
        return answer === "unreachable" ? this.alone.move(holding) : answer.decode;
    }

    private serveMove(pool: string, holding: Holding): PeerAnswer {
        const host = this.hosts.get(pool);
        return host === undefined || !this.parts.control.mayStart()
            ? { kind: "notScheduler", holder: this.parts.control.view().leases[schedulerLease(pool)]?.holder }
            : { kind: "moved", decode: host.move(holding) };
    }

    private holder(pool: string): Holder | undefined {
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

    private remote(pool: string): PeerLink | undefined {
        const holder = this.holder(pool);
        return holder === undefined || holder.here ? undefined : this.links.get(holder.name);
    }

    private follow(view: View): void {
        this.orphans.follow(view);
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
        const holder = this.holder(pool);
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
        this.parts.logger.info("schedules a pool", { pool, fence: holder.fence });
        const survey = {
            holdings: () => this.askHoldings(pool, holder.fence),
            reports: () => this.engines.askAll(pool),
        };
        const { clock, logger } = this.parts;
        const { fence } = holder;
        const scheduler = PoolScheduler.create({ fence, warm: false });
        this.hosts.set(pool, SchedulerHost.create({ pool, fence, view, clock, scheduler, survey, logger }));
    }

    private askHoldings(pool: string, fence: number) {
        const others = [...this.links.values()].map(async link =>
            await link.holdings(pool, fence, surveyTimeout) ?? []
        );
        return [Promise.resolve(this.held.ofPool(pool)), ...others];
    }

    private async drivenAt(address: { readonly host: string; readonly port: number; }, pool: string) {
        const link = PeerLink.create(this.parts.network.link(address), this.parts.clock);
        try {
            const holdings = await link.holdings(pool, 0, surveyTimeout);
            return holdings === undefined ? undefined : new Set(holdings.map(holding => holding.demand.attempt));
        }
        finally {
            link.close();
        }
    }
}
