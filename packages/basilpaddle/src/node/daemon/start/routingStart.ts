import type { QuarantinedRequests } from "../../coordination/index.js";
import type { DirectorySettings, GatewaySettings, RoutingSettings } from "../../protocol/index.js";
import { type DisposableStore, HostRandomness, type Logger, type RecordedMetrics } from "../../utils/index.js";
import { DirectoryDaemon, type DirectoryWire } from "../directory/index.js";
import { GatewayDaemon, type GatewayWire } from "../gateway/index.js";
import type { BodyRoom, ConnectionGuard } from "../listeners/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { MetricsServer } from "./metricsServer.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";
import { SeedReload } from "./seedReload.js";

/** Starts a gateway with the given settings; `file` is where they were read, and is reread for changed seeds. */
export async function startGateway(
    settings: GatewaySettings,
    file: string,
    wire: GatewayWire,
    logger: Logger,
): Promise<RunningDaemon> {
    const running = new RunningGateway(settings, file, wire, logger);
    await running.open();
    return running;
}

/** Starts a directory with the given settings; `file` is where they were read, and is reread for changed seeds. */
export async function startDirectory(
    settings: DirectorySettings,
    file: string,
    wire: DirectoryWire,
    logger: Logger,
): Promise<RunningDaemon> {
    const running = new RunningDirectory(settings, file, wire, logger);
    await running.open();
    return running;
}

/** Starts the metrics server. A failure, such as a port in use, is only logged, so that the daemon can still serve callers. */
async function serveMetrics(
    store: DisposableStore,
    settings: RoutingSettings,
    metrics: RecordedMetrics,
    quarantine: QuarantinedRequests,
    connections: { readonly guard: ConnectionGuard; readonly room: BodyRoom; },
    logger: Logger,
): Promise<void> {
    try {
        const server = await MetricsServer.create(
            {
                host: settings.bindHost ?? settings.host,
                port: settings.metricsPort,
            },
            metrics,
            quarantine,
            connections,
        );
        store.add(() => server.close());
        logger.info("serving metrics", { port: server.port() });
    }
    catch (error) {
        logger.error("failed to start the metrics server", { port: settings.metricsPort, error });
    }
}

type OpenDaemon = { readonly quarantinedRequests: QuarantinedRequests; readonly guard: ConnectionGuard; };

/** Base class of running gateways and directories: reloads the seeds from the settings file, and serves metrics. */
abstract class RunningRouting extends AssembledDaemon {
    private stopping: Promise<ShutdownReport> | undefined;

    constructor(private readonly routingSettings: RoutingSettings, private readonly file: string, logger: Logger) {
        super(logger);
    }

    override stop(signalledAt?: number): Promise<ShutdownReport> {
        this.stopping ??= this.shutDown(signalledAt);
        return this.stopping;
    }

    protected override async openComponents(): Promise<void> {
        const { routingSettings, logger, metrics, store } = this;
        const reload = SeedReload.create(routingSettings, this.file, logger);
        store.add(() => reload.close());
        const { quarantinedRequests, guard } = await this.openDaemon(() => reload.seeds());
        const connections = { guard, room: this.roomForOperators() };
        await serveMetrics(store, routingSettings, metrics, quarantinedRequests, connections, logger);
    }

    /** Opens the daemon itself; resolves with its copy of the quarantined requests and the guard of its connections. */
    protected abstract openDaemon(seeds: () => readonly string[]): Promise<OpenDaemon>;

    /** Shuts the daemon down gracefully; resolves with the identifiers of the requests that were aborted. */
    protected abstract closeDaemon(signalledAt: number | undefined): Promise<readonly string[]>;

    private async shutDown(signalledAt: number | undefined): Promise<ShutdownReport> {
        const abortedRequests = await this.closeDaemon(signalledAt);
        await this.store.dispose();
        return { abortedRequests };
    }
}

class RunningGateway extends RunningRouting {
    private daemon: GatewayDaemon | undefined;

    constructor(
        private readonly settings: GatewaySettings,
        file: string,
        private readonly wire: GatewayWire,
        logger: Logger,
    ) {
        super(settings, file, logger);
    }

    protected override async openDaemon(seeds: () => readonly string[]): Promise<OpenDaemon> {
        const { settings, wire, clock, logger, metrics } = this;
        const daemon = await GatewayDaemon.create({ settings, seeds, wire, clock, logger, metrics });
        this.daemon = daemon;
        this.store.add(metrics.onCollect(() => daemon.measure(metrics)));
        return daemon;
    }

    protected override async closeDaemon(signalledAt: number | undefined): Promise<readonly string[]> {
        const cut = await this.daemon?.close(signalledAt) ?? [];
        return cut.map(({ request }) => request);
    }
}

class RunningDirectory extends RunningRouting {
    private daemon: DirectoryDaemon | undefined;

    constructor(
        private readonly settings: DirectorySettings,
        file: string,
        private readonly wire: DirectoryWire,
        logger: Logger,
    ) {
        super(settings, file, logger);
    }

    protected override async openDaemon(seeds: () => readonly string[]): Promise<OpenDaemon> {
        const { settings, wire, clock, logger, metrics } = this;
        const randomness = HostRandomness.create(settings.name);
        const daemon = await DirectoryDaemon.create({ settings, seeds, wire, clock, randomness, logger, metrics });
        this.daemon = daemon;
        this.store.add(metrics.onCollect(() => daemon.measure(metrics)));
        return daemon;
    }

    protected override async closeDaemon(): Promise<readonly string[]> {
        await this.daemon?.close();
        return [];
    }
}
