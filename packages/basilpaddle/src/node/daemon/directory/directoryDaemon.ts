import { DirectoryWatcher, HeldRequests, OutlierDetector } from "../../coordination/index.js";
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
import { DisposableStore, type Metrics, type Randomness } from "../../utils/index.js";
import { BackendConnections } from "../backends/index.js";
import type { RoutingOptions } from "../routingOptions.js";
import { type CallAnswer, CallHandler, CallServer } from "./callServer.js";
import { ConfigurationCalls } from "./configurationCalls.js";
import type { DirectoryCall, DirectoryWire } from "./directoryWire.js";
import { DocumentGroup } from "./documentGroup.js";
import { PlacingService } from "./placingService.js";
import { type Memorable, Recollection } from "./recollection.js";
import { ServerCalls } from "./serverCalls.js";
import { ServerHearing } from "./serverHearing.js";
import { StageOrders } from "./stageOrders.js";
import { WatchBook } from "./watchBook.js";

/** Milliseconds between two looks at what has fallen silent. */
const silenceInterval = 300;
/** Least voters of a group that must bear a loss. */
const leastVoters = 3;

/** What a directory needs. */
export type DirectoryDaemonOptions = RoutingOptions<DirectorySettings, DirectoryWire> & {
    readonly randomness: Randomness;
};

/**
 * A directory: one member of the group that keeps the configuration, a place where backend servers announce themselves,
 * and, while it leads, the one that places runs at engines and orders their stages.
 */
export class DirectoryDaemon extends CallHandler {
    private readonly store = DisposableStore.create();
    private readonly hearing: ServerHearing;
    private readonly serverCalls: ServerCalls;
    private readonly configurationCalls: ConfigurationCalls;
    private readonly connections: BackendConnections;
    private readonly watches: WatchBook;
    /** Requests under which backend servers ended. */
    readonly held: HeldRequests;
    private readonly name: string;
    private outliers = OutlierDetector.create();
    /** The newest configuration as it was read last. */
    private readTraffic: { readonly version: number; readonly traffic: Traffic | undefined; } | undefined;
    private documentNoted = false;
    private placing: PlacingService | undefined;
    private orders: StageOrders | undefined;

