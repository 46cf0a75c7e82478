import * as http from "node:http";
import {
    CallTally,
    CrashWatch,
    DirectoryWatcher,
    HeldRequests,
    InstanceTable,
    LinkQuality,
    RouteTable,
    ServerChoice,
} from "../../coordination/index.js";
import { type GatewaySettings, seedNames, type TrafficRoute } from "../../protocol/index.js";
import { listens, TcpNetwork } from "../../transport/index.js";
import { DisposableStore, type Metrics } from "../../utils/index.js";
import { BackendConnections } from "../backends/index.js";
import type { RoutingOptions } from "../routingOptions.js";
import { CallerRequest, readBody, writeOwn } from "./callerRequest.js";
import { CallerServer } from "./callerServer.js";
import type { ExchangeParts } from "./exchange.js";
import type { GatewayWire } from "./gatewayWire.js";
import { headerBytes } from "./headers.js";
import { PlacesClient } from "./placesClient.js";
import { RepeatAllowance } from "./repeatAllowance.js";
import { ServiceExchange } from "./serviceExchange.js";
import { StreamExchange } from "./streamExchange.js";

/** Seconds after which a caller should come back to a gateway that has no configuration yet. */
const unreadySeconds = 0.3;
/** Most milliseconds that a request waits for the first configuration, and the part of its caller's time that it may take. */
const mostStartWait = 2_000;
const startWaitPart = 0.4;
/** Milliseconds that a gateway waits for most directories before it counts as ready with what it has. */
const majorityPatience = 1_500;
/** Milliseconds in which the balancer notices that a gateway is leaving, two questions a second apart and some. */
const balancerNotice = 2_800;
/** Milliseconds kept back at the end of a shutdown for closing. */
const shutdownMargin = 600;
const shutdownPoll = 50;

/** What a gateway needs. */
export type GatewayDaemonOptions = RoutingOptions<GatewaySettings, GatewayWire> & {
    readonly metrics: Metrics;
    /** Milliseconds after the start in which the count of gateways isn't trusted. @default 4000 */
    readonly settleTime?: number;
};

/** Takes callers' requests and has them answered by backend servers. It has no state that must survive. */
export class GatewayDaemon {
    private readonly store = DisposableStore.create();
    private readonly instances = InstanceTable.create();
    private readonly links = LinkQuality.create();
    private readonly tally = CallTally.create();
    private readonly repeats: RepeatAllowance;
    private readonly connections: BackendConnections;
    /** Requests under which backend servers ended. */
    readonly held: HeldRequests;
    private readonly crashes: CrashWatch;
    private readonly watcher: DirectoryWatcher;
    private readonly places: PlacesClient;
    private readonly parts: ExchangeParts;
    private callers!: CallerServer;
    private table: RouteTable | undefined;
    private configuredAt: number | undefined;
    private leaving = false;
    private readonly tableWaiters = new Set<() => void>();

    private constructor(private readonly options: GatewayDaemonOptions) {
        const { settings, wire, clock, logger, metrics } = options;
        this.repeats = RepeatAllowance.create({
            rules: settings.repeats,
            clock,
            sharers: () => this.watcher.mostGateways(),
            borrow: service => this.places.borrowRepeat(service),
        });
        this.connections = BackendConnections.create(logger);
        this.store.add(() => this.connections.close());
        this.held = HeldRequests.create({
            rules: settings.holds,
            tell: records => this.watcher.report(records),
            clock,
            logger,
        });
        this.crashes = CrashWatch.create({
            held: this.held,
            isGone: id => this.instances.isGone(id),
            listens,
            clock,
            logger,
            metrics,
        });
        this.store.add(() => this.crashes.close());
        this.watcher = DirectoryWatcher.create({
            name: settings.name,
            observer: false,
            failureDomain: settings.failureDomain,
            seeds: options.seeds ?? (() => seedNames(settings)),
            network: options.network ?? TcpNetwork.create(logger, settings.bindHost),
            clock,
            logger,
            settleTime: options.settleTime,
            onAnnounced: announced => this.instances.take(announced),
            borrowed: () => this.repeats.borrowed(),
            onCrashes: records => void this.held.merge(records),
            knownCrashes: () => this.held.all(),
            onDocument: (version, content) => this.configure(version, content),
        });
        this.store.add(() => this.watcher.close());
        this.places = PlacesClient.create({
            name: settings.name,
            watcher: this.watcher,
            instances: this.instances,
            engineRule: service => this.table?.service(service)?.engine,
            calls: () => this.tally.take(clock.monotonic()),
            clock,
            logger,
        });
        this.store.add(() => this.places.close());
        this.parts = {
            wire,
            connections: this.connections,
            instances: this.instances,
            choice: ServerChoice.create(settings.failureDomain, this.links, () => this.watcher.ejected()),
            tally: this.tally,
            links: this.links,
            clock,
            logger,
            metrics,
            reportEnded: instance => this.places.reportEnded(instance),
            crashes: this.crashes,
            repeats: this.repeats,
            gateways: () => this.watcher.gateways(),
        };
    }

