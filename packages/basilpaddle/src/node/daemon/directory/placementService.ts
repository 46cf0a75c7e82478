import {
    hasSeveralPriorities,
    type InstanceTable,
    leaderPlacementTuning,
    PlacementQueue,
    QueueRecorder,
    rankLabel,
    type RetryBudgetRules,
    SharedRetryBudget,
    speedPlacementTuning,
    type TypicalRequest,
} from "../../coordination/index.js";
import {
    defaultShortageFloor,
    type PlacementDecision,
    type PlacementMessage,
    type PlacementReply,
    type ServerAnnouncement,
    type ServerCalls,
    type Traffic,
} from "../../protocol/index.js";
import { type Clock, type Logger, type Metrics, SilentMetrics } from "../../utils/index.js";

/**
 * How long a placement request waits for its decision before it is answered with `waiting`; the gateway then sends it again.
 * This answer lets gateways distinguish a leader with a long queue from an unresponsive one. Each request waits for its own
 * answer until one request of the gateway has timed out; from then on the gateway only probes the leader until it answers.
 */
const replyTimeoutMilliseconds = 100;
/** Interval at which queued placement requests are reviewed. */
const tickIntervalMilliseconds = 25;
/** Minimum age of a placement to be released because its gateway doesn't report it: the report may be older than it. */
const placementsGraceMilliseconds = 1_500;
type DecisionCallback = (decision: PlacementDecision) => void;

/** Inputs and dependencies of `PlacementService`. */
export type PlacementServiceOptions = {
    readonly instances: InstanceTable;
    readonly traffic: () => Traffic | undefined;
    /** Requests per second that an engine takes from all gateways together; undefined if it names no limit. @default none */
    readonly limitOf?: (engine: string) => number | undefined;
    /** Share of placements that each waiting priority gets at least. @default 0.1 */
    readonly floor?: number;
    /** Whether the observed speeds of engines are taken into account. @default false */
    readonly bySpeed?: boolean;
    /** Called with a gateway's statistics of its calls to plain services. */
    readonly onServerCalls: (calls: readonly ServerCalls[]) => void;
    /** Called with an incarnation that a gateway reports as ended. */
    readonly onIncarnationEnded: (instance: string) => void;
    /** Rules of the retry budget that all gateways share; undefined if this leader lends no retries. */
    readonly repeats?: RetryBudgetRules | undefined;
    readonly clock: Clock;
    readonly logger: Logger;
    /** @default discarded */
    readonly metrics?: Metrics;
};

/** Places runs on engines for all gateways while this directory leads, with one `PlacementQueue` per service. */
export class PlacementService {
    private readonly pools = new Map<string, PlacementQueue>();
    private readonly serviceOfAttempt = new Map<string, string>();
    private readonly decisionCallbacks = new Map<string, DecisionCallback>();
    private readonly sharedRetryBudgets = new Map<string, SharedRetryBudget>();
    private readonly startedAt: number;
    private readonly recorder: QueueRecorder;
    private cancelTick: (() => void) | undefined;
    private closed = false;
    /** Whether engines or rules have changed since they were last applied to the pools. */
    private poolsOutdated = true;

    private constructor(private readonly options: PlacementServiceOptions, private readonly term: number) {
        this.startedAt = options.clock.monotonic();
        this.recorder = QueueRecorder.create(options.logger, options.metrics ?? SilentMetrics.create());
        this.scheduleTick();
    }

    /** `term`: the term of the leadership; by it gateways know which leader granted their placements. */
    static create(options: PlacementServiceOptions, term: number): PlacementService {
        return new PlacementService(options, term);
    }

    /**
     * Marks engines or rules as changed; the changes are applied together before the next decision. Applying them iterates
     * over every server of every pool: doing so for each of a thousand first heartbeats after a restart kept the leader
     * busy, and doing so after a delay placed runs on engines that were already known to have left.
     */
    markPoolsOutdated(): void {
        this.poolsOutdated = true;
    }

    /** Handles a message from a gateway; undefined for messages that have no reply. */
    async handle(message: PlacementMessage): Promise<PlacementReply | undefined> {
        const now = this.options.clock.monotonic();
        this.refreshPools();
        switch (message.kind) {
            case "place":
                return this.requestPlacement(message.demand, now);
            case "withdraw":
                this.deliverDecisions(this.poolOfAttempt(message.attempt)?.withdraw(message.attempt, now));
                this.serviceOfAttempt.delete(message.attempt);
                return undefined;
            case "prefilled":
                this.poolOfAttempt(message.attempt)?.prefillCompleted(message.attempt, now);
                return undefined;
            case "release":
                this.deliverDecisions(this.poolOfAttempt(message.attempt)?.release(message.attempt, message.end, now));
                this.serviceOfAttempt.delete(message.attempt);
                return undefined;
            case "holdings":
                this.reconcile(message, now);
                return undefined;
            case "borrow":
                return { kind: "lent", granted: this.lendRetry(message.service, message.gateway, now) };
            case "probe":
                return { kind: "leading", term: this.term };
            case "calls":
                this.options.onServerCalls(message.calls);
                return undefined;
            case "ended":
                this.options.onIncarnationEnded(message.instance);
                return undefined;
        }
    }

    /** Releases the placements and removes the queued requests of gateways that aren't in the list. */
    retainGateways(names: readonly string[]): void {
        const now = this.options.clock.monotonic();
        for (const pool of this.pools.values()) {
            pool.gateways().filter(name => !names.includes(name)).forEach(name => {
                this.deliverDecisions(pool.dropGateway(name, now));
            });
        }
    }

    /** Records that an engine was ordered to change its stage, and within how many milliseconds it may do so. */
    recordStageOrder({ id, service }: ServerAnnouncement, stage: ServerAnnouncement["stage"], within: number): void {
        this.pools.get(service)?.recordStageOrder(id, stage, this.options.clock.monotonic() + within);
    }

