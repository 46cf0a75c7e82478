import {
    type AllowanceLeader,
    type DirectoryWatcher,
    type InstanceTable,
    type LimitLeader,
    localPlacementTuning,
    PlacementQueue,
    QueueRecorder,
} from "../../coordination/index.js";
import {
    defaultShortageFloor,
    type EngineRule,
    type PlacementDecision,
    type PlacementOutcome,
    type PlacementRequest,
    type RunWriting,
    type ServerCalls,
} from "../../protocol/index.js";
import { type Clock, type Logger, type Metrics, SilentMetrics } from "../../utils/index.js";
import { PlacementLeader } from "./placementLeader.js";

/** How long a request waits for a local placement before the leader is asked again. */
const localPlacementMilliseconds = 300;
/** Interval of probing an unresponsive leader. */
const probeIntervalMilliseconds = 300;
/**
 * How long a request waits for the first leader after this gateway's start, and the interval of checking for it. After a
 * power loss of the whole deployment, gateways know all engines before a leader is elected and have a backlog; each would
 * place it locally, on the same prefill engines.
 */
const firstLeaderTimeoutMilliseconds = 600;
const firstLeaderPollMilliseconds = 20;
/** Time after the start during which requests wait for it: by then directories have elected a leader, or can't. */
const startupMilliseconds = 3_000;
/** Retry-After for a request that can't be placed. */
const refusalRetryAfterMilliseconds = 500;
/** Interval of reporting all current placements to the leader. */
const grantsReportIntervalMilliseconds = 1_000;
/** Interval of reporting calls to plain services: a hanging server is known to all gateways within a second. */
const callsReportIntervalMilliseconds = 500;
/** Interval of reviewing the requests that wait for a local placement. */
const localReviewIntervalMilliseconds = 25;

/** A placement on engines, and whether the leader or this gateway alone granted it. */
export type PlacementGrant = Extract<PlacementDecision, { kind: "placed"; }> & { readonly by: "leader" | "alone"; };
/** A granted or refused placement; undefined if the caller disconnected in the meantime. */
export type PlacementResult = PlacementGrant | Extract<PlacementDecision, { kind: "refused"; }> | undefined;

type GrantReport = { readonly demand: PlacementRequest; readonly decode: string; readonly writing?: RunWriting; };
type ActiveGrant = GrantReport & { readonly takeReport: () => RunWriting | undefined; };
type DecisionCallback = (decision: PlacementDecision) => void;

/** Dependencies of the placement client. */
export type PlacementClientOptions = {
    readonly name: string;
    readonly watcher: DirectoryWatcher;
    readonly instances: InstanceTable;
    readonly engineRule: (service: string) => EngineRule | undefined;
    /** Whether requests of different priorities compete for a service's engines. @default never */
    readonly hasSeveralPriorities?: (service: string) => boolean;
    /** Share of placements that each waiting priority gets at least. @default 0.1 */
    readonly floor?: number;
    /** Requests per second that an engine takes from all gateways together; undefined if it names no limit. @default none */
    readonly limitOf?: (engine: string) => number | undefined;
    /** Outcomes of calls to plain services since the previous call of this function. */
    readonly calls: () => readonly ServerCalls[];
    readonly clock: Clock;
    readonly logger: Logger;
    /** @default discarded */
    readonly metrics?: Metrics;
};

/**
 * Requests placements on engines from the leading directory. While no leader answers, this gateway places requests locally
 * within its share of every engine: callers are served during an election, and the shares of all gateways together don't
 * exceed an engine's capacity.
 */
export class PlacementClient {
    private readonly activeGrants = new Map<string, ActiveGrant>();
    private readonly localPools = new Map<string, PlacementQueue>();
    private readonly localCallbacks = new Map<string, DecisionCallback>();
    private readonly cancelTimers: (() => void)[] = [];
    private readonly leader: PlacementLeader;
    private hasSeenLeader = false;
    private hasReportedGrants = false;

    private readonly startedAt: number;
    private readonly recorder: QueueRecorder;

    private constructor(private readonly options: PlacementClientOptions) {
        const { name, watcher, clock, logger, metrics = SilentMetrics.create() } = options;
        this.recorder = QueueRecorder.create(logger, metrics);
        this.startedAt = clock.monotonic();
        this.leader = PlacementLeader.create({
            name,
            watcher,
            clock,
            logger,
            onRecovered: () => this.reportGrants(),
        });
        this.runPeriodically(grantsReportIntervalMilliseconds, () => this.reportGrants());
        this.runPeriodically(callsReportIntervalMilliseconds, () => this.reportCalls());
        this.runPeriodically(localReviewIntervalMilliseconds, () => this.reviewLocalPools());
        this.runPeriodically(probeIntervalMilliseconds, () => void this.leader.probe());
    }

