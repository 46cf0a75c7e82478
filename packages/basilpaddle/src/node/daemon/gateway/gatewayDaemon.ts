import * as http from "node:http";
import {
    applyAnnouncement,
    CallTally,
    CrashDetector,
    DirectoryWatcher,
    InstanceTable,
    LinkQuality,
    QuarantinedRequests,
    ReportedAllowances,
    type RouteTable,
    ServerAdmission,
    ServerChoice,
} from "../../coordination/index.js";
import { type GatewaySettings, seedNames, type ServiceRule, type TrafficRoute } from "../../protocol/index.js";
import { TcpNetwork } from "../../transport/index.js";
import { DisposableStore, HostRandomness, type Metrics } from "../../utils/index.js";
import { ConnectionGuard } from "../listeners/index.js";
import type { RoutingOptions } from "../routingOptions.js";
import { AllowanceAdmission } from "./allowanceAdmission.js";
import { AnswerDurations } from "./answerDurations.js";
import { breakOff } from "./answerEnd.js";
import { AnswerEndCheck } from "./answerEndCheck.js";
import type { ExchangeOptions } from "./backendSender.js";
import { CallerRequest } from "./callerRequest.js";
import { CallerServer } from "./callerServer.js";
import { shutDown } from "./closeGradually.js";
import { CurrentRoutes } from "./currentRoutes.js";
import type { GatewayWire } from "./gatewayWire.js";
import { GracePeriod } from "./gracePeriod.js";
import { headerBytes } from "./headers.js";
import { readBodyOrRefuse } from "./heldBody.js";
import { logRequest } from "./logRequest.js";
import { LoopMonitor } from "./loopMonitor.js";
import { type LastRequest, OpenRequests } from "./openRequests.js";
import { writeOwnAnswer } from "./ownAnswer.js";
import { PlacementClient } from "./placementClient.js";
import { serveReadiness } from "./readinessServer.js";
import { refuseOverdue } from "./refuseOverdue.js";
import { refuseUnrouted } from "./refuseUnrouted.js";
import { Relaying } from "./relaying.js";
import { RetryAllowance } from "./retryAllowance.js";
import { ServiceExchange } from "./serviceExchange.js";
import { StreamExchange } from "./streamExchange.js";
import { StreamVersions } from "./streamVersions.js";

/** Retry-After of a gateway that has no configuration yet. */
const unconfiguredRetryAfterSeconds = 0.3;
/** How long a gateway waits to reach a majority of the directories before it reports ready without one. */
const majorityTimeoutMilliseconds = 1_500;
/** Time reserved for closing at the end of a shutdown. */
const shutdownMarginMilliseconds = 800;

/** Settings and dependencies of a gateway. */
export type GatewayDaemonOptions = RoutingOptions<GatewaySettings, GatewayWire> & {
    readonly metrics: Metrics;
    /** Milliseconds after the start during which the number of gateways isn't reliable. @default 4000 */
    readonly settleTime?: number;
};

/** Receives callers' requests and forwards them to backend servers. It has no persistent state. */
export class GatewayDaemon {
    private readonly store = DisposableStore.create();
    private readonly instances = InstanceTable.create();
    private readonly links = LinkQuality.create();
    private readonly tally = CallTally.create();
    private readonly retries: RetryAllowance;
    private readonly relaying: Relaying;
    private readonly routes: CurrentRoutes;
    /** This daemon's copy of the quarantine that all daemons share. */
    readonly quarantinedRequests: QuarantinedRequests;
    private readonly crashDetector: CrashDetector;
    private readonly watcher: DirectoryWatcher;
    private readonly placementClient: PlacementClient;
    private readonly allowanceAdmission: AllowanceAdmission;
    private readonly serverAdmission: ServerAdmission;
    private readonly exchangeOptions: ExchangeOptions;
    private readonly streamVersions: StreamVersions;
    private readonly loop: LoopMonitor;
    private readonly openRequests = OpenRequests.create();
    private readonly answerDurations = AnswerDurations.create();
    private readonly grace: GracePeriod;
    /** Bounds what connections to its listeners make it hold. */
    readonly guard: ConnectionGuard;
    private callerServer!: CallerServer;