    /** Listens for callers and for the balancer. */
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
     * Shuts down: says that it isn't ready, goes on serving while the balancer notices, tells callers on kept
     * connections to leave, and ends once nothing is open or its time is up. Gives the number of requests cut off.
     */
    async close(): Promise<number> {
        const { clock, settings, logger } = this.options;
        const startedAt = clock.monotonic();
        const until = startedAt + settings.shutdownTime - shutdownMargin;
        this.leaving = true;
        this.callers.endConnections();
        let listening = true;
        while (clock.monotonic() < until) {
            // A caller that kept its connection would send its next request here until the end, and lose it then.
            this.callers.closeIdle();
            if (listening && clock.monotonic() - startedAt > balancerNotice) {
                listening = false;
                this.callers.stopListening();
            }
            if (!listening && this.callers.openRequests() === 0) {
                break;
            }
            await new Promise<void>(resolve => clock.after(shutdownPoll, resolve));
        }
        const cut = this.callers.openRequests();
        logger.info("closing", { cut, after: Math.round(clock.monotonic() - startedAt) });
        this.callers.closeAll();
        await this.store.dispose();
        return cut;
    }

    /** Whether new callers should come here. */
    isReady(): boolean {
        if (this.leaving || this.configuredAt === undefined) {
            return false;
        }
        const waited = this.options.clock.monotonic() - this.configuredAt > majorityPatience;
        return waited || this.watcher.reachesMajority();
    }

    /** Sets the gauges of a gateway. */
    measure(metrics: Metrics): void {
        this.instances.measure(metrics);
        this.held.measure(metrics);
    }

    private async open(): Promise<void> {
        const { settings, logger } = this.options;
        this.callers = await CallerServer.create({
            address: settings.callers,
            handler: (incoming, response) => void this.receive(incoming, response),
            logger,
        });
        this.store.add(() => this.callers.closeAll());
        const readiness = http.createServer({ keepAliveTimeout: 10_000 }, (incoming, response) => {
            const known = (incoming.url ?? "").split("?", 1)[0] === this.options.wire.readinessPath;
            response.writeHead(known && this.isReady() ? 200 : known ? 503 : 404, { "Content-Length": 0 });
            response.end();
        });
        await new Promise<void>((resolve, reject) => {
            readiness.once("error", reject);
            readiness.listen(settings.readiness.port, settings.readiness.host, resolve);
        });
        this.store.add(() => {
            readiness.close();
            readiness.closeAllConnections();
        });
        logger.info("serving", { callers: settings.callers, readiness: settings.readiness });
    }

    private configure(version: number, content: string): void {
        const { wire, logger, clock } = this.options;
        wire.traffic(content).caseOf<void>({
            Left: findings => {
                logger.error("a stored configuration can't be read", { version, findings });
            },
            Right: traffic => {
                this.table = RouteTable.create(traffic);
                this.callers?.setLimits(traffic.limits);
                this.configuredAt ??= clock.monotonic();
                [...this.tableWaiters].forEach(settle => settle());
                logger.info("a configuration is in force here", { version, routes: traffic.routes.length });
            },
        });
    }