    private constructor(
        private readonly options: DirectoryDaemonOptions,
        private readonly network: Network,
        private readonly group: DocumentGroup,
        private readonly recollection: Recollection,
    ) {
        super();
        const { settings, clock, randomness } = options;
        this.name = `${settings.host}:${settings.peerPort}`;
        this.hearing = ServerHearing.create({
            name: this.name,
            heartbeat: settings.heartbeat,
            clock,
            logger: options.logger,
            onNews: () => {
                this.watches.changed();
                recollection.changed();
            },
            onBelief: () => {
                this.placing?.noteChange();
                recollection.changed();
            },
        });
        this.store.add(() => recollection.close());
        recollection.keep(() => this.memorable());
        this.held = HeldRequests.create({
            rules: settings.holds,
            tell: () => this.passCrashesOn(),
            clock,
            logger: options.logger,
        });
        this.connections = BackendConnections.create(options.logger);
        this.store.add(() => this.connections.close());
        this.watches = WatchBook.create({
            incarnation: randomness.identifier(),
            failureDomain: settings.failureDomain,
            announcements: this.hearing.announcements,
            held: this.held,
            document: () => group.current(),
            members: () => this.members(),
            ejected: () => this.placing === undefined ? [] : this.outliers.ejected(),
            gatewaysBefore: recollection.gateways(),
            clock,
        });
        this.serverCalls = ServerCalls.create({
            wire: options.wire,
            hearing: this.hearing,
            watched: () => this.watches.gatewayCount() > 0,
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

    /** Opens the group's replica and listens. */
    static async create(options: DirectoryDaemonOptions): Promise<DirectoryDaemon> {
        const { settings, clock, randomness, logger } = options;
        const network = options.network ?? TcpNetwork.create(logger, settings.bindHost);
        // The group may be writing its files meanwhile: removing what looks unfinished would take one of them away, and the
        // group would stop for it.
        const openDisk = (): Promise<FolderDisk> => FolderDisk.createBeside(settings.dataFolder);
        const recollection = await Recollection.create({ openDisk, clock, logger });
        const group = await DocumentGroup.create({
            committed: identity => recollection.committed(identity),
            name: `${settings.host}:${settings.peerPort}`,
            seeds: options.seeds ?? (() => seedNames(settings)),
            firstStart: settings.firstStart,
            dataFolder: settings.dataFolder,
            voters: Math.max(leastVoters, 2 * settings.tolerated + 1),
            network,
            clock,
            randomness,
            logger,
        });
        const daemon = new DirectoryDaemon(options, network, group, recollection);
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

    /** Hands leadership over and stops. */
    async close(): Promise<void> {
        this.stopLeading();
        await this.store.dispose();
    }

    /** Sets the gauges of a directory. */
    measure(metrics: Metrics): void {
        const standing = this.group.standing();
        const placed = this.placing?.standing();
        metrics.gauge("basilpaddle_group_leading", standing?.leading === true ? 1 : 0);
        metrics.gauge("basilpaddle_group_voting", standing?.voting === true ? 1 : 0);
        metrics.gauge("basilpaddle_group_term", standing?.term ?? 0);
        metrics.gauge("basilpaddle_group_committed_index", standing?.committedIndex ?? 0);
        metrics.gauge("basilpaddle_configuration_version", this.group.current().version);
        metrics.gauge("basilpaddle_gateways", this.watches.gatewayCount());
        metrics.gauge("basilpaddle_places_held", placed?.held ?? 0);
        metrics.gauge("basilpaddle_places_waiting", placed?.waiting ?? 0);
        this.hearing.instances.measure(metrics);
        this.held.measure(metrics);
    }

    override async answer(call: DirectoryCall, body: string): Promise<CallAnswer> {
        switch (call.kind) {
            case "announce":
                return this.serverCalls.announce(call.name, body);
            case "leave":
                return this.serverCalls.leave(call.name, body);
            case "storeConfiguration":
                return this.configurationCalls.store(body);
            case "readConfiguration":
                return this.configurationCalls.read();
            case "unknown":
                return { kind: "unknownCall" };
        }
    }

    private async open(): Promise<void> {
        const { settings, logger, wire, clock } = this.options;
        const peers = await TcpServer.create({
            host: settings.bindHost ?? settings.host,
            port: settings.peerPort,
            handler: body => this.onPeer(body),
            logger,
        });
        this.store.add(() => peers.close());
        this.group.onChange(() => this.noteDocument());
        this.group.onLeadership(leading => leading ? this.lead() : this.stopLeading());
        this.hearing.recall(this.recollection.servers());
        this.noteCrashes(this.recollection.crashes());
        if (this.group.standing()?.leading === true) {
            this.lead();
        }
        const watcher = DirectoryWatcher.create({
            name: this.name,
            observer: true,
            failureDomain: settings.failureDomain,
            seeds: this.options.seeds ?? (() => seedNames(settings)),
            network: this.network,
            clock,
            logger,
            onAnnounced: announced => this.hearing.hearOther(announced),
            onCrashes: records => this.noteCrashes(records),
            knownCrashes: () => this.held.since(0),
        });
        this.store.add(() => watcher.close());
        const calls = await CallServer.create({ address: settings.calls, handler: this, wire, logger });
        this.store.add(() => calls.close());
        this.watchSilence();
        logger.info("serving", { calls: settings.calls, peers: this.name });
    }

    /**
     * The newest configuration, read when it is first needed: only the leader needs what it says. Read at the start it kept
     * every directory from answering its first watch for a while on a small core, just when nobody is served.
     */
    private currentTraffic(): Traffic | undefined {
        const { version, content } = this.group.current();
        if (this.readTraffic?.version !== version) {
            this.readTraffic = { version, traffic: this.options.wire.traffic(content).toMaybe().extract() };
        }
        return this.readTraffic.traffic;
    }

    /** Passes the newest configuration on, once for all that were committed in one go: after a restart the log brings dozens. */
    private noteDocument(): void {
        if (this.documentNoted) {
            return;
        }
        this.documentNoted = true;
        setImmediate(() => {
            this.documentNoted = false;
            const { version } = this.group.current();
            this.watches.changed();
            this.options.logger.info("a configuration is committed", { version });
            this.placing?.noteChange();
            this.recollection.changed();
        });
    }

    /** Takes in what gateways or other directories know of requests under which servers ended, and passes it on. */
    private noteCrashes(records: readonly CrashRecord[]): void {
        if (this.held.merge(records).length > 0) {
            this.passCrashesOn();
        }
    }

    private passCrashesOn(): void {
        this.watches.changed();
        this.recollection.changed();
    }

    private memorable(): Memorable | undefined {
        const committed = this.group.committedMark();
        const servers = this.hearing.memorable();
        const gateways = this.watches.gatewayCount();
        const crashes = this.held.since(0);
        return committed && { identity: committed.identity, committed: committed.mark, servers, gateways, crashes };
    }

    private watchSilence(): void {
        const { clock } = this.options;
        let cancel = clock.after(silenceInterval, () => look());
        const look = (): void => {
            this.hearing.lookForSilence();
            this.placing?.keepGateways(this.watches.gatewayNames());
            this.reviewOutliers();
            cancel = clock.after(silenceInterval, look);
        };
        this.store.add(() => cancel());
    }

    /** Tells gateways at once when other servers are ejected than before. */
    private reviewOutliers(): void {
        if (this.placing !== undefined && this.outliers.review(this.options.clock.monotonic())) {
            this.options.logger.info("other backend servers of plain services are ejected than before", {
                ejected: this.outliers.ejected(),
            });
            this.watches.changed();
        }
    }

    private async onPeer(body: unknown): Promise<unknown> {
        const agreement = body as { readonly kind?: unknown; readonly from?: unknown; readonly message?: unknown; };
        if (agreement?.kind === "agreement" && typeof agreement.from === "string") {
            this.group.receive(agreement.from, agreement.message);
            return undefined;
        }
        const message = directoryMessageSchema.safeParse(body);
        if (!message.success) {
            this.options.logger.warn("a peer sent something that isn't a message", {
                kind: agreement?.kind,
                problem: message.error.issues[0]?.message,
            });
            return undefined;
        }
        return this.answerPeer(message.data);
    }

    private async answerPeer(message: DirectoryMessage): Promise<unknown> {
        switch (message.kind) {
            case "watch":
                return this.watches.watch(message);
            case "document":
                return this.watches.packed();
            case "storeDocument":
            case "readDocument":
                return this.configurationCalls.answer(message);
            case "crashes":
                this.noteCrashes(message.records);
                return { kind: "noted" };
            default: {
                const leader = this.group.standing()?.leader;
                return await (this.placing?.handle(message) ?? { kind: "elsewhere", leader });
            }
        }
    }

    private lead(): void {
        const { clock, logger, wire, settings } = this.options;
        const term = this.group.standing()?.term ?? 0;
        this.stopLeading();
        this.outliers = OutlierDetector.create();
        const sources = { instances: this.hearing.instances, traffic: () => this.currentTraffic(), clock, logger };
        this.placing = PlacingService.create(
            {
                ...sources,
                repeats: settings.repeats,
                borrowed: service => this.watches.borrowed(service),
                onCalls: calls => this.outliers.note(calls, clock.monotonic()),
                onEnded: instance => this.hearing.noteEnded(instance),
            },
            term,
        );
        this.orders = StageOrders.create({
            ...sources,
            usualRequest: service => this.placing?.usualRequest(service),
            waiting: service => this.placing?.waiting(service) ?? 0,
            onOrdered: (engine, stage, within) => this.placing?.noteOrdered(engine, stage, within),
            holder: settings.name,
            wire,
            connections: this.connections,
            lease: settings.orderLease,
            firstHolder: settings.firstStart && term === 1,
        }, term);
        this.watches.changed();
        logger.info("leading: placing runs and ordering stages", { term });
    }

    private stopLeading(): void {
        this.placing?.close();
        this.orders?.close();
        this.placing = undefined;
        this.orders = undefined;
    }

    private members(): { readonly members: readonly string[]; readonly leader: string | undefined; } {
        const standing = this.group.standing();
        const identities = [...standing?.voters ?? [], ...standing?.learners ?? []];
        const names = identities.map(identity => identity.split("#", 1)[0]!);
        return { members: [...new Set([...names, this.name])], leader: standing?.leader };
    }
}
