import {
    type Engine,
    HttpEngine,
    OrderService,
    PeerControlClient,
    QuarantinedRequests,
    ScheduledPlacement,
} from "../../coordination/index.js";
import { type EntrySettings, type Incarnation, type PeerAnswer, peerRequestSchema } from "../../protocol/index.js";
import { type LinkContext, TcpNetwork, TcpServer } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { EntryDaemon } from "../entry/index.js";
import type { ConnectionGuard } from "../listeners/index.js";
import { createLinkChannel, type DaemonStatus, LeaderOperations, OperatorServer } from "../operators/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { collectEntryMetrics } from "./entryMetrics.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";

/** Starts an entry daemon with the given settings; rejects if one of its components can't be opened. */
export async function startEntry(settings: EntrySettings, logger: Logger): Promise<RunningDaemon> {
    const running = new RunningEntry(settings, logger);
    await running.open();
    return running;
}

class RunningEntry extends AssembledDaemon {
    private readonly network: TcpNetwork;
    private readonly quarantine: QuarantinedRequests;
    private control!: PeerControlClient;
    private placement: ScheduledPlacement | undefined;
    private daemon!: EntryDaemon;
    private stopping: Promise<ShutdownReport> | undefined;

    constructor(private readonly settings: EntrySettings, logger: Logger) {
        super(logger);
        this.network = TcpNetwork.create(logger);
        this.quarantine = QuarantinedRequests.create({
            rules: settings.holds,
            publishRecords: records => this.control?.reportCrashes(records.map(({ digest }) => digest)),
            clock: this.clock,
            logger,
        });
    }

    override stop(): Promise<ShutdownReport> {
        if (this.stopping === undefined) {
            this.stopping = this.shutDown();
        }
        else {
            void this.daemon.drain();
        }
        return this.stopping;
    }

    private async shutDown(): Promise<ShutdownReport> {
        const { abortedRequests, unconfirmedCancels, undecidedRuns } = await this.daemon.drain();
        this.logger.info("requests are drained; closing", {
            cut: abortedRequests.length,
            unconfirmedCancels,
            undecidedRuns,
        });
        await this.store.dispose();
        return { abortedRequests };
    }

    protected override async openComponents(): Promise<void> {
        const { settings, logger, clock, randomness, metrics } = this;
        const guard = this.guardConnections(settings.connections);
        const operators = await this.openOperators(guard);
        this.store.add(() => operators.close());
        const peers = await this.openPeers();
        this.store.add(() => peers.close());
        this.control = this.openControl(peers.port());
        this.placement = ScheduledPlacement.create({
            control: this.control,
            network: this.network,
            engineAt: url => HttpEngine.create(url),
            viewLease: settings.timing.viewLease,
            clock,
            randomness,
            logger,
        });
        this.store.add(() => this.placement?.close());
        this.daemon = await EntryDaemon.create({
            settings,
            control: this.control,
            placement: this.placement,
            engines: url => HttpEngine.create(url),
            clock,
            randomness,
            logger,
            metrics,
            quarantinedRequests: this.quarantine,
            guard,
        });
        this.store.add(() => this.daemon.close());
        // Closed before the placement, so that while other daemons switch to the next scheduler, this one can still answer them
        // that it no longer schedules.
        this.store.add(() => this.control.close());
        // Closed before the control client, through whose session the outcomes of orders are still written to the audit trail.
        this.openOrders();
        this.store.add(collectEntryMetrics(metrics, this.control, this.placement, this.daemon));
        this.store.add(metrics.onCollect(() => this.quarantine.measure(metrics)));
        logger.info("serving", {
            callers: this.daemon.callerPort(),
            backends: this.daemon.backendPort(),
            peers: peers.port(),
            operators: operators.port(),
        });
    }

    private openOrders(): void {
        const { control, clock, logger } = this;
        const engineAt = (url: string): Engine => HttpEngine.create(url);
        const orders = OrderService.create({ control, engineAt, clock, logger, timing: this.settings.timing });
        this.store.add(() => orders.close());
    }

    private openOperators(guard: ConnectionGuard): Promise<OperatorServer> {
        const { settings, logger, metrics, clock } = this;
        const channels = settings.controls.map(control => {
            const link = this.network.link(control);
            this.store.add(() => link.close());
            return createLinkChannel(control.name, link);
        });
        const operations = LeaderOperations.create(channels, clock);
        const daemon = (): DaemonStatus => this.status();
        return OperatorServer.create({
            address: settings.operators,
            logger,
            metrics,
            operations,
            daemon,
            quarantine: this.quarantine,
            guard,
            room: this.roomForOperators(),
        });
    }

    private openPeers(): Promise<TcpServer> {
        const handler = (body: unknown, context: LinkContext): Promise<unknown> => this.answerPeer(body, context);
        return TcpServer.create({ ...this.settings.peers, handler, logger: this.logger });
    }

    private openControl(peersPort: number): PeerControlClient {
        const { settings, logger, clock, randomness, network } = this;
        const session: Incarnation = { daemon: settings.name, incarnation: randomness.identifier() };
        const control = PeerControlClient.create({
            session,
            failureDomain: settings.failureDomain,
            peers: { host: settings.peers.host, port: peersPort },
            controls: settings.controls,
            timing: settings.timing,
            network,
            clock,
            randomness,
            logger,
            quarantined: this.quarantine,
        });
        control.onReplaced(by => this.fail(`another process runs as ${settings.name} (incarnation ${by.incarnation})`));
        return control;
    }

    private async answerPeer(body: unknown, context: LinkContext): Promise<PeerAnswer> {
        const request = peerRequestSchema.safeParse(body);
        if (!request.success) {
            return { kind: "failure", message: request.error.message };
        }
        const answer = await this.placement?.handlePeer(request.data, context);
        return answer ?? { kind: "failure", message: `an entry daemon doesn't answer ${request.data.kind}` };
    }

    private status(): DaemonStatus {
        const { settings } = this;
        const ready = this.daemon?.isReady() ?? false;
        return {
            name: settings.name,
            role: "entry",
            failureDomain: settings.failureDomain,
            ready,
            reason: ready ? undefined : this.reason(),
            revision: this.control?.view().configuration.revision ?? 0,
        };
    }

    private reason(): string {
        if (this.stopping !== undefined) {
            return "shutting down";
        }
        return this.control?.startBlocker()?.kind ?? "starting";
    }
}
