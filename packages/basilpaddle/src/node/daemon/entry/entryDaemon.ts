import type { IncomingMessage, ServerResponse } from "node:http";
import { getHeapStatistics } from "node:v8";
import {
    type ControlClient,
    CrashDetector,
    hasEnded,
    type Placement,
    type QuarantinedRequests,
} from "../../coordination/index.js";
import {
    AttemptIds,
    Cancellations,
    type EngineClientFactory,
    EngineClients,
    LeavingBackends,
    type RequestDependencies,
    RetryBudget,
    RunRecords,
} from "../../coordination/request/index.js";
import { callerHeaders, type EntrySettings, PrefixHash, type View } from "../../protocol/index.js";
import { probeListening } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Metrics, type Randomness } from "../../utils/index.js";
import { BodyRoom, type ConnectionGuard, defaultRoomBytes } from "../listeners/index.js";
import { BackendMessages } from "./backendMessages.js";
import { CallerRoutes } from "./callerRoutes.js";
import { HttpServer } from "./httpServer.js";
import { ModelCalls } from "./modelCalls.js";
import { OpenRequests } from "./openRequests.js";
import { internalErrorOutcome, notRun, sendRefusal } from "./reply.js";
import { ServiceCalls } from "./services/serviceCalls.js";
import { ServiceConnections } from "./services/serviceConnections.js";

/** How long a drain waits for engines to confirm cancels, and for a quorum to commit run records. */
const settleTimeoutMilliseconds = 5_000;
/** Part of the heap's limit that the bodies of callers may take: they are held until their answers have ended. */
const callersHeapFraction = 1 / 4;

/** Settings and dependencies of an entry daemon. */
export type EntryDaemonOptions = {
    readonly settings: EntrySettings;
    readonly control: ControlClient;
    readonly placement: Placement;
    readonly engines: EngineClientFactory;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** This daemon's copy of the quarantined requests. */
    readonly quarantinedRequests: QuarantinedRequests;
    /** Bounds what the connections to its listeners hold. */
    readonly guard: ConnectionGuard;
};

/** Result of a drain. */
export type DrainReport = {
    /** Identifiers of the requests that were aborted by a second call of `drain`. */
    readonly abortedRequests: readonly string[];
    /** Cancels that the engine didn't confirm in time. */
    readonly unconfirmedCancels: number;
    /** Run records that no quorum committed in time. */
    readonly undecidedRuns: number;
};

/** Serves callers and backend servers over HTTP. */
export class EntryDaemon {
    private readonly store = DisposableStore.create();
    private readonly requestsInProgress = OpenRequests.create();
    private callerListener!: HttpServer;
    private backendListener!: HttpServer;
    private draining: Promise<DrainReport> | undefined;
    private readonly abortedRequestIds: string[] = [];

    private constructor(
        private readonly options: EntryDaemonOptions,
        private readonly requestDependencies: RequestDependencies,
    ) {}

    static async create(options: EntryDaemonOptions): Promise<EntryDaemon> {
        const requestDependencies = createRequestDependencies(options);
        const daemon = new EntryDaemon(options, requestDependencies);
        await daemon.start(await PrefixHash.create());
        return daemon;
    }

    /** Port of the callers' listener. */
    callerPort(): number {
        return this.callerListener.port();
    }

    /** Port of the backend servers' listener. */
    backendPort(): number {
        return this.backendListener.port();
    }

    /** Requests in progress. */
    openRequests(): number {
        return this.requestsInProgress.size;
    }

    /** Whether the platform's load balancer should send requests to this daemon. */
    isReady(): boolean {
        return this.draining === undefined && this.options.control.mayStart();
    }

    /**
     * Refuses new requests and waits without a time limit until those in progress have ended. A second call aborts them;
     * both calls then report which requests were aborted.
     */
    drain(): Promise<DrainReport> {
        if (this.draining !== undefined) {
            this.abortedRequestIds.push(...this.requestsInProgress.stopAll());
            return this.draining;
        }
        this.options.logger.info("draining", { open: this.requestsInProgress.size });
        this.draining = this.waitUntilDrained();
        this.callerListener.closeIdle();
        return this.draining;
    }

    /** Drains if `drain` wasn't called before, then closes the listeners and engine clients, but not the control client or the placement. */
    async close(): Promise<void> {
        await (this.draining ?? this.drain());
        await this.store.dispose();
    }

