import { DirectoryWatcher, type InstanceTable } from "../../coordination/index.js";
import {
    type CrashRecord,
    type DepartureReply,
    type DepartureReport,
    type ServerAnnouncement,
    serverName,
    type WatchRequest,
} from "../../protocol/index.js";
import type { Network } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { BackendServerRegistry } from "./backendServerRegistry.js";
import type { CallResponse } from "./callServer.js";
import { DepartureReplication } from "./departureReplication.js";
import type { Departure } from "./directoryWire.js";
import type { RestartCache } from "./restartCache.js";
import { WatchService, type WatchServiceOptions } from "./watchService.js";

/** Inputs and dependencies of `ServerMembership`. */
export type ServerMembershipOptions = Omit<WatchServiceOptions, "announcements" | "previousGateways"> & {
    /** Name of this directory: its peer address, "IP:PORT". */
    readonly name: string;
    /** Milliseconds between two heartbeats of a backend server. */
    readonly heartbeat: number;
    /** Number of lost hosts with a disk that the deployment tolerates. */
    readonly tolerated: number;
    /** Addresses of the directories to start with; read again on each failure, since settings may change. */
    readonly seeds: () => readonly string[];
    readonly network: Network;
    readonly restartCache: RestartCache;
    /** Called when the known state of any backend server has changed. */
    readonly onInstancesChanged: () => void;
    /** Called with each incarnation of a backend server that becomes known. */
    readonly onFirstHeard: (announced: ServerAnnouncement) => void;
    /** Called with crash histories that other directories send. */
    readonly onCrashes: (records: readonly CrashRecord[]) => void;
    /** Crash histories to send to a directory after its restart. */
    readonly knownCrashes: () => readonly CrashRecord[];
    readonly logger: Logger;
};

/**
 * The backend servers as one directory knows them: from their calls, from other directories, and from before its restart; and
 * the watches by which gateways and other directories learn of them.
 */
export class ServerMembership {
    readonly watches: WatchService;
    private readonly registry: BackendServerRegistry;
    private readonly replication: DepartureReplication;
    private watcher: DirectoryWatcher | undefined;
    private hasReachedHalf = false;
    private wasCutOff = false;

    private constructor(private readonly options: ServerMembershipOptions) {
        const { name, heartbeat, restartCache, clock, activeClock, logger } = options;
        this.registry = BackendServerRegistry.create({
            name,
            heartbeat,
            clock,
            activeClock,
            logger,
            onAnnouncementsChanged: () => {
                this.watches.notifyWatchers();
                restartCache.markChanged();
            },
            onInstancesChanged: () => {
                options.onInstancesChanged();
                restartCache.markChanged();
            },
            onFirstHeard: options.onFirstHeard,
        });
        this.replication = DepartureReplication.create({
            reachedDirectories: () => this.watcher?.reachedLinks() ?? [],
            requiredCopies: () => this.requiredCopies(),
            restartCache,
            clock,
            logger,
        });
        this.watches = WatchService.create({
            ...options,
            announcements: this.registry.announcements,
            previousGateways: restartCache.gateways(),
        });
    }

    static create(options: ServerMembershipOptions): ServerMembership {
        return new ServerMembership(options);
    }

    /** Merged state of all backend servers. */
    get instances(): InstanceTable {
        return this.registry.instances;
    }

    /** Restores backend servers from before the restart, and starts to watch the other directories. */
    start(): void {
        const { name, failureDomain, seeds, network, restartCache, clock, logger, onCrashes, knownCrashes } =
            this.options;
        this.registry.restore(restartCache.servers());
        this.watcher = DirectoryWatcher.create({
            name,
            observer: true,
            failureDomain,
            seeds,
            network,
            clock,
            logger,
            onAnnounced: (announced, directory) => this.registry.applyRemoteAnnouncement(announced, directory),
            onCrashes,
            knownCrashes,
        });
    }

    /** Applies a heartbeat of a backend server. */
    async announce(announced: ServerAnnouncement): Promise<CallResponse> {
        if (!this.hasGateways()) {
            return noGateway;
        }
        const known = this.registry.announce(announced);
        const isDeparture = announced.state === "draining" && known !== undefined;
        if (isDeparture) {
            return await this.replication.store(serverName(announced), known) ? done : notStored;
        }
        return this.isCutOff() ? cutOff : done;
    }

    /** Applies a backend server's call that it leaves. */
    async leave(departure: Departure): Promise<CallResponse> {
        if (!this.hasGateways()) {
            return noGateway;
        }
        const known = this.registry.leave(departure);
        return await this.replication.store(departure.name, known) ? done : notStored;
    }

    /** Marks an incarnation as ended after a gateway found another incarnation at its address. */
    markEnded(id: string): void {
        this.registry.markEnded(id);
    }

    /** Handles a message of a gateway or of another directory. */
    async handle(message: WatchRequest | DepartureReport): Promise<unknown> {
        if (message.kind === "watch") {
            return this.watches.watch(message);
        }
        this.registry.adoptDeparture(message);
        return { kind: "noted", stored: await this.options.restartCache.flush() } satisfies DepartureReply;
    }

    /**
     * Marks backend servers as silent whose heartbeats stopped, and logs whether other directories are reached; to be called a few
     * times per heartbeat interval.
     */
    review(): void {
        this.hasReachedHalf ||= this.reachesHalf();
        this.logReachability();
        this.registry.markSilentServers();
    }

    /** Backend servers to keep across a restart. */
    serversForRestart(): readonly ServerAnnouncement[] {
        return this.registry.serversForRestart();
    }

    /** Stops watching the other directories. */
    close(): void {
        this.watcher?.close();
    }

    /**
     * Whether any gateway receives this directory's updates. The acknowledgement of a leave call that reaches no gateway would let
     * the leaving server assume that it gets no more work.
     */
    private hasGateways(): boolean {
        return this.watches.hasRecentWatch();
    }

    /**
     * Whether this directory reached half of the members, itself included, and doesn't any more. A server whose heartbeats it
     * acknowledged would go on sending them here, and be silent at the others, the leader among them.
     */
    private isCutOff(): boolean {
        return this.hasReachedHalf && !this.reachesHalf();
    }

    /** Half is enough: where the members are cut in two halves, neither knows better, and servers would call all of them in turn. */
    private reachesHalf(): boolean {
        const { members } = this.options.members();
        const reached = this.watcher?.knownDirectories().filter(({ reached }) => reached).map(({ name }) => name) ?? [];
        const present = members.filter(member => member === this.options.name || reached.includes(member));
        return present.length * 2 >= members.length;
    }

    private logReachability(): void {
        const isCutOff = this.isCutOff();
        if (isCutOff !== this.wasCutOff) {
            this.wasCutOff = isCutOff;
            this.options.logger.info(
                isCutOff
                    ? "cut off from most of the directories; no heartbeat is acknowledged"
                    : "half of the directories are reached again",
            );
        }
    }

    /** Number of disks that have to hold a departure: one is left after the loss of as many hosts as the deployment tolerates. */
    private requiredCopies(): number {
        const reached = this.watcher?.reachedLinks().length ?? 0;
        // While this directory's disk fails it doesn't know the members of the group.
        const directories = Math.max(this.options.members().members.length, reached + 1);
        return Math.min(this.options.tolerated + 1, directories);
    }
}

const done: CallResponse = { kind: "done" };
const noGateway: CallResponse = { kind: "unavailable", reason: "no gateway watches this directory" };
const cutOff: CallResponse = { kind: "unavailable", reason: "too few directories are reached" };
const notStored: CallResponse = { kind: "unavailable", reason: "too few directories have stored the departure" };
