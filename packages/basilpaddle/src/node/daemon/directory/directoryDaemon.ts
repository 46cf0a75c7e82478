import { QuarantinedRequests, RelayRegistry } from "../../coordination/index.js";
import {
    type CrashRecord,
    type DirectoryMessage,
    directoryMessageSchema,
    type DirectorySettings,
    seedNames,
    type Traffic,
} from "../../protocol/index.js";
import { FolderDisk } from "../../state/index.js";
import { type Network, TcpNetwork, TcpServer } from "../../transport/index.js";
import { ActiveClock, DisposableStore, type Metrics, type Randomness, SilentMetrics } from "../../utils/index.js";
import { AnswerLimits, BackendConnections, DirectOpener } from "../backends/index.js";
import type { ConnectionGuard } from "../listeners/index.js";
import type { RoutingOptions } from "../routingOptions.js";
import { noLimits } from "./allowanceService.js";
import { BackendServerCalls } from "./backendServerCalls.js";
import { CallBounds } from "./callBounds.js";
import { CallHandler, type CallResponse, CallServer } from "./callServer.js";
import { ConfigurationCalls } from "./configurationCalls.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";
import { DocumentGroup } from "./documentGroup.js";
import { LeaderServices } from "./leaderServices.js";
import { RestartCache, type RestartState } from "./restartCache.js";
import { noServerLimits } from "./serverLimitService.js";
import { ServerMembership } from "./serverMembership.js";
import { StreamRegistry } from "./streamRegistry.js";

/** Interval of the checks for silent backend servers, disconnected gateways and outliers. */
const checkIntervalMilliseconds = 300;
/** A group needs three voters to tolerate the loss of one. */
const minVoters = 3;

/** Settings and dependencies of a directory. */
export type DirectoryDaemonOptions = RoutingOptions<DirectorySettings, DirectoryWire> & {
    readonly randomness: Randomness;
    /** @default discarded */
    readonly metrics?: Metrics;
};

/**
 * A directory: a member of the group that replicates the configuration, a registry to which backend servers send
 * heartbeats, and, while it leads, the daemon that places runs on engines and orders engines to change their stage.
 */
export class DirectoryDaemon extends CallHandler {
    private readonly store = DisposableStore.create();
    private readonly membership: ServerMembership;
    private readonly backendServerCalls: BackendServerCalls;
    private readonly configurationCalls: ConfigurationCalls;
    private readonly connections: BackendConnections;
    /** This daemon's copy of the quarantine that all daemons share. */
    readonly quarantinedRequests: QuarantinedRequests;
    private readonly name: string;
    /** Cache of the parsed configuration, by version. */
    private parsedTraffic: { readonly version: number; readonly traffic: Traffic | undefined; } | undefined;
    private documentNotificationScheduled = false;
    private readonly relays = RelayRegistry.create();
    private readonly streams: StreamRegistry;
    /** Defined while this directory leads. */
    private leading: LeaderServices | undefined;
    private readonly bounds: CallBounds;
    /** Bounds what connections to its listeners make it hold. */
    readonly guard: ConnectionGuard;
    private calls: CallServer | undefined;

    private constructor(
        private readonly options: DirectoryDaemonOptions,
        network: Network,
        private readonly group: DocumentGroup,
        private readonly restartCache: RestartCache,
    ) {
        super();
        const { settings, clock, randomness, logger } = options;
        this.name = `${settings.host}:${settings.peerPort}`;
        this.store.add(() => restartCache.close());
        restartCache.setSource(() => this.restartState());
        this.quarantinedRequests = QuarantinedRequests.create({
            rules: settings.holds,
            publishRecords: () => this.publishCrashRecords(),
            clock,
            logger: options.logger,
        });
        const metrics = options.metrics ?? SilentMetrics.create();
        this.bounds = CallBounds.create(settings, { clock, logger, metrics });
        this.guard = this.bounds.guard;
        const answers = AnswerLimits.create({ bounds: settings.answers, logger, metrics });
        this.connections = BackendConnections.create(logger, DirectOpener.create(settings.bindHost), answers);
        this.store.add(() => this.connections.close());
        this.streams = StreamRegistry.create({
            instances: () => this.membership.instances,
            firstStart: settings.firstStart,
            restored: restartCache.versions(),
            store: () => restartCache.flush(),
            clock,
            logger: options.logger,
        });
        const activeClock = ActiveClock.create(clock);
        this.store.add(activeClock.start());
        this.membership = ServerMembership.create({
            name: this.name,
            incarnation: randomness.identifier(),
            failureDomain: settings.failureDomain,
            heartbeat: settings.heartbeat,
            tolerated: settings.tolerated,
            seeds: options.seeds ?? (() => seedNames(settings)),
            network,
            restartCache,
            quarantined: this.quarantinedRequests,
            document: () => group.current(),
            members: () => this.members(),
            ejected: () => this.ejectedServers(),
            limits: () => this.leading?.limits() ?? noLimits,
            serverLimits: () => this.leading?.serverLimits ?? noServerLimits,
            onInstancesChanged: () => this.leading?.markPoolsOutdated(),
            onFirstHeard: announced => this.streams.observe(announced),
            onCrashes: records => this.mergeCrashRecords(records),
            knownCrashes: () => this.quarantinedRequests.changedAfter(0),
            clock,
            activeClock,
            logger: options.logger,
        });
        this.store.add(() => this.membership.close());
        this.backendServerCalls = BackendServerCalls.create({
            wire: options.wire,
            membership: this.membership,
            logger: options.logger,
        });
        this.configurationCalls = ConfigurationCalls.create({
            name: this.name,
            group,
            wire: options.wire,
            network,
            logger: options.logger,
        });
        this.store.add(() => this.configurationCalls.close());
    }

