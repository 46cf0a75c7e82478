import {
    InForceTracker,
    LivenessTable,
    QuarantinedRequests,
    type Replica,
    Supervisor,
} from "../../coordination/index.js";
import type { Address, Command, ControlSettings } from "../../protocol/index.js";
import { FolderDisk, FolderLock, Ledger, type StateMachine } from "../../state/index.js";
import { type LinkHandler, type Network, TcpNetwork, TcpServer } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";
import { ControlStatus } from "./controlStatus.js";
import type { ControlCore } from "./core.js";
import { openGroupReplica } from "./groupReplica.js";
import { Lifecycle, type LifecycleState } from "./lifecycle.js";
import { LivenessRelay } from "./livenessRelay.js";
import { PeerService } from "./peerService.js";
import { type ProposalAnswer, Proposals } from "./proposals.js";
import { SessionEndDetector } from "./sessionEndDetector.js";
import { SupervisorLoop } from "./supervisorLoop.js";

/** Creates the replica that applies commands to the state machine; `onFailure` is called once if the replica stops because of an error. */
export type ReplicaFactory = (stateMachine: StateMachine, onFailure: (error: unknown) => void) => Promise<Replica>;

/** Settings and dependencies of a control daemon. */
export type ControlDaemonOptions = {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    /** @default TCP */
    readonly network?: Network;
    /** @default a replica of the group in the settings, with its state in the data folder of the settings */
    readonly replica?: ReplicaFactory;
    /** Called once if the replica stops because of an error; the process should close the daemon and exit. */
    readonly onFailure?: (error: unknown) => void;
    /** Answers requests of kinds that this daemon doesn't handle itself; resolves with undefined for unknown kinds. */
    readonly otherRequests?: (body: unknown) => Promise<unknown>;
};

/** A control daemon: runs a replica of the log, answers other daemons, and performs the leader's tasks while it leads. */
export class ControlDaemon {
    private constructor(
        private readonly store: DisposableStore,
        private readonly lifecycle: Lifecycle,
        private readonly server: TcpServer,
        private readonly proposals: Proposals,
        private readonly operatorStatus: ControlStatus,
        /** Requests that are quarantined because backend servers crashed while running them. */
        readonly quarantinedRequests: QuarantinedRequests,
    ) {}

    /** Opens the replica and listens for other daemons. If a later step fails, everything opened before is closed again. */
    static async create(options: ControlDaemonOptions): Promise<ControlDaemon> {
        const store = DisposableStore.create();
        try {
            return await ControlDaemon.open(options, store);
        }
        catch (error) {
            await store.dispose();
            throw error;
        }
    }

    private static async open(options: ControlDaemonOptions, store: DisposableStore): Promise<ControlDaemon> {
        const { settings, clock, logger } = options;
        const lifecycle = Lifecycle.create();
        const ledger = Ledger.create();
        const onFailure = (error: unknown): void => {
            logger.fatal("the replica failed; this control daemon no longer takes part in its group", { error });
            lifecycle.send("failed");
            options.onFailure?.(error);
        };
        const createReplica = options.replica ?? groupReplica(options, store);
        const replica = await createReplica(ledger, onFailure);
        const core: ControlCore = {
            name: settings.name,
            timing: settings.timing,
            clock,
            logger,
            ledger,
            replica,
            livenessTable: LivenessTable.create(),
            inForce: InForceTracker.create(settings.timing, clock.monotonic()),
            quarantine: QuarantinedRequests.create({
                rules: settings.holds,
                publishRecords: () => undefined,
                clock,
                logger,
            }),
        };
        const proposals = Proposals.create(core);
        const status = ControlStatus.create(core);
        // The replica is closed before the server: the transfer of leadership still needs the answers of other daemons, which
        // arrive at the server.
        const service = PeerService.create(core, proposals);
        const handler: LinkHandler = async body => await options.otherRequests?.(body) ?? service.handle(body);
        const server = await openServer(settings.peers, handler, logger, replica);
        store.add(() => server.close());
        store.add(() => replica.close());
        subscribe(core, proposals, status, store);
        const supervisor = Supervisor.create(settings.name, settings.timing, core.livenessTable);
        const supervisorLoop = SupervisorLoop.create(core, supervisor);
        store.add(() => supervisorLoop.close());
        supervisorLoop.start();
        const relay = LivenessRelay.create(core, settings.controls, options.network ?? TcpNetwork.create(logger));
        store.add(() => relay.close());
        relay.start();
        lifecycle.send("started");
        return new ControlDaemon(store, lifecycle, server, proposals, status, core.quarantine);
    }

    /** Current state of the lifecycle. */
    state(): LifecycleState {
        return this.lifecycle.state();
    }

    /** Port of the listener for other daemons. */
    port(): number {
        return this.server.port();
    }

    /** Status as reported to operators. */
    status(): ControlStatus {
        return this.operatorStatus;
    }

    /** Proposes a command if this control daemon leads. A change of the configuration is answered once it is in force. */
    propose(command: Command): Promise<ProposalAnswer> {
        return this.proposals.propose(command);
    }

    /** Transfers leadership, stops serving and releases all resources. */
    async close(): Promise<void> {
        if (this.lifecycle.send("stop")) {
            await this.store.dispose();
            this.lifecycle.send("stopped");
        }
    }
}

function groupReplica(options: ControlDaemonOptions, store: DisposableStore): ReplicaFactory {
    return async (stateMachine, onFailure) => {
        // The lock is acquired before the folder is opened: opening it discards unfinished writes, which may belong to a process
        // that is still running.
        const lock = await FolderLock.create(options.settings.dataFolder);
        store.add(() => lock.close());
        return openGroupReplica({
            ...options,
            network: options.network ?? TcpNetwork.create(options.logger),
            disk: await FolderDisk.create(options.settings.dataFolder),
            stateMachine,
            onFailure,
            store,
        });
    };
}

async function openServer(
    address: Address,
    handler: LinkHandler,
    logger: Logger,
    replica: Replica,
): Promise<TcpServer> {
    try {
        return await TcpServer.create({ ...address, handler, logger });
    }
    catch (error) {
        await replica.close();
        throw error;
    }
}

/** Updates the local state, which isn't replicated, when commands are applied or leadership changes. */
function subscribe(core: ControlCore, proposals: Proposals, status: ControlStatus, store: DisposableStore): void {
    const { replica, ledger, clock, inForce, livenessTable } = core;
    let sessionEndDetector = SessionEndDetector.create(ledger.view());
    let handledRestores = ledger.restores();
    const detectRestore = (): void => {
        if (ledger.restores() !== handledRestores) {
            handledRestores = ledger.restores();
            sessionEndDetector = SessionEndDetector.create(ledger.view());
            inForce.recordSessionClosed(clock.monotonic());
            status.recordChange();
        }
    };
    store.add(replica.onApplied((_index, command, result) => {
        detectRestore();
        if (sessionEndDetector.endedUnexpectedly(command, result, ledger.view())) {
            inForce.recordSessionClosed(clock.monotonic());
        }
        if (command.kind === "announceBackend") {
            const { id, incarnation } = command.announcement;
            livenessTable.recordBackend(id, incarnation, clock.monotonic());
        }
        if (command.kind === "changeConfiguration") {
            status.recordChange();
        }
    }));
    store.add(replica.onLeadership(() => {
        detectRestore();
        proposals.recheckWaiting();
    }));
}