    static create(options: PlacementClientOptions): PlacementClient {
        return new PlacementClient(options);
    }

    /** Requests a placement until there is a decision. When the signal aborts, the request is withdrawn. */
    async requestPlacement(request: PlacementRequest, signal: AbortSignal): Promise<PlacementResult> {
        const { clock } = this.options;
        const requestedAt = clock.monotonic();
        while (!signal.aborted) {
            const elapsed = clock.monotonic() - requestedAt;
            if (elapsed > request.patienceWithin) {
                const reason = "no placement decision before the caller's timeout";
                this.leader.send({ kind: "withdraw", attempt: request.attempt });
                return { kind: "refused", attempt: request.attempt, reason, comeBackIn: refusalRetryAfterMilliseconds };
            }
            const current = {
                ...request,
                targetWithin: request.targetWithin - elapsed,
                patienceWithin: request.patienceWithin - elapsed,
                ...request.deadlineWithin === undefined
                    ? {}
                    : { deadlineWithin: request.deadlineWithin - elapsed },
                ...request.finishWithin === undefined ? {} : { finishWithin: request.finishWithin - elapsed },
            };
            if (this.mayAwaitFirstLeader() && elapsed < firstLeaderTimeoutMilliseconds) {
                await new Promise<void>(resolve => clock.after(firstLeaderPollMilliseconds, resolve));
                continue;
            }
            const answer = this.leader.isAvailable() ? await this.leader.requestPlacement(current) : undefined;
            if (signal.aborted) {
                break;
            }
            if (answer?.kind === "decided") {
                return this.acceptDecision(request, answer.decision, "leader");
            }
            const result = answer === undefined ? await this.placeLocally(current, signal) : "waiting";
            if (result !== "waiting") {
                return result;
            }
        }
        this.leader.send({ kind: "withdraw", attempt: request.attempt });
        return undefined;
    }

    /** Reports that the prefill of an attempt is done. */
    prefillCompleted(attempt: string): void {
        this.leader.send({ kind: "prefilled", attempt });
        this.localPools.forEach(pool => pool.prefillCompleted(attempt, this.options.clock.monotonic()));
    }

    /** Sets the function that returns the writing of an attempt's run since its previous report. */
    observeWriting(attempt: string, takeReport: () => RunWriting | undefined): void {
        const grant = this.activeGrants.get(attempt);
        if (grant !== undefined) {
            this.activeGrants.set(attempt, { ...grant, takeReport });
        }
    }

    /** Releases a placement, and reports the writing of its run. */
    release(attempt: string, outcome: PlacementOutcome): void {
        const writing = this.activeGrants.get(attempt)?.takeReport();
        const end = writing === undefined ? outcome : { ...outcome, writing };
        this.activeGrants.delete(attempt);
        this.leader.send({ kind: "release", attempt, end });
        const now = this.options.clock.monotonic();
        this.localPools.forEach(pool => this.deliverLocalDecisions(pool.release(attempt, end, now)));
    }

    /** Reports to the leader that an incarnation has ended, so that it places nothing there and notifies all gateways. */
    reportEnded(instance: string): void {
        this.leader.send({ kind: "ended", instance });
    }

    /** Borrows a retry from the leader, beyond this gateway's share of a service's allowance. */
    borrowRetry(service: string): Promise<boolean> {
        return this.leader.borrowRetry(service);
    }

    /** The leader as keeper of the organisations' allowances. */
    allowanceLeader(): AllowanceLeader {
        const { name, watcher } = this.options;
        return {
            isAvailable: () => watcher.leader() !== undefined && this.leader.isAvailable(),
            silentSince: () => this.leader.silentSince(),
            name: () => watcher.leader(),
            charge: (organisation, cost, rank) => this.leader.charge(organisation, cost, rank),
            recordSpent: spent => this.leader.send({ kind: "spent", gateway: name, spent: [...spent] }),
            isNearLimit: organisation => watcher.isNearLimit(organisation),
            hasUsedUp: organisation => watcher.hasUsedUp(organisation),
        };
    }

    /** The leader as keeper of the limits that backend servers name. */
    limitLeader(): LimitLeader {
        const { watcher } = this.options;
        return {
            isAvailable: () => watcher.leader() !== undefined && this.leader.isAvailable(),
            admit: (observed, within) => this.leader.admit(observed, within),
            send: message => this.leader.send(message),
        };
    }

    /** Stops all periodic reports. */
    close(): void {
        this.cancelTimers.forEach(cancel => cancel());
    }