    /** Opens the group's replica and starts the servers. Rejects, with everything closed again, if a server can't listen. */
    static async create(options: DirectoryDaemonOptions): Promise<DirectoryDaemon> {
        const { settings, clock, randomness, logger } = options;
        const network = options.network ?? TcpNetwork.create(logger, settings.bindHost);
        // The group may be writing to the same folder: deleting temporary files here could delete one that it is writing, and
        // its replica would stop.
        const openDisk = (): Promise<FolderDisk> => FolderDisk.createWithoutCleanup(settings.dataFolder);
        const savedState = await RestartCache.create({ openDisk, clock, logger });
        const group = await DocumentGroup.create({
            committed: identity => savedState.committed(identity),
            name: `${settings.host}:${settings.peerPort}`,
            seeds: options.seeds ?? (() => seedNames(settings)),
            firstStart: settings.firstStart,
            dataFolder: settings.dataFolder,
            voters: Math.max(minVoters, 2 * settings.tolerated + 1),
            network,
            clock,
            randomness,
            logger,
        });
        const daemon = new DirectoryDaemon(options, network, group, savedState);
        daemon.store.add(() => group.close());
        try {
            await daemon.open();
        }
        catch (error) {
            await daemon.store.dispose();
            throw error;
        }
        return daemon;
    }

    /** Answers the calls in progress, transfers leadership if this directory leads, and stops. */
    async close(): Promise<void> {
        await this.calls?.close();
        this.stopLeading();
        await this.store.dispose();
    }

    /** Ejected backend servers of plain services; empty unless this directory leads. */
    ejectedServers(): readonly string[] {
        return this.leading?.ejected() ?? [];
    }

    /** Updates the directory's gauges. */
    measure(metrics: Metrics): void {
        const groupStatus = this.group.replicaStatus();
        const placementStatus = this.leading?.queueStatus();
        metrics.gauge("basilpaddle_group_leading", groupStatus?.leading === true ? 1 : 0);
        metrics.gauge("basilpaddle_group_voting", groupStatus?.voting === true ? 1 : 0);
        metrics.gauge("basilpaddle_group_term", groupStatus?.term ?? 0);
        metrics.gauge("basilpaddle_group_committed_index", groupStatus?.committedIndex ?? 0);
        metrics.gauge("basilpaddle_configuration_version", this.group.current().version);
        metrics.gauge("basilpaddle_gateways", this.membership.watches.gatewayCount());
        metrics.gauge("basilpaddle_places_held", placementStatus?.placements ?? 0);
        metrics.gauge("basilpaddle_places_waiting", placementStatus?.waiting ?? 0);
        this.membership.instances.measure(metrics);
        this.quarantinedRequests.measure(metrics);
        this.streams.measure(metrics);
        this.leading?.measure(metrics);
        this.bounds.measure(metrics);
    }

    override async handle(call: DirectoryCall, body: string): Promise<CallResponse> {
        switch (call.kind) {
            case "announce":
                return this.backendServerCalls.announce(call.name, body);
            case "leave":
                return this.backendServerCalls.leave(call.name, body);
            case "storeConfiguration":
                return this.configurationCalls.store(body);
            case "readConfiguration":
                return this.configurationCalls.read();
            case "unknown":
                return { kind: "unknownCall" };
        }
    }

    private async open(): Promise<void> {
        const { settings, logger, wire } = this.options;
        const peers = await TcpServer.create({
            host: settings.bindHost ?? settings.host,
            port: settings.peerPort,
            handler: body => this.handlePeerBody(body),
            logger,
        });
        this.store.add(() => peers.close());
        this.group.onChange(() => this.notifyDocumentChange());
        this.group.onLeadership(leading => leading ? this.startLeading() : this.stopLeading());
        this.membership.start();
        this.mergeCrashRecords(this.restartCache.crashes());
        if (this.group.replicaStatus()?.leading === true) {
            this.startLeading();
        }
        const { guard, rooms } = this.bounds;
        this.calls = await CallServer.create({ address: settings.calls, handler: this, wire, guard, rooms, logger });
        this.store.add(() => this.calls?.close());
        this.schedulePeriodicChecks();
        logger.info("serving", { calls: settings.calls, peers: this.name });
    }

