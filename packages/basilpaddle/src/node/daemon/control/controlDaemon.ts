import { Hearing, HeldRequests, InForce, type Replica, Supervisor } from "../../coordination/index.js";
import type { Address, Command, ControlSettings } from "../../protocol/index.js";
import { FolderDisk, FolderLock, Ledger, type StateMachine } from "../../state/index.js";
import { type LinkHandler, type Network, TcpNetwork, TcpServer } from "../../transport/index.js";
import { type Clock, DisposableStore, type Logger, type Randomness } from "../../utils/index.js";
import { ControlStatus } from "./controlStatus.js";
import type { ControlCore } from "./core.js";
import { Duties } from "./duties.js";
import { openGroupReplica } from "./groupReplica.js";
import { HearingRelay } from "./hearingRelay.js";
import { Lifecycle, type LifecycleState } from "./lifecycle.js";
import { PeerService } from "./peerService.js";
import { type ProposalAnswer, Proposals } from "./proposals.js";
import { SessionEnds } from "./sessionEnds.js";

/** Makes the replica that feeds the state machine; `onFailure` is called once if it had to stop by itself. */
export type ReplicaMaker = (stateMachine: StateMachine, onFailure: (error: unknown) => void) => Promise<Replica>;

/** What a control daemon needs. */
export type ControlDaemonOptions = {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    /** @default TCP */
    readonly network?: Network;
    /** @default a replica of the group in the settings, with its state in their data folder */
    readonly replica?: ReplicaMaker;
    /** Called once if the replica had to stop by itself; the process should close the daemon and end. */
    readonly onFailure?: (error: unknown) => void;
    /** Answers requests over links that are none of this daemon's own kinds; undefined for those that nobody knows. */
    readonly otherRequests?: (body: unknown) => Promise<unknown>;
};

/** One control daemon: a copy of the replicated log, answers to other daemons, and the leader's duties while it leads. */
export class ControlDaemon {
    private constructor(
        private readonly store: DisposableStore,
        private readonly lifecycle: Lifecycle,
        private readonly server: TcpServer,
        private readonly proposals: Proposals,
        private readonly operatorStatus: ControlStatus,
        /** Requests under which backend servers ended. */
        readonly held: HeldRequests,
    ) {}

    /** Opens the replica and listens for other daemons. Whatever was opened is closed again if a later part fails. */
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
            logger.fatal("the replica stopped; this control daemon takes no further part", { error });
            lifecycle.take("failed");
            options.onFailure?.(error);
        };
        const makeReplica = options.replica ?? groupReplica(options, store);
        const replica = await makeReplica(ledger, onFailure);
        const core: ControlCore = {
            name: settings.name,
            timing: settings.timing,
            clock,
            logger,
            ledger,
            replica,
            hearing: Hearing.create(),
            inForce: InForce.create(settings.timing, clock.monotonic()),
            held: HeldRequests.create({ rules: settings.holds, tell: () => undefined, clock, logger }),
        };
        const proposals = Proposals.create(core);
        const status = ControlStatus.create(core);
        // The replica is closed before the server: handing leadership over still needs answers to come in.
        const service = PeerService.create(core, proposals);
        const handler: LinkHandler = async body => await options.otherRequests?.(body) ?? service.handle(body);
        const server = await openServer(settings.peers, handler, logger, replica);
        store.add(() => server.close());
        store.add(() => replica.close());
        follow(core, proposals, status, store);
        const supervisor = Supervisor.create(settings.name, settings.timing, core.hearing);
        const duties = Duties.create(core, supervisor);
        store.add(() => duties.close());
        duties.start();
        const relay = HearingRelay.create(core, settings.controls, options.network ?? TcpNetwork.create(logger));
        store.add(() => relay.close());
        relay.start();
        lifecycle.take("started");
        return new ControlDaemon(store, lifecycle, server, proposals, status, core.held);
    }

    /** Where it stands between its start and its end. */
    state(): LifecycleState {
        return this.lifecycle.state();
    }

    /** The port that other daemons reach it on. */
    port(): number {
        return this.server.port();
    }

    /** What operators get to see. */
    status(): ControlStatus {
        return this.operatorStatus;
    }

    /** Proposes a command, if this control daemon leads; a change of the configuration once it is in force. */
    propose(command: Command): Promise<ProposalAnswer> {
        return this.proposals.propose(command);
    }

    /** Hands leadership over, stops serving and releases everything. */
    async close(): Promise<void> {
        if (this.lifecycle.take("stop")) {
            await this.store.dispose();
            this.lifecycle.take("stopped");
        }
    }
}

function groupReplica(options: ControlDaemonOptions, store: DisposableStore): ReplicaMaker {
    return async (stateMachine, onFailure) => {
        // Before the folder is looked at: opening it already repairs what a process that still writes left unfinished.
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

/** Keeps what is beside the replicated state up to date with it. */
function follow(core: ControlCore, proposals: Proposals, status: ControlStatus, store: DisposableStore): void {
    const { replica, ledger, clock, inForce, hearing } = core;
    let ends = SessionEnds.create(ledger.view());
    let restores = ledger.restores();
    const noteRestore = (): void => {
        if (ledger.restores() !== restores) {
            restores = ledger.restores();
            ends = SessionEnds.create(ledger.view());
            inForce.noteClosing(clock.monotonic());
            status.noteChange();
        }
    };
    store.add(replica.onApplied((_index, command, result) => {
        noteRestore();
        if (ends.ended(command, result, ledger.view())) {
            inForce.noteClosing(clock.monotonic());
        }
        if (command.kind === "announceBackend") {
            const { id, incarnation } = command.announcement;
            hearing.heardBackend(id, incarnation, clock.monotonic());
        }
        if (command.kind === "changeConfiguration") {
            status.noteChange();
        }
    }));
    store.add(replica.onLeadership(() => {
        noteRestore();
        proposals.lookAgain();
    }));
}
