import { DirectoryWatcher, type InstanceTable } from "../../coordination/index.js";
import type { CrashRecord, ServerAnnouncement, WatchRequest } from "../../protocol/index.js";
import type { Network } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { BackendServerRegistry } from "./backendServerRegistry.js";
import type { CallResponse } from "./callServer.js";
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
    private watcher: DirectoryWatcher | undefined;

    private constructor(private readonly options: ServerMembershipOptions) {
        const { name, heartbeat, restartCache, clock, logger } = options;
        this.registry = BackendServerRegistry.create({
            name,
            heartbeat,
            clock,
            logger,
            onAnnouncementsChanged: () => {
                this.watches.notifyWatchers();
                restartCache.markChanged();
            },
            onInstancesChanged: () => {
                options.onInstancesChanged();
                restartCache.markChanged();
            },
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
        return this.applyCall(() => this.registry.announce(announced));
    }

    /** Applies a backend server's call that it leaves. */
    async leave(departure: Departure): Promise<CallResponse> {
        return this.applyCall(() => this.registry.leave(departure));
    }

    /** Marks an incarnation as ended after a gateway found another incarnation at its address. */
    markEnded(id: string): void {
        this.registry.markEnded(id);
    }

    /** Handles a message of a gateway or of another directory. */
    handle(message: WatchRequest): Promise<unknown> {
        return this.watches.watch(message);
    }

    /** Marks backend servers as silent whose heartbeats stopped; to be called a few times per heartbeat interval. */
    review(): void {
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
     * Applies a call, unless no gateway receives this directory's updates: the acknowledgement of a leave call that reaches no
     * gateway would let the leaving server assume that it gets no more work.
     */
    private applyCall(apply: () => void): CallResponse {
        if (this.watches.gatewayCount() === 0) {
            return { kind: "unavailable", reason: "no gateway watches this directory" };
        }
        apply();
        return { kind: "done" };
    }
}
