import { type InstanceTable, planStages, type StageChange, type TypicalRequest } from "../../coordination/index.js";
import type { ServerAnnouncement, Traffic } from "../../protocol/index.js";
import { type Clock, type Logger, runInBackground } from "../../utils/index.js";
import { type BackendConnections, drain, isAnswer } from "../backends/index.js";
import type { DirectoryWire, StageOrderOutcome } from "./directoryWire.js";

/** Interval at which the stages are compared with their plan. */
const checkIntervalMilliseconds = 500;
/** A pool counts as settled once no engine has joined or left for this long: two heartbeats. */
const settleTimeMilliseconds = 2_500;
/** Connection limit of one engine for orders. */
const connectionsPerEngine = 2;
/** Timeout of an order to an engine. */
const orderTimeoutMilliseconds = 1_000;
/** How long an order without a conclusive answer may still be executed. */
const unknownOutcomeMilliseconds = 15_000;
/** Margin added to the lease before a new holder issues its first order: its clock and the previous holder's may differ. */
const leaseMarginMilliseconds = 1_000;
/** Minimum time between two rounds of stage changes: each change costs the engine's work for a while. */
const cooldownMilliseconds = 8_000;

/**
 * How long the plan must call for more prefill engines, with no placement request queued, before decode engines are
 * converted: a converted engine is unavailable for ten seconds or more, and bursts are shorter than that. Engines that were
 * slow for some seconds made prefills appear long, and decode engines would be converted just as a burst begins.
 */
const sustainedDemandMilliseconds = 15_000;

/** Inputs and dependencies of `StageOrders`. */
export type StageOrdersOptions = {
    readonly holder: string;
    readonly instances: InstanceTable;
    readonly traffic: () => Traffic | undefined;
    /** Resources that a typical request of a service uses; undefined if none have been observed. */
    readonly typicalRequest: (service: string) => TypicalRequest | undefined;
    /** Number of a service's queued placement requests. */
    readonly queuedRequests: (service: string) => number;
    /** Called when an engine may have accepted an order: from then on it accepts no work of its old stage. */
    readonly onOrdered: (engine: ServerAnnouncement, stage: StageChange["stage"], withinMilliseconds: number) => void;
    readonly wire: DirectoryWire;
    readonly connections: BackendConnections;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Milliseconds for which a previous holder may still believe that it may issue orders. */
    readonly lease: number;
    /** Whether no other daemon can have issued orders before. */
    readonly firstHolder: boolean;
};

/**
 * Changes the stages of each pool's engines according to their plan, by orders with a fencing token. Only the leader issues
 * orders, and a new leader waits until the previous one must have noticed its loss of leadership: two holders that issue
 * orders alternately would undo each other's.
 */
export class StageOrders {
    private readonly orderableAt = new Map<string, number>();
    private readonly engineCounts = new Map<string, { readonly count: number; readonly since: number; }>();
    /** Per service, since when the plan has called for decode engines to become prefill engines. */
    private readonly prefillWantedSince = new Map<string, number>();
    private readonly mayOrderAt: number;
    private cooldownUntil = 0;
    private cancelCheck: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly options: StageOrdersOptions, private readonly fence: number) {
        const now = options.clock.monotonic();
        this.mayOrderAt = options.firstHolder ? now : now + options.lease + leaseMarginMilliseconds;
        this.scheduleCheck();
    }

    /** `fence`: the term of the leadership, which is unique to this leader. */
    static create(options: StageOrdersOptions, fence: number): StageOrders {
        return new StageOrders(options, fence);
    }

    /** Issues no further orders. */
    close(): void {
        this.closed = true;
        this.cancelCheck?.();
    }

    private scheduleCheck(): void {
        this.cancelCheck = this.options.clock.after(checkIntervalMilliseconds, () => {
            if (!this.closed) {
                this.checkStages();
                this.scheduleCheck();
            }
        });
    }

    private checkStages(): void {
        const { clock, instances, traffic, typicalRequest } = this.options;
        const now = clock.monotonic();
        if (now < this.mayOrderAt || now < this.cooldownUntil) {
            return;
        }
        for (const service of traffic()?.services ?? []) {
            if (service.engine === undefined) {
                continue;
            }
            const engines = instances.all().filter(instance => instance.service === service.name);
            if (!this.hasSettled(service.name, engines.length, now)) {
                continue;
            }
            const changes = planStages(engines, service.engine, typicalRequest(service.name)).filter(change =>
                now >= (this.orderableAt.get(change.engine.id) ?? 0)
            );
            if (!changes.some(({ stage }) => stage === "prefill")) {
                this.prefillWantedSince.delete(service.name);
            }
            if (changes.length > 0 && this.isDue(service.name, engines, changes, now)) {
                this.cooldownUntil = now + cooldownMilliseconds;
                changes.forEach(change => {
                    const { engine: { id: engine }, stage } = change;
                    runInBackground(this.order(change), this.options.logger, "an order failed", { engine, stage });
                });
            }
        }
    }

    /** Whether to order the changes now: converting decode engines needs sustained demand unless no prefill engine is ready. */
    private isDue(
        service: string,
        engines: readonly ServerAnnouncement[],
        changes: readonly StageChange[],
        now: number,
    ): boolean {
        const convertsDecodeEngines = changes.some(({ stage }) => stage === "prefill");
        const hasReadyPrefillEngine = engines.some(({ stage, state }) => stage === "prefill" && state === "ready");
        if (!convertsDecodeEngines || !hasReadyPrefillEngine) {
            return true;
        }
        const since = this.prefillWantedSince.get(service);
        if (since === undefined || this.options.queuedRequests(service) > 0) {
            this.prefillWantedSince.set(service, now);
            return false;
        }
        return now - since >= sustainedDemandMilliseconds;
    }

    /** Whether no engine has joined or left for a while: a plan for a half-started pool would convert too many engines. */
    private hasSettled(service: string, count: number, now: number): boolean {
        const previous = this.engineCounts.get(service);
        if (previous?.count !== count) {
            this.engineCounts.set(service, { count, since: now });
            return false;
        }
        return now - previous.since >= settleTimeMilliseconds;
    }

    private async order(change: StageChange): Promise<void> {
        const { wire, holder, logger, clock, onOrdered } = this.options;
        const { engine, stage } = change;
        this.orderableAt.set(engine.id, clock.monotonic() + unknownOutcomeMilliseconds);
        const call = wire.order({ engine, stage, holder, fence: this.fence });
        onOrdered(engine, stage, unknownOutcomeMilliseconds);
        const outcome = await this.send(engine, call);
        if (outcome !== "accepted" && outcome !== "unknown") {
            onOrdered(engine, stage, 0);
        }
        logger.info("ordered an engine to change its stage", { engine: engine.id, stage, fence: this.fence, outcome });
    }

    private async send(
        engine: ServerAnnouncement,
        call: ReturnType<DirectoryWire["order"]>,
    ): Promise<StageOrderOutcome> {
        const { connections, wire, logger } = this.options;
        const result = await connections.call(
            {
                server: engine,
                method: call.method,
                path: call.path,
                headers: Object.entries(call.headers).flat(),
                body: call.body === undefined ? undefined : Buffer.from(call.body),
                signal: AbortSignal.timeout(orderTimeoutMilliseconds),
            },
            connectionsPerEngine,
            1,
        );
        if (isAnswer(result)) {
            drain(result, { server: engine, limits: connections.answers });
            return wire.parseOrderOutcome(result.status);
        }
        logger.warn("an order got no answer; the engine may still execute it", { engine: engine.id, ...result });
        return "unknown";
    }
}