    /** Number of a service's queued placement requests. */
    queuedRequests(service: string): number {
        return this.pools.get(service)?.counts().waiting ?? 0;
    }

    /** Resources that a typical request of the service uses; undefined until enough have been served under this leader. */
    typicalRequest(service: string): TypicalRequest | undefined {
        return this.pools.get(service)?.typicalRequest();
    }

    /** Numbers of queued requests and of placements, over all pools. */
    queueStatus(): { readonly waiting: number; readonly placements: number; } {
        const statuses = [...this.pools.values()].map(pool => pool.counts());
        return {
            waiting: statuses.reduce((sum, status) => sum + status.waiting, 0),
            placements: statuses.reduce((sum, status) => sum + status.active, 0),
        };
    }

    /** Sets the numbers of waiting requests by priority. */
    measure(metrics: Metrics): void {
        this.setWaitingGauges(metrics, waiting => waiting);
    }

    /** Stops the service; pending requests receive no decision. */
    close(): void {
        this.closed = true;
        this.cancelTick?.();
        this.decisionCallbacks.clear();
        // The directory may go on without leading, and its metrics would keep the last values.
        this.setWaitingGauges(this.options.metrics, () => 0);
    }

    /** Applies changed engines and rules to the pools. */
    private refreshPools(): void {
        if (!this.poolsOutdated) {
            return;
        }
        this.poolsOutdated = false;
        const { instances, traffic, limitOf, floor = defaultShortageFloor, bySpeed = false } = this.options;
        const tuning = bySpeed ? speedPlacementTuning : leaderPlacementTuning;
        const allInstances = instances.all();
        const current = traffic();
        for (const service of current?.services ?? []) {
            if (service.engine !== undefined) {
                const pool = this.pools.get(service.name)
                    ?? PlacementQueue.create(tuning, limitOf, this.recorder);
                this.pools.set(service.name, pool);
                pool.setPrioritised(hasSeveralPriorities(current, service.name), floor);
                pool.setEngines(allInstances.filter(instance => instance.service === service.name), service.engine);
            }
        }
    }

    private async requestPlacement(
        request: Extract<PlacementMessage, { kind: "place"; }>["demand"],
        now: number,
    ): Promise<PlacementReply> {
        const pool = this.pools.get(request.service);
        if (pool === undefined) {
            // A new leader may not have parsed its configuration yet.
            await new Promise<void>(resolve => this.options.clock.after(replyTimeoutMilliseconds, resolve));
            return { kind: "waiting", term: this.term };
        }
        this.serviceOfAttempt.set(request.attempt, request.service);
        const answer = new Promise<PlacementReply>(resolve => {
            const cancel = this.options.clock.after(replyTimeoutMilliseconds, () => {
                this.decisionCallbacks.delete(request.attempt);
                resolve({ kind: "waiting", term: this.term });
            });
            this.decisionCallbacks.set(request.attempt, decision => {
                cancel();
                resolve(this.decisionReply(decision));
            });
        });
        this.deliverDecisions(pool.enqueueRequest(request, now));
        return answer;
    }

    private lendRetry(service: string, gateway: string, now: number): boolean {
        const { repeats, logger } = this.options;
        if (repeats === undefined) {
            return false;
        }
        const budget = this.sharedRetryBudgets.get(service) ?? SharedRetryBudget.create(repeats, this.startedAt);
        this.sharedRetryBudgets.set(service, budget);
        const granted = budget.lend(now);
        logger.info("a gateway requested a retry from the shared budget", { gateway, service, granted });
        return granted;
    }

    private reconcile(message: Extract<PlacementMessage, { kind: "holdings"; }>, now: number): void {
        for (const [service, pool] of this.pools) {
            const reported = message.held.filter(({ demand }) => demand.service === service);
            reported.forEach(({ demand }) => this.serviceOfAttempt.set(demand.attempt, service));
            this.deliverDecisions(pool.reconcile(message.gateway, reported, placementsGraceMilliseconds, now));
            // After the runs have been added: the time of an event is converted by their number.
            reported.forEach(({ decode, writing }) => pool.recordWriting(decode, writing, now));
        }
    }

    private deliverDecisions(decisions: readonly PlacementDecision[] = []): void {
        for (const decision of decisions) {
            // Without a pending call the gateway receives the decision when it asks again; the placement is kept until then.
            const callback = this.decisionCallbacks.get(decision.attempt);
            this.decisionCallbacks.delete(decision.attempt);
            callback?.(decision);
            if (decision.kind === "refused") {
                this.serviceOfAttempt.delete(decision.attempt);
            }
        }
    }

    private setWaitingGauges(metrics: Metrics | undefined, valueOf: (waiting: number) => number): void {
        for (const [service, pool] of this.pools) {
            for (const [priority, waiting] of pool.waitingByPriority()) {
                const labels = { service, rank: rankLabel(priority) };
                metrics?.gauge("basilpaddle_placements_waiting", valueOf(waiting), labels);
            }
        }
    }

    private poolOfAttempt(attempt: string): PlacementQueue | undefined {
        return this.pools.get(this.serviceOfAttempt.get(attempt) ?? "");
    }

    private decisionReply(decision: PlacementDecision): PlacementReply {
        return { kind: "decided", term: this.term, decision };
    }

    private scheduleTick(): void {
        this.cancelTick = this.options.clock.after(tickIntervalMilliseconds, () => {
            if (!this.closed) {
                const now = this.options.clock.monotonic();
                this.refreshPools();
                this.pools.forEach(pool => this.deliverDecisions(pool.review(now)));
                this.scheduleTick();
            }
        });
    }
}
