import { type DirectoryWatcher, type InstanceTable, RelayPeers } from "../../coordination/index.js";
import type { GatewaySettings } from "../../protocol/index.js";
import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";
import { AnswerLimits, DirectOpener, HeldBytes } from "../backends/index.js";
import { RelayServer } from "./relayServer.js";
import { ServerPaths } from "./serverPaths.js";

/** Dependencies of relaying. */
export type RelayingOptions = {
    readonly settings: GatewaySettings;
    readonly instances: InstanceTable;
    readonly watcher: () => DirectoryWatcher;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** This gateway's paths to backend servers, and its part in those of other gateways, for which it relays. */
export class Relaying {
    readonly paths: ServerPaths;
    /** Bounds of backend servers' answers. */
    readonly answers: AnswerLimits;
    private relays: RelayPeers | undefined;
    private server: RelayServer | undefined;
    private shuttingDown = false;

    private constructor(private readonly options: RelayingOptions) {
        this.answers = AnswerLimits.create({
            ...options,
            bounds: options.settings.answers,
            held: HeldBytes.create({
                ...options,
                limit: options.settings.heldBytes,
                largest: options.settings.answers.bodyBytes,
            }),
        });
        this.paths = ServerPaths.create({
            ...options,
            answers: this.answers,
            localAddress: options.settings.bindHost,
            relays: () => this.relays,
            onChanged: () => this.relays?.registerNow(),
        });
    }

    static create(options: RelayingOptions): Relaying {
        return new Relaying(options);
    }

    /**
     * Starts to relay for others, if the settings have a port for it. A failure, such as a port in use, is only logged, so that
     * the gateway can still serve callers.
     */
    async open(): Promise<void> {
        const { settings: { relayPort }, logger } = this.options;
        if (relayPort === undefined) {
            return;
        }
        try {
            await this.openPort(relayPort);
        }
        catch (error) {
            logger.error("failed to start relaying", { port: relayPort, error });
        }
    }

    /** Relays for no other gateway from now on; tunnels in use stay open. */
    beginShutdown(): void {
        this.shuttingDown = true;
        this.server?.closeForNewTunnels();
        this.relays?.registerNow();
    }

    /** Closes tunnels over which no call is in progress; returns the number of the others. */
    closeIdleTunnels(): number {
        return this.server?.closeIdleTunnels(this.options.clock.monotonic()) ?? 0;
    }

    async close(): Promise<void> {
        this.relays?.close();
        this.server?.close();
        await this.paths.close();
    }

    private async openPort(relayPort: number): Promise<void> {
        const { settings, instances, watcher, clock, logger, metrics } = this.options;
        const { host, bindHost, name: gateway, failureDomain } = settings;
        this.server = await RelayServer.create({
            address: { host: bindHost ?? host, port: relayPort },
            instances,
            opener: DirectOpener.create(bindHost),
            reachesServers: () => this.paths.reachesServers(),
            confirmReach: async server => !await this.paths.isLostOnPath(server),
            logger,
            metrics,
        });
        this.relays = RelayPeers.create({
            self: { gateway, failureDomain, address: `${host}:${this.server.port()}` },
            directories: () => watcher().reachedLinks(),
            reachesServers: () => this.paths.reachesServers() && !this.shuttingDown,
            clock,
            logger,
        });
    }
}
