import { type InstanceTable, planStages, type StageChange, type UsualRequest } from "../../coordination/index.js";
import type { Announced, Traffic } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { type BackendConnections, drain, isAnswer } from "../backends/index.js";
import type { DirectoryWire, StageOrderOutcome } from "./directoryWire.js";

/** Milliseconds between two looks at the stages. */
const lookInterval = 500;
/** Milliseconds without an engine that comes or goes, two heartbeats, after which a pool counts as known. */
const settleTime = 2_500;
/** Connections to one engine for orders. */
const orderConnections = 2;
/** Milliseconds for an engine to answer an order. */
const answerTime = 1_000;
/** Milliseconds after an order without a clear answer in which it may still be carried out. */
const unknownTime = 15_000;
/** Milliseconds added to the lease before a new holder gives its first order: its clock and the last holder's may differ. */
const leaseMargin = 1_000;
/** Milliseconds between two changes of stages: each costs the engine's work for a while. */
const restBetween = 8_000;

/**
 * Milliseconds for which decode engines must be wanted for prefill, with no demand waiting for a place, before they are taken:
 * one is out for ten seconds and more, and bursts last less. Engines that turned slow for some seconds made readings look
 * long, and decode engines would be taken just as a burst begins.
 */
const steadyTime = 15_000;

/** What orders are decided from. */
export type StageOrderSources = {
    readonly holder: string;
    readonly instances: InstanceTable;
    readonly traffic: () => Traffic | undefined;
    /** What a request of a service takes of its pool, where that has been observed. */
    readonly usualRequest: (service: string) => UsualRequest | undefined;
    /** Demands of a service that wait for a place. */
    readonly waiting: (service: string) => number;
    /** Called when an engine may have taken an order: by then it takes no work of its old stage any more. */
    readonly onOrdered: (engine: Announced, stage: StageChange["stage"], within: number) => void;
    readonly wire: DirectoryWire;
    readonly connections: BackendConnections;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Milliseconds that a former holder may still believe to hold the right to give orders. */
    readonly lease: number;
    /** Whether no other daemon can have given orders before. */
    readonly firstHolder: boolean;
};

/**
 * Brings the stages of each pool's engines to their plan, by orders under a fencing token. Only the leader gives any,
 * and a new one waits until the one before has known for long that it leads no more: two holders that take turns would
 * undo each other's orders.
 */
export class StageOrders {
    private readonly pending = new Map<string, number>();
    private readonly counts = new Map<string, { readonly count: number; readonly since: number; }>();
    /** Since when decode engines of a service are wanted for prefill. */
    private readonly wantedSince = new Map<string, number>();
    private readonly mayOrderAt: number;
    private restUntil = 0;
    private cancel: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly sources: StageOrderSources, private readonly fence: number) {
        const now = sources.clock.monotonic();
        this.mayOrderAt = sources.firstHolder ? now : now + sources.lease + leaseMargin;
        this.schedule();
    }

    /** `fence`: the term of the leadership, which no other leader shares. */
    static create(sources: StageOrderSources, fence: number): StageOrders {
        return new StageOrders(sources, fence);
    }

    /** Gives no further orders. */
    close(): void {
        this.closed = true;
        this.cancel?.();
    }

    private schedule(): void {
        this.cancel = this.sources.clock.after(lookInterval, () => {
            if (!this.closed) {
                this.look();
                this.schedule();
            }
        });
    }

    private look(): void {
        const { clock, instances, traffic, usualRequest } = this.sources;
        const now = clock.monotonic();
        if (now < this.mayOrderAt || now < this.restUntil) {
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
            const changes = planStages(engines, service.engine, usualRequest(service.name)).filter(change =>
                now >= (this.pending.get(change.engine.id) ?? 0)
            );
            if (!changes.some(({ stage }) => stage === "prefill")) {
                this.wantedSince.delete(service.name);
            }
            if (changes.length > 0 && this.isDue(service.name, engines, changes, now)) {
                this.restUntil = now + restBetween;
                changes.forEach(change => void this.order(change));
            }
        }
    }

    /** Whether changes should be made now; one that takes decode engines has to be wanted for a while, unless none reads. */
    private isDue(
        service: string,
        engines: readonly Announced[],
        changes: readonly StageChange[],
        now: number,
    ): boolean {
        const takesDecode = changes.some(({ stage }) => stage === "prefill");
        const anyReads = engines.some(({ stage, state }) => stage === "prefill" && state === "ready");
        if (!takesDecode || !anyReads) {
            return true;
        }
        const since = this.wantedSince.get(service);
        if (since === undefined || this.sources.waiting(service) > 0) {
            this.wantedSince.set(service, now);
            return false;
        }
        return now - since >= steadyTime;
    }

    /** Whether no engine has come or gone for a while: a plan by half of a starting pool would turn too many. */
    private hasSettled(service: string, count: number, now: number): boolean {
        const known = this.counts.get(service);
        if (known?.count !== count) {
            this.counts.set(service, { count, since: now });
            return false;
        }
        return now - known.since >= settleTime;
    }

    private async order(change: StageChange): Promise<void> {
        const { wire, holder, logger, clock, onOrdered } = this.sources;
        const { engine, stage } = change;
        this.pending.set(engine.id, clock.monotonic() + unknownTime);
        const call = wire.order({ engine, stage, holder, fence: this.fence });
        onOrdered(engine, stage, unknownTime);
        const outcome = await this.send(engine, call);
        if (outcome !== "accepted" && outcome !== "unknown") {
            onOrdered(engine, stage, 0);
        }
        logger.info("ordered an engine to change its stage", { engine: engine.id, stage, fence: this.fence, outcome });
    }

    private async send(engine: Announced, call: ReturnType<DirectoryWire["order"]>): Promise<StageOrderOutcome> {
        const { connections, wire, logger } = this.sources;
        const result = await connections.call(
            {
                server: engine,
                method: call.method,
                path: call.path,
                headers: Object.entries(call.headers).flat(),
                body: call.body === undefined ? undefined : Buffer.from(call.body),
                signal: AbortSignal.timeout(answerTime),
            },
            orderConnections,
            1,
        );
        if (isAnswer(result)) {
            drain(result);
            return wire.orderOutcome(result.status);
        }
        logger.warn("an order got no answer; it may still be carried out", { engine: engine.id, ...result });
        return "unknown";
    }
}