    private constructor(private readonly options: GatewayDaemonOptions) {
        const { settings, wire, clock, logger, metrics } = options;
        this.loop = LoopMonitor.create(clock);
        this.guard = ConnectionGuard.create({ bounds: settings.connections, clock, logger, metrics });
        this.grace = GracePeriod.create(clock, this.answerDurations);
        this.store.add(this.loop.start());
        this.retries = RetryAllowance.create({
            rules: settings.repeats,
            clock,
            metrics,
            maxGateways: () => this.watcher.highestRecentGateways(),
            borrow: service => this.placementClient.borrowRetry(service),
        });
        this.routes = CurrentRoutes.create(clock);
        this.relaying = Relaying.create({
            settings,
            instances: this.instances,
            watcher: () => this.watcher,
            clock,
            randomness: HostRandomness.create(settings.name),
            logger,
            metrics,
        });
        this.store.add(() => this.relaying.close());
        const { paths, answers } = this.relaying;
        const gateways = (): number => this.watcher.gateways();
        this.quarantinedRequests = QuarantinedRequests.create({
            rules: settings.holds,
            publishRecords: records => this.watcher.report(records),
            clock,
            logger,
        });
        this.crashDetector = CrashDetector.create({
            quarantine: this.quarantinedRequests,
            isLost: id => this.instances.isLost(id),
            listenStatusOf: address => paths.listenStatusOf(address),
            clock,
            logger,
            metrics,
        });
        this.store.add(() => this.crashDetector.close());
        this.watcher = DirectoryWatcher.create({
            name: settings.name,
            observer: false,
            failureDomain: settings.failureDomain,
            seeds: options.seeds ?? (() => seedNames(settings)),
            network: options.network ?? TcpNetwork.create(logger, settings.bindHost),
            clock,
            logger,
            settleTime: options.settleTime,
            onAnnounced: (announced, directory) => {
                this.streamVersions.observe(announced);
                applyAnnouncement(this.instances, announced, directory, logger);
            },
            onDirectoryReached: directory => this.streamVersions.resend(directory),
            onServerLimits: observed => this.serverAdmission.observeLeader(observed),
            onCrashes: records => void this.quarantinedRequests.merge(records),
            knownCrashes: () => this.quarantinedRequests.all(),
            onDocument: (version, content) => this.configure(version, content),
        });
        this.store.add(() => this.watcher.close());
        this.streamVersions = StreamVersions.create({
            directories: () => this.watcher.knownDirectories(),
            servers: () => this.instances.all(),
            clock,
            logger,
            metrics,
        });
        this.store.add(() => this.streamVersions.close());
        const hasSeveralPriorities = (service: string): boolean =>
            this.routes.table()?.hasSeveralPriorities(service) ?? false;
        this.placementClient = PlacementClient.create({
            name: settings.name,
            watcher: this.watcher,
            instances: this.instances,
            engineRule: service => this.routes.table()?.service(service)?.engine,
            hasSeveralPriorities,
            floor: settings.shortage.floor,
            limitOf: engine => this.serverAdmission.limitOf(engine),
            calls: () => paths.mayReportFailures() ? this.tally.takeCounts(clock.monotonic()) : [],
            clock,
            logger,
            metrics,
        });
        this.store.add(() => this.placementClient.close());
        const allowances = ReportedAllowances.create({
            floor: settings.shortage.floor,
            leader: this.placementClient.allowanceLeader(),
            gateways: () => this.watcher.highestRecentGateways(),
            clock,
        });
        this.store.add(() => allowances.close());
        this.allowanceAdmission = AllowanceAdmission.create(allowances, metrics);
        this.serverAdmission = ServerAdmission.create({
            name: settings.name,
            leader: this.placementClient.limitLeader(),
            gateways: () => this.watcher.highestRecentGateways(),
            clock,
            logger,
            metrics,
        });
        this.exchangeOptions = {
            wire,
            paths,
            answers,
            instances: this.instances,
            choice: ServerChoice.create(settings.failureDomain, this.links, () => this.watcher.ejected()),
            tally: this.tally,
            links: this.links,
            clock,
            logger,
            metrics,
            reportEnded: instance => this.placementClient.reportEnded(instance),
            ends: AnswerEndCheck.create({ wire, paths, instances: this.instances, answers, gateways }),
            crashes: this.crashDetector,
            admission: this.serverAdmission,
            retryAllowance: this.retries,
            gateways,
            hasSeveralPriorities,
            grace: this.grace,
            loop: this.loop,
        };
    }