    private async start(prefixHash: PrefixHash): Promise<void> {
        const { settings, control, logger, guard } = this.options;
        const room = this.roomFor("callers", settings.limits.heldBodyBytes ?? callersRoomBytes());
        const calls = ModelCalls.create({
            requestDependencies: this.requestDependencies,
            prefixHash,
            limits: settings.limits,
            room,
        });
        const connections = ServiceConnections.create(this.options.randomness);
        const routes = CallerRoutes.create({
            calls,
            services: ServiceCalls.create({
                requestDependencies: this.requestDependencies,
                limits: settings.limits,
                room,
                connections,
            }),
            control,
            openRequests: this.requestsInProgress,
            clock: this.options.clock,
            limits: settings.limits,
            isReady: () => this.isReady(),
            isDraining: () => this.draining !== undefined,
        });
        const messages = BackendMessages.create({
            ...this.requestDependencies,
            settings,
            room: this.roomFor("backends", defaultRoomBytes(settings.limits.bodyBytes)),
        });
        this.store.add(() => connections.close());
        this.store.add(() => this.requestDependencies.engines.close());
        this.store.add(() => this.requestDependencies.cancellations.close());
        this.store.add(() => this.requestDependencies.runRecords.close());
        this.store.add(() => this.requestDependencies.crashDetector.close());
        this.store.add(control.onView(view => this.applyView(view)));
        const receiveTimeout = settings.limits.receiveTimeout;
        this.callerListener = await HttpServer.create({
            address: settings.callers,
            listener: "callers",
            guard,
            receiveTimeout,
            logger,
            handler: (request, response) => this.handle(request, response, id => routes.serve(id, request, response)),
        });
        this.store.add(() => this.callerListener.close());
        this.backendListener = await HttpServer.create({
            address: settings.backends,
            listener: "backends",
            guard,
            receiveTimeout,
            logger,
            handler: (request, response) => this.handle(request, response, id => messages.serve(id, request, response)),
        });
        this.store.add(() => this.backendListener.close());
    }

    private handle(
        request: IncomingMessage,
        response: ServerResponse,
        serve: (requestId: string) => Promise<void>,
    ): void {
        const requestId = this.options.randomness.identifier();
        response.setHeader(callerHeaders.requestId, requestId);
        if (this.draining !== undefined) {
            response.setHeader("connection", "close");
        }
        serve(requestId).catch((failure: unknown) => {
            this.options.logger.error("request failed with an internal error", {
                request: requestId,
                path: request.url,
                failure: failure instanceof Error ? failure.stack : String(failure),
            });
            const refusal = { ...notRun("internal", "a fault of this daemon"), outcome: internalErrorOutcome };
            sendRefusal(response, refusal, requestId);
        });
    }

    /** Room for the bodies of one listener. */
    private roomFor(listener: string, limit: number): BodyRoom {
        const { clock, logger, metrics } = this.options;
        return BodyRoom.create({ listener, limit, clock, logger, metrics });
    }

    private async waitUntilDrained(): Promise<DrainReport> {
        await this.requestsInProgress.untilEmpty();
        const [unconfirmedCancels, undecidedRuns] = await Promise.all([
            this.requestDependencies.cancellations.drain(settleTimeoutMilliseconds),
            this.requestDependencies.runRecords.drain(settleTimeoutMilliseconds),
        ]);
        return { abortedRequests: this.abortedRequestIds, unconfirmedCancels, undecidedRuns };
    }

    private applyView(view: View): void {
        this.requestDependencies.leavingBackends.removeReflected(view);
        const urls = new Set(Object.values(view.backends).map(backend => backend.announcement.url));
        this.requestDependencies.engines.closeUnused(urls).catch((failure: unknown) => {
            this.options.logger.warn("failed to close the client of a removed engine", { failure: String(failure) });
        });
    }
}

/** Bytes that the bodies of all callers may take by default. */
function callersRoomBytes(): number {
    return Math.floor(getHeapStatistics().heap_size_limit * callersHeapFraction);
}

function createRequestDependencies(options: EntryDaemonOptions): RequestDependencies {
    const { settings, control, clock, randomness, logger, metrics } = options;
    const engines = EngineClients.create(options.engines);
    const view = () => control.view();
    return {
        failureDomain: settings.failureDomain,
        control,
        placement: options.placement,
        engines,
        cancellations: Cancellations.create({ engines, view, clock, randomness, logger, metrics }),
        runRecords: RunRecords.create({ control, clock, randomness, logger, metrics }),
        leavingBackends: LeavingBackends.create(),
        retryBudget: RetryBudget.create(),
        clock,
        randomness,
        logger,
        metrics,
        crashDetector: CrashDetector.create({
            quarantine: options.quarantinedRequests,
            isLost: incarnation => hasEnded(control.view(), incarnation),
            listenStatusOf: probeListening,
            clock,
            logger,
            metrics,
        }),
        attempts: AttemptIds.create(control.session()),
    };
}
