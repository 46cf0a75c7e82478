import type { IncomingMessage, ServerResponse } from "node:http";
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
    type RequestParts,
    RetryBudget,
    RunRecords,
} from "../../coordination/request/index.js";
import { callerHeaders, type EntrySettings, PrefixHash, type View } from "../../protocol/index.js";
import { probeListening } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Metrics, type Randomness } from "../../utils/index.js";
import { BackendMessages } from "./backendMessages.js";
import { CallerRoutes } from "./callerRoutes.js";
import { HttpServer } from "./httpServer.js";
import { ModelCalls } from "./modelCalls.js";
import { OpenRequests } from "./openRequests.js";
import { internalErrorOutcome, notRun, sendRefusal } from "./reply.js";
import { ServiceCalls } from "./services/serviceCalls.js";
import { ServiceConnections } from "./services/serviceConnections.js";

/** How long a drain waits for engines to confirm cancels, and for run records to be decided. */
const settleTimeoutMilliseconds = 5_000;

/** Dependencies of an entry daemon. */
export type EntryDaemonParts = {
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
};

/** Result of a drain. */
export type DrainReport = {
    /** Identifiers of the requests that were stopped by a second call of `drain`. */
    readonly cut: readonly string[];
    /** Cancels that the engine didn't confirm in time, and run records that no quorum decided in time. */
    readonly unconfirmedCancels: number;
    readonly undecidedRuns: number;
};

/** Serves callers and backend servers over HTTP. */
export class EntryDaemon {
    private readonly store = DisposableStore.create();
    private readonly open = OpenRequests.create();
    private callerListener!: HttpServer;
    private backendListener!: HttpServer;
    private draining: Promise<DrainReport> | undefined;
    private readonly cut: string[] = [];

    private constructor(
        private readonly parts: EntryDaemonParts,
        private readonly request: RequestParts,
    ) {}

    static async create(parts: EntryDaemonParts): Promise<EntryDaemon> {
        const request = requestParts(parts);
        const daemon = new EntryDaemon(parts, request);
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
        return this.open.size;
    }

    /** Whether the platform's load balancer should send requests to this daemon. */
    isReady(): boolean {
        return this.draining === undefined && this.parts.control.mayStart();
    }

    /**
     * Refuses new requests and waits without a time limit until those in progress have ended. A second call stops them;
     * both calls then report which requests were stopped.
     */
    drain(): Promise<DrainReport> {
        if (this.draining !== undefined) {
            this.cut.push(...this.open.stopAll());
            return this.draining;
        }
        this.parts.logger.info("draining", { open: this.open.size });
        this.draining = this.waitUntilDrained();
        this.callerListener.closeIdle();
        return this.draining;
    }

    /** Drains unless that was already done, then closes the listeners and engine clients, but not the control client or the placement. */
    async close(): Promise<void> {
        await (this.draining ?? this.drain());
        await this.store.dispose();
    }

    private async start(prefixHash: PrefixHash): Promise<void> {
        const { settings, control, logger } = this.parts;
        const calls = ModelCalls.create({ request: this.request, prefixHash, limits: settings.limits });
        const connections = ServiceConnections.create(this.parts.randomness);
        const routes = CallerRoutes.create({
            calls,
            services: ServiceCalls.create({ request: this.request, limits: settings.limits, connections }),
            control,
            open: this.open,
            clock: this.parts.clock,
            limits: settings.limits,
            isReady: () => this.isReady(),
            isDraining: () => this.draining !== undefined,
        });
        const messages = BackendMessages.create({ ...this.request, settings });
        this.store.add(() => connections.close());
        this.store.add(() => this.request.engines.close());
        this.store.add(() => this.request.cancellations.close());
        this.store.add(() => this.request.runRecords.close());
        this.store.add(() => this.request.crashDetector.close());
        this.store.add(control.onView(view => this.applyView(view)));
        const receiveTimeout = settings.limits.receiveTimeout;
        this.callerListener = await HttpServer.create({
            address: settings.callers,
            receiveTimeout,
            logger,
            handler: (request, response) => this.handle(request, response, id => routes.serve(id, request, response)),
        });
        this.store.add(() => this.callerListener.close());
        this.backendListener = await HttpServer.create({
            address: settings.backends,
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
        const requestId = this.parts.randomness.identifier();
        response.setHeader(callerHeaders.requestId, requestId);
        if (this.draining !== undefined) {
            response.setHeader("connection", "close");
        }
        serve(requestId).catch((failure: unknown) => {
            this.parts.logger.error("request failed with an internal error", {
                request: requestId,
                path: request.url,
                failure: failure instanceof Error ? failure.stack : String(failure),
            });
            const refusal = { ...notRun("internal", "a fault of this daemon"), outcome: internalErrorOutcome };
            sendRefusal(response, refusal, requestId);
        });
    }

    private async waitUntilDrained(): Promise<DrainReport> {
        await this.open.untilEmpty();
        const [unconfirmedCancels, undecidedRuns] = await Promise.all([
            this.request.cancellations.drain(settleTimeoutMilliseconds),
            this.request.runRecords.drain(settleTimeoutMilliseconds),
        ]);
        return { cut: this.cut, unconfirmedCancels, undecidedRuns };
    }

    private applyView(view: View): void {
        this.request.marks.removeReflected(view);
        const urls = new Set(Object.values(view.backends).map(backend => backend.announcement.url));
        this.request.engines.closeUnused(urls).catch((failure: unknown) => {
            this.parts.logger.warn("the client of a removed engine didn't close", { failure: String(failure) });
        });
    }
}

function requestParts(parts: EntryDaemonParts): RequestParts {
    const { settings, control, clock, randomness, logger, metrics } = parts;
    const engines = EngineClients.create(parts.engines);
    const view = () => control.view();
    return {
        failureDomain: settings.failureDomain,
        control,
        placement: parts.placement,
        engines,
        cancellations: Cancellations.create({ engines, view, clock, randomness, logger, metrics }),
        runRecords: RunRecords.create({ control, clock, randomness, logger, metrics }),
        marks: LeavingBackends.create(),
        retryBudget: RetryBudget.create(),
        clock,
        randomness,
        logger,
        metrics,
        crashDetector: CrashDetector.create({
            quarantine: parts.quarantinedRequests,
            isLost: incarnation => hasEnded(control.view(), incarnation),
            listenStatusOf: probeListening,
            clock,
            logger,
            metrics,
        }),
        attempts: AttemptIds.create(control.session()),
    };
}