    private async receive(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { clock, logger } = this.options;
        const arrivedAt = clock.monotonic();
        try {
            await this.serve(incoming, response, arrivedAt);
        }
        catch (error) {
            logger.error("a request failed by a fault of this daemon", { error, target: incoming.url });
            if (response.headersSent) {
                response.destroy();
            }
            else {
                writeOwn(response, 500, "a fault of the gateway");
            }
        }
    }

    private async serve(
        incoming: http.IncomingMessage,
        response: http.ServerResponse,
        arrivedAt: number,
    ): Promise<void> {
        const { wire, clock } = this.options;
        const table = this.table ?? await this.firstTable(wire.caller(incoming.headers).deadlineWithin);
        if (table === undefined) {
            const retry = { "Retry-After": String(unreadySeconds) };
            this.turnAway(incoming, response, 503, "no configuration has come yet", retry);
            return;
        }
        const limits = this.callers.currentLimits();
        if (headerBytes(incoming.rawHeaders, incoming.method ?? "", incoming.url ?? "") > limits.headerBytes) {
            this.turnAway(incoming, response, 431, `the header is larger than ${limits.headerBytes} bytes`);
            return;
        }
        const route = table.match(incoming.headers.host ?? "", incoming.url ?? "");
        if (route === undefined) {
            this.turnAway(incoming, response, 404, "no route takes the request");
            return;
        }
        const facts = wire.caller(incoming.headers);
        const body = await readBody(incoming, limits);
        if (body === "tooLarge") {
            this.turnAway(incoming, response, 413, `the body is larger than ${limits.bodyBytes} bytes`);
            return;
        }
        if (body === undefined) {
            response.destroy();
            return;
        }
        const request = CallerRequest.create({
            incoming,
            response,
            facts,
            route,
            body: body.length === 0 ? undefined : body,
            arrivedAt,
            now: () => clock.monotonic(),
        });
        await this.answer(request, table, route);
    }

    /**
     * Waits for the first configuration. After a restart of the whole deployment it comes within a second or so, and a
     * caller that was sent away at once would spend its one retry before that.
     */
    private firstTable(deadlineWithin: number | undefined): Promise<RouteTable | undefined> {
        const limit = Math.min(mostStartWait, (deadlineWithin ?? 0) * startWaitPart);
        return new Promise(resolve => {
            const settle = (): void => {
                cancel();
                this.tableWaiters.delete(settle);
                resolve(this.table);
            };
            const cancel = this.options.clock.after(limit, settle);
            this.tableWaiters.add(settle);
        });
    }

    private async answer(request: CallerRequest, table: RouteTable, route: TrafficRoute): Promise<void> {
        const service = table.serviceOf(route, request.attempt);
        if (service === undefined) {
            request.fail(500, "the route's service is missing from the configuration");
            return;
        }
        const { settings } = this.options;
        const exchange = service.engine !== undefined && route.prompts
            ? StreamExchange.create(this.parts, this.places, settings, request, service)
            : ServiceExchange.create(this.parts, request, service);
        await exchange.run();
        this.log(request, exchange.trace(), table.traffic.version);
    }

    private log(request: CallerRequest, path: readonly string[], version: number): void {
        const { logger, metrics } = this.options;
        const outcome = request.outcome();
        const milliseconds = Math.round(request.age());
        const { route } = request;
        const labels = { kind: route.kind, outcome: outcome?.end ?? "open" };
        metrics.count("basilpaddle_requests_total", labels);
        metrics.observe("basilpaddle_request_milliseconds", milliseconds, labels);
        logger.info("request", {
            request: request.attempt,
            content: request.digest,
            route: route.name,
            configuration: version,
            ...outcome,
            milliseconds,
            path,
        });
    }

    /** Turns away what isn't a request that some route takes; the body that may follow is read away by the library. */
    private turnAway(
        incoming: http.IncomingMessage,
        response: http.ServerResponse,
        status: number,
        cause: string,
        headers: Readonly<Record<string, string>> = {},
    ): void {
        this.options.logger.info("request turned away", { target: incoming.url, status, cause });
        incoming.resume();
        writeOwn(
            response,
            status,
            cause,
            status === 413 || status === 431 ? { ...headers, Connection: "close" } : headers,
        );
    }
}