    private acceptDecision(
        request: PlacementRequest,
        decision: PlacementDecision,
        by: PlacementGrant["by"],
    ): PlacementResult {
        if (decision.kind === "refused") {
            return decision;
        }
        this.activeGrants.set(request.attempt, {
            demand: request,
            decode: decision.decode,
            takeReport: () => undefined,
        });
        return { ...decision, by };
    }

    private mayAwaitFirstLeader(): boolean {
        const { watcher, clock } = this.options;
        this.hasSeenLeader ||= watcher.leader() !== undefined;
        return !this.hasSeenLeader && clock.monotonic() - this.startedAt < startupMilliseconds;
    }

    /**
     * Places a request locally. Returns "waiting" if there is no decision after a while, since a leader may be available by
     * then. Otherwise requests that arrived before a leader was elected would continue to wait for this gateway's share of
     * the engines: after a power loss of the whole deployment, some first events came a second later than necessary.
     */
    private placeLocally(request: PlacementRequest, signal: AbortSignal): Promise<PlacementResult | "waiting"> {
        const pool = this.localPool(request.service);
        if (pool === undefined) {
            const reason = "the service has no engine rule";
            return Promise.resolve({
                kind: "refused",
                attempt: request.attempt,
                reason,
                comeBackIn: refusalRetryAfterMilliseconds,
            });
        }
        return new Promise(resolve => {
            const withdraw = (outcome: undefined | "waiting"): void => {
                cancel();
                signal.removeEventListener("abort", onAbort);
                this.localCallbacks.delete(request.attempt);
                this.deliverLocalDecisions(pool.withdraw(request.attempt, this.options.clock.monotonic()));
                resolve(outcome);
            };
            const onAbort = (): void => withdraw(undefined);
            const cancel = this.options.clock.after(localPlacementMilliseconds, () => withdraw("waiting"));
            signal.addEventListener("abort", onAbort);
            this.localCallbacks.set(request.attempt, decision => {
                cancel();
                signal.removeEventListener("abort", onAbort);
                resolve(this.acceptDecision(request, decision, "alone"));
            });
            this.deliverLocalDecisions(pool.enqueueRequest(request, this.options.clock.monotonic()));
        });
    }

    private localPool(service: string): PlacementQueue | undefined {
        const { engineRule, hasSeveralPriorities, floor = defaultShortageFloor, limitOf } = this.options;
        const rule = engineRule(service);
        if (rule === undefined) {
            return undefined;
        }
        let pool = this.localPools.get(service);
        if (pool === undefined) {
            pool = PlacementQueue.create({ ...localPlacementTuning, share: 1 }, limitOf, this.recorder);
            this.localPools.set(service, pool);
        }
        const now = this.options.clock.monotonic();
        pool.setPrioritised(hasSeveralPriorities?.(service) ?? false, floor);
        pool.setShare(1 / this.options.watcher.gateways());
        pool.setEngines(this.options.instances.all().filter(instance => instance.service === service), rule);
        const grantsOfService = [...this.activeGrants.values()].filter(({ demand: request }) =>
            request.service === service
        );
        this.deliverLocalDecisions(pool.reconcile(this.options.name, grantsOfService, 0, now));
        return pool;
    }

    private reviewLocalPools(): void {
        const now = this.options.clock.monotonic();
        this.localPools.forEach(pool => this.deliverLocalDecisions(pool.review(now)));
    }

    private deliverLocalDecisions(decisions: readonly PlacementDecision[]): void {
        for (const decision of decisions) {
            const callback = this.localCallbacks.get(decision.attempt);
            this.localCallbacks.delete(decision.attempt);
            callback?.(decision);
        }
    }

    private reportGrants(): void {
        if (this.activeGrants.size > 0 || this.hasReportedGrants) {
            const held = [...this.activeGrants.values()].map(({ takeReport, ...grant }): GrantReport => {
                const writing = takeReport();
                return writing === undefined ? grant : { ...grant, writing };
            });
            this.leader.send({ kind: "holdings", gateway: this.options.name, held });
        }
        this.hasReportedGrants = this.activeGrants.size > 0;
    }

    private reportCalls(): void {
        const calls = this.options.calls();
        if (calls.length > 0) {
            this.leader.send({ kind: "calls", calls: [...calls] });
        }
    }

    private runPeriodically(interval: number, action: () => void): void {
        let cancel = (): void => undefined;
        const runAndReschedule = (): void => {
            action();
            cancel = this.options.clock.after(interval, runAndReschedule);
        };
        cancel = this.options.clock.after(interval, runAndReschedule);
        this.cancelTimers.push(() => cancel());
    }
}