    /** Starts a gateway that listens for callers and for the balancer. */
    static async create(options: GatewayDaemonOptions): Promise<GatewayDaemon> {
        const daemon = new GatewayDaemon(options);
        try {
            await daemon.open();
        }
        catch (error) {
            await daemon.store.dispose();
            throw error;
        }
        return daemon;
    }

    /**
     * Shuts down: reports not ready, continues to serve until the balancer has noticed, closes callers' connections after
     * their next response, and ends once no request is open or the shutdown time is up. Returns the requests that were
     * cut off. `signalledAt`: the earliest time at which the stop was ordered, if that was before the start.
     */
    async close(signalledAt = Number.POSITIVE_INFINITY): Promise<readonly LastRequest[]> {
        const { callerServer, relaying, openRequests: requests, grace, loop, options } = this;
        const { settings, clock, logger, metrics } = options;
        const closing = { callerServer, relaying, requests, grace, loop, clock, logger, metrics };
        const lastRequests = await shutDown(
            closing,
            settings.shutdownTime - shutdownMarginMilliseconds,
            Math.min(signalledAt, loop.earliestSignal()),
        );
        await this.store.dispose();
        return lastRequests.filter(({ answered }) => !answered);
    }

    /** Whether the balancer should send new requests here. */
    isReady(): boolean {
        const configuredAt = this.routes.configuredAt();
        if (this.grace.hasBegun() || configuredAt === undefined) {
            return false;
        }
        const hasTimedOut = this.options.clock.monotonic() - configuredAt > majorityTimeoutMilliseconds;
        return hasTimedOut || this.watcher.reachesMajority();
    }

    /** Sets the gauges of a gateway. */
    measure(metrics: Metrics): void {
        const { instances, quarantinedRequests, serverAdmission, relaying, streamVersions, loop, guard } = this;
        [
            instances,
            quarantinedRequests,
            serverAdmission,
            relaying.paths,
            relaying.answers.held,
            streamVersions,
            loop,
            guard,
        ]
            .forEach(part => part.measure(metrics));
    }

    private async open(): Promise<void> {
        const { settings, logger } = this.options;
        this.callerServer = await CallerServer.create({
            address: settings.callers,
            handler: (incoming, response) => void this.receive(incoming, response),
            onConnection: socket => this.loop.recordConnection(socket),
            guard: this.guard,
            logger,
        });
        this.store.add(() => this.callerServer.closeAll());
        await this.relaying.open();
        const { readinessPath } = this.options.wire;
        this.store.add(await serveReadiness(settings.readiness, readinessPath, () => this.isReady(), this.guard));
        logger.info("serving", { callers: settings.callers, readiness: settings.readiness });
    }

    private configure(version: number, content: string): void {
        const { wire, logger } = this.options;
        wire.parseTraffic(content).caseOf<void>({
            Left: findings => {
                logger.error("cannot parse a stored configuration", { version, findings });
            },
            Right: traffic => {
                this.callerServer?.setLimits(traffic.limits);
                this.routes.set(traffic);
                this.answerDurations.retain(new Set(traffic.routes.map(({ name }) => name)));
                logger.info("a configuration is in force here", { version, routes: traffic.routes.length });
            },
        });
    }