    /**
     * The newest configuration, parsed on first use since only the leader needs its content. Parsing it at startup delayed
     * every directory's first watch answer on a small core, while no requests could be served yet.
     */
    private currentTraffic(): Traffic | undefined {
        const { version, content } = this.group.current();
        if (this.parsedTraffic?.version !== version) {
            this.parsedTraffic = { version, traffic: this.options.wire.parseTraffic(content).toMaybe().extract() };
        }
        return this.parsedTraffic.traffic;
    }

    /**
     * Notifies watchers of the newest configuration, once per batch of commits: replaying the log after a restart commits
     * dozens.
     */
    private notifyDocumentChange(): void {
        if (this.documentNotificationScheduled) {
            return;
        }
        this.documentNotificationScheduled = true;
        setImmediate(() => {
            this.documentNotificationScheduled = false;
            const { version } = this.group.current();
            this.membership.watches.notifyWatchers();
            this.options.logger.info("configuration committed", { version });
            this.leading?.markPoolsOutdated();
            this.restartCache.markChanged();
        });
    }

    /** Merges crash records from gateways or other directories, and publishes them if any was new. */
    private mergeCrashRecords(records: readonly CrashRecord[]): void {
        if (this.quarantinedRequests.merge(records).length > 0) {
            this.publishCrashRecords();
        }
    }

    private publishCrashRecords(): void {
        this.membership.watches.notifyWatchers();
        this.restartCache.markChanged();
    }

    private restartState(): RestartState | undefined {
        const committed = this.group.committedPosition();
        const servers = this.membership.serversForRestart();
        const gateways = this.membership.watches.gatewayCount();
        const crashes = this.quarantinedRequests.changedAfter(0);
        const versions = this.streams.storedVersions();
        return committed
            && { identity: committed.identity, committed: committed.mark, servers, gateways, crashes, versions };
    }

    private schedulePeriodicChecks(): void {
        const { clock } = this.options;
        let cancel = clock.after(checkIntervalMilliseconds, () => runChecks());
        const runChecks = (): void => {
            this.membership.review();
            this.streams.review();
            this.leading?.review(this.membership.watches.gatewayNames());
            cancel = clock.after(checkIntervalMilliseconds, runChecks);
        };
        this.store.add(() => cancel());
    }

    private async handlePeerBody(body: unknown): Promise<unknown> {
        const envelope = body as { readonly kind?: unknown; readonly from?: unknown; readonly message?: unknown; };
        if (envelope?.kind === "agreement" && typeof envelope.from === "string") {
            this.group.receive(envelope.from, envelope.message);
            return undefined;
        }
        const message = directoryMessageSchema.safeParse(body);
        if (!message.success) {
            this.options.logger.warn("ignored an invalid message from a peer", {
                kind: envelope?.kind,
                problem: message.error.issues[0]?.message,
            });
            return undefined;
        }
        return this.handlePeerMessage(message.data);
    }

    private async handlePeerMessage(message: DirectoryMessage): Promise<unknown> {
        switch (message.kind) {
            case "watch":
            case "departure":
                return this.membership.handle(message);
            case "document":
                return this.membership.watches.packed();
            case "storeDocument":
            case "readDocument":
                return this.configurationCalls.execute(message);
            case "crashes":
                this.mergeCrashRecords(message.records);
                return { kind: "noted" };
            case "origins":
            case "origin":
                return this.streams.handle(message);
            case "relay":
                return this.relays.register(message, this.options.clock.monotonic());
            default:
                return await (this.leading?.handle(message) ?? this.redirect());
        }
    }

    private redirect(): { readonly kind: "elsewhere"; readonly leader: string | undefined; } {
        return { kind: "elsewhere", leader: this.group.replicaStatus()?.leader };
    }

    private startLeading(): void {
        const { clock, logger, wire, settings, metrics = SilentMetrics.create() } = this.options;
        const term = this.group.replicaStatus()?.term ?? 0;
        this.leading?.close();
        this.leading = LeaderServices.create({
            settings,
            wire,
            instances: this.membership.instances,
            traffic: () => this.currentTraffic(),
            presence: this.membership.watches.presence,
            connections: this.connections,
            onIncarnationEnded: instance => this.membership.markEnded(instance),
            onChanged: () => this.membership.watches.notifyWatchers(),
            clock,
            logger,
            metrics,
        }, term);
        this.membership.watches.notifyWatchers();
        logger.info("became leader: placing runs and ordering stage changes", { term });
    }

    private stopLeading(): void {
        this.leading?.close();
        this.leading = undefined;
    }

    private members(): { readonly members: readonly string[]; readonly leader: string | undefined; } {
        const status = this.group.replicaStatus();
        const identities = [...status?.voters ?? [], ...status?.learners ?? []];
        const names = identities.map(identity => identity.split("#", 1)[0]!);
        return { members: [...new Set([...names, this.name])], leader: status?.leader };
    }
}
