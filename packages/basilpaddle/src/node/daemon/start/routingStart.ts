import { readFileSync } from "node:fs";
import { stat } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";
import type { HeldRequests } from "../../coordination/index.js";
import {
    type DirectorySettings,
    type Finding,
    findingsOf,
    type GatewaySettings,
    type RoutingSettings,
    routingSettingsSchema,
    seedNames,
} from "../../protocol/index.js";
import { type DisposableStore, HostRandomness, type Logger, type RecordedMetrics } from "../../utils/index.js";
import { DirectoryDaemon, type DirectoryWire } from "../directory/index.js";
import { GatewayDaemon, type GatewayWire } from "../gateway/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { MetricsServer } from "./metricsServer.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";

/** Milliseconds between two looks whether the settings file has changed: it may without any signal. */
const reloadInterval = 2_000;

/** Reads the settings file of a gateway or a directory. */
export function readRoutingSettings(file: string): Either<readonly Finding[], RoutingSettings> {
    let content: unknown;
    try {
        content = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Left([{ file, place: "", cause: `can't be read: ${(error as Error).message}` }]);
    }
    const parsed = routingSettingsSchema.safeParse(content);
    return parsed.success ? Right(parsed.data) : Left(findingsOf(file, parsed.error));
}

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
    held: HeldRequests,
    logger: Logger,
): Promise<void> {
    try {
        const server = await MetricsServer.create(
            {
                host: settings.bindHost ?? settings.host,
                port: settings.metricsPort,
            },
            metrics,
            held,
        );
        store.add(() => server.close());
        logger.info("metrics are served", { port: server.port() });
    }
    catch (error) {
        logger.error("metrics can't be served", { port: settings.metricsPort, error });
    }
}

/** Keeps the seeds up to date with the settings file; whatever else changes takes a restart. */
class SeedReload {
    private names: readonly string[];
    private changedAt = 0;
    private readonly timer: NodeJS.Timeout;
    private readonly onSignal = (): void => void this.look(true);

    private constructor(settings: RoutingSettings, private readonly file: string, private readonly logger: Logger) {
        this.names = seedNames(settings);
        this.timer = setInterval(() => void this.look(false), reloadInterval);
        this.timer.unref();
        process.on("SIGHUP", this.onSignal);
    }

    static create(settings: RoutingSettings, file: string, logger: Logger): SeedReload {
        return new SeedReload(settings, file, logger);
    }

    seeds(): readonly string[] {
        return this.names;
    }

    close(): void {
        clearInterval(this.timer);
        process.off("SIGHUP", this.onSignal);
    }

    private async look(signalled: boolean): Promise<void> {
        const changedAt = await stat(this.file).then(found => found.mtimeMs, () => this.changedAt);
        if (!signalled && changedAt === this.changedAt) {
            return;
        }
        this.changedAt = changedAt;
        readRoutingSettings(this.file).caseOf<void>({
            Left: findings => {
                this.logger.error("changed settings can't be read; the old ones stay", { findings });
            },
            Right: settings => {
                const names = seedNames(settings);
                if (signalled || names.join() !== this.names.join()) {
                    this.logger.info("settings were read again", { seeds: names, signalled });
                }
                this.names = names;
            },
        });
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
        const held = await this.openDaemon(() => reload.seeds());
        await serveMetrics(store, common, metrics, held, logger);
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