    private async receive(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { clock, logger } = this.options;
        try {
            const readAt = clock.monotonic();
            this.openRequests.add(response, this.options.wire.parseCaller(incoming.headers).attempt ?? "", readAt);
            await this.serve(incoming, response, readAt);
        }
        catch (error) {
            logger.error("a request failed by a fault of this daemon", { error, target: incoming.url });
            if (response.headersSent) {
                breakOff(response);
            }
            else {
                writeOwnAnswer(response, 500, "internal error of the gateway");
            }
        }
    }

    private async serve(
        incoming: http.IncomingMessage,
        response: http.ServerResponse,
        readAt: number,
    ): Promise<void> {
        const { wire, clock } = this.options;
        const refuse = (status: number, cause: string, headers?: Readonly<Record<string, string>>): void =>
            refuseUnrouted(this.options, incoming, response, status, cause, headers);
        const arrivedAt = this.loop.earliestArrival(incoming.socket, readAt);
        const metadata = wire.parseCaller(incoming.headers);
        const table = this.routes.table() ?? await this.routes.waitForFirst(metadata.deadlineWithin, arrivedAt);
        if (table === undefined) {
            refuse(503, "no configuration received yet", { "Retry-After": String(unconfiguredRetryAfterSeconds) });
            return;
        }
        const limits = this.callerServer.currentLimits();
        if (headerBytes(incoming.rawHeaders, incoming.method ?? "", incoming.url ?? "") > limits.headerBytes) {
            refuse(431, `the header is larger than ${limits.headerBytes} bytes`);
            return;
        }
        const route = table.match(incoming.headers.host ?? "", incoming.url ?? "");
        if (route === undefined) {
            refuse(404, "no route matches the request");
            return;
        }
        const identity = table.identify(route, wire.parseCredentials(incoming.headersDistinct));
        if (identity === undefined) {
            refuse(401, "no valid key", wire.challenge);
            return;
        }
        const within = Math.min(metadata.deadlineWithin ?? route.timeout, route.timeout);
        const { held } = this.relaying.answers;
        const deadline = { clock, dueAt: arrivedAt + within };
        const body = await readBodyOrRefuse(incoming, response, limits, held, deadline, refuse);
        if (body === undefined) {
            return;
        }
        const request = CallerRequest.create({
            incoming,
            response,
            metadata,
            route,
            identity,
            body: body.length === 0 ? undefined : body,
            arrivedAt,
            unreadFor: readAt - arrivedAt,
            now: () => clock.monotonic(),
        });
        this.openRequests.recordWhole(response, request);
        await this.answer(request, table, route);
    }

    private async answer(request: CallerRequest, table: RouteTable, route: TrafficRoute): Promise<void> {
        const service = table.serviceOf(route, request.attempt);
        if (service === undefined) {
            request.fail(500, "the route's service is missing from the configuration");
            return;
        }
        const isOver = this.grace.refuse(request)
            || this.loop.isLagging() && await refuseOverdue(this.loop, request, this.options.metrics);
        const path = isOver
            ? []
            : await this.allowanceAdmission.serve(request, () => this.exchange(request, service));
        if (request.outcome()?.end === "answered") {
            this.answerDurations.record(route.name, request.age());
        }
        logRequest(this.options, request, path, table.traffic.version);
    }

    private async exchange(request: CallerRequest, service: ServiceRule): Promise<readonly string[]> {
        const exchange = service.engine !== undefined && request.route.prompts
            ? StreamExchange.create(
                this.exchangeOptions,
                this.placementClient,
                this.options.settings,
                request,
                service,
                this.streamVersions,
            )
            : ServiceExchange.create(this.exchangeOptions, request, service);
        await exchange.run();
        return exchange.trace();
    }
}
