import { type InstanceTable, OutlierDetector } from "../../coordination/index.js";
import type { DirectorySettings, LeaderMessage, Traffic } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { BackendConnections } from "../backends/index.js";
import { type AllowanceLimits, AllowanceService } from "./allowanceService.js";
import type { DirectoryWire } from "./directoryWire.js";
import type { GatewayPresence } from "./gatewayPresence.js";
import { PlacementService } from "./placementService.js";
import { ServerLimitService } from "./serverLimitService.js";
import { StageOrders } from "./stageOrders.js";

/** Dependencies of a leader's services. */
export type LeaderServicesOptions = {
    readonly settings: DirectorySettings;
    readonly wire: DirectoryWire;
    readonly instances: InstanceTable;
    readonly traffic: () => Traffic | undefined;
    /** When each gateway was last heard of. */
    readonly presence: GatewayPresence;
    readonly connections: BackendConnections;
    /** Called with an incarnation that a gateway reports as ended. */
    readonly onIncarnationEnded: (instance: string) => void;
    /** Called when gateways have to learn of a change. */
    readonly onChanged: () => void;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** What a directory does for all gateways while it leads; created anew for each term. */
export class LeaderServices {
    private readonly outlierDetector = OutlierDetector.create();
    private readonly placement: PlacementService;
    private readonly allowances: AllowanceService;
    /** Limits that backend servers name. */
    readonly serverLimits: ServerLimitService;
    private readonly stageOrders: StageOrders;

    private constructor(private readonly options: LeaderServicesOptions, term: number) {
        const { settings, wire, connections, clock, onChanged } = options;
        const firstLeader = settings.firstStart && term === 1;
        this.serverLimits = ServerLimitService.create({ ...options, onChanged });
        this.placement = PlacementService.create({
            ...options,
            repeats: settings.repeats,
            floor: settings.shortage.floor,
            bySpeed: settings.placement.bySpeed,
            limitOf: server => this.serverLimits.limitOf(server),
            onServerCalls: calls => this.outlierDetector.addCalls(calls, clock.monotonic()),
        }, term);
        const { floor } = settings.shortage;
        this.allowances = AllowanceService.create({ ...options, term, floor, firstLeader, onLimitsChanged: onChanged });
        this.stageOrders = StageOrders.create({
            ...options,
            typicalRequest: service => this.placement.typicalRequest(service),
            queuedRequests: service => this.placement.queuedRequests(service),
            onOrdered: (engine, stage, within) => this.placement.recordStageOrder(engine, stage, within),
            holder: settings.name,
            wire,
            connections,
            lease: settings.orderLease,
            firstHolder: firstLeader,
        }, term);
    }

    /** `term`: the term of the leadership. */
    static create(options: LeaderServicesOptions, term: number): LeaderServices {
        return new LeaderServices(options, term);
    }

    /** Handles a message from a gateway; undefined for messages that have no reply. */
    async handle(message: LeaderMessage): Promise<unknown> {
        switch (message.kind) {
            case "charge":
            case "spent":
                return this.allowances.handle(message);
            case "limits":
            case "admit":
                return this.serverLimits.handle(message);
            default:
                return this.placement.handle(message);
        }
    }

    /** Ejected backend servers of plain services. */
    ejected(): readonly string[] {
        return this.outlierDetector.ejected();
    }

    /** Organisations near their limit. */
    limits(): AllowanceLimits {
        return this.allowances.limits();
    }

    /** Marks engines or rules as changed. */
    markPoolsOutdated(): void {
        this.placement.markPoolsOutdated();
    }

    /** Drops what belongs to other gateways than these, and looks for changes that gateways have to learn of. */
    review(gateways: readonly string[]): void {
        this.placement.retainGateways(gateways);
        if (this.outlierDetector.updateEjections(this.options.clock.monotonic())) {
            this.options.logger.info("the set of ejected backend servers of plain services changed", {
                ejected: this.ejected(),
            });
            this.options.onChanged();
        }
        this.allowances.review();
    }

    /** Numbers of queued requests and of placements. */
    queueStatus(): ReturnType<PlacementService["queueStatus"]> {
        return this.placement.queueStatus();
    }

    /** Updates the gauges of a leader. */
    measure(metrics: Metrics): void {
        this.placement.measure(metrics);
        this.allowances.measure(metrics);
        this.serverLimits.measure(metrics);
    }

    /** Stops the services; pending requests receive no decision. */
    close(): void {
        this.placement.close();
        this.stageOrders.close();
    }
}
