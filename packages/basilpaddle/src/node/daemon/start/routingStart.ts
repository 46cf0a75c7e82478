import type { HeldRequests } from "../../coordination/index.js";
import type { DirectorySettings, GatewaySettings, RoutingSettings } from "../../protocol/index.js";
import { type DisposableStore, HostRandomness, type Logger, type RecordedMetrics } from "../../utils/index.js";
import { DirectoryDaemon, type DirectoryWire } from "../directory/index.js";
import { GatewayDaemon, type GatewayWire } from "../gateway/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { MetricsServer } from "./metricsServer.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";
import { SeedReload } from "./seedReload.js";

/** Starts a gateway by its settings. */
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

/** Starts a directory by its settings. */
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

/** Serves metrics; a daemon whose port for them is taken serves its callers all the same. */
async function serveMetrics(
    store: DisposableStore,
    settings: RoutingSettings,
    metrics: RecordedMetrics,
    requestQuarantine: HeldRequests,
    logger: Logger,
): Promise<void> {
    try {
        const server = await MetricsServer.create(
            {
                host: settings.bindHost ?? settings.host,
                port: settings.metricsPort,
            },
            metrics,
            requestQuarantine,
        );
        store.add(() => server.close());
        logger.info("metrics are served", { port: server.port() });
    }
    catch (error) {
        logger.error("metrics can't be served", { port: settings.metricsPort, error });
    }
}

/** What gateways and directories have in common as running daemons: seeds that are read again, and metrics. */
abstract class RunningRouting extends AssembledDaemon {
    private stopping: Promise<ShutdownReport> | undefined;

    constructor(private readonly common: RoutingSettings, private readonly file: string, logger: Logger) {
        super(logger);
    }

    override stop(): Promise<ShutdownReport> {
        this.stopping ??= this.shutDown();
        return this.stopping;
    }

    protected override async openParts(): Promise<void> {
        const { common, logger, metrics, store } = this;
        const reload = SeedReload.create(common, this.file, logger);
        store.add(() => reload.close());
        const requestQuarantine = await this.openDaemon(() => reload.seeds());
        await serveMetrics(store, common, metrics, requestQuarantine, logger);
    }

    /** Opens the daemon itself; gives its copy of the requests that are held back. */
    protected abstract openDaemon(seeds: () => readonly string[]): Promise<HeldRequests>;

    /** Shuts the daemon down in order. Gives the number of requests that were cut off. */
    protected abstract closeDaemon(): Promise<number>;

    private async shutDown(): Promise<ShutdownReport> {
        const cut = await this.closeDaemon();
        await this.store.dispose();
        return { cut: new Array<string>(cut).fill("request") };
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

    protected override async openDaemon(seeds: () => readonly string[]): Promise<HeldRequests> {
        const { settings, wire, clock, logger, metrics } = this;
        const daemon = await GatewayDaemon.create({ settings, seeds, wire, clock, logger, metrics });
        this.daemon = daemon;
        this.store.add(metrics.onCollect(() => daemon.measure(metrics)));
        return daemon.held;
    }

    protected override async closeDaemon(): Promise<number> {
        return await this.daemon?.close() ?? 0;
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

    protected override async openDaemon(seeds: () => readonly string[]): Promise<HeldRequests> {
        const { settings, wire, clock, logger, metrics } = this;
        const randomness = HostRandomness.create(settings.name);
        const daemon = await DirectoryDaemon.create({ settings, seeds, wire, clock, randomness, logger });
        this.daemon = daemon;
        this.store.add(metrics.onCollect(() => daemon.measure(metrics)));
        return daemon.held;
    }

    protected override async closeDaemon(): Promise<number> {
        await this.daemon?.close();
        return 0;
    }
}
