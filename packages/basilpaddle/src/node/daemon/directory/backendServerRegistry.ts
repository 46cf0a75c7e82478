import { Announcements, applyAnnouncement, InstanceTable } from "../../coordination/index.js";
import { incarnationOf, type ServerAnnouncement } from "../../protocol/index.js";
import { type Clock, hashToFraction, type Logger } from "../../utils/index.js";
import type { Departure } from "./directoryWire.js";

/**
 * How many backend servers that send their heartbeats to other directories are kept across a restart as well. After a
 * restart each directory sends them to each gateway: a hundred announcements are 13 KB, a sixtieth of a second on a link of
 * 7 Mbit/s, where a thousand from five directories would take three quarters of a second. Without these servers, gateways
 * refused requests because the directory that they reached first didn't know a server that only another one knew, and the
 * servers of a directory with a lost disk stayed unknown until their next heartbeat.
 */
const maxRemoteServers = 100;
/** Only the first of several backend servers are named in one log line. */
const maxLoggedServers = 60;

/** Dependencies and listeners of `BackendServerRegistry`. */
export type BackendServerRegistryOptions = {
    /** Name of this directory. */
    readonly name: string;
    /** Milliseconds between two heartbeats of a backend server. */
    readonly heartbeat: number;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when the announcements that this directory publishes have changed. */
    readonly onAnnouncementsChanged: () => void;
    /** Called when the known state of any backend server has changed, whatever the source. */
    readonly onInstancesChanged: () => void;
};

/** State of the backend servers as one directory knows it: from their heartbeats, from gateways, and from other directories. */
export class BackendServerRegistry {
    /** Merged state of all backend servers. */
    readonly instances = InstanceTable.create();
    /** Announcements that this directory received itself. */
    readonly announcements: Announcements;

    private constructor(private readonly options: BackendServerRegistryOptions) {
        this.announcements = Announcements.create(options.heartbeat);
    }

    static create(options: BackendServerRegistryOptions): BackendServerRegistry {
        return new BackendServerRegistry(options);
    }

    /** Restores backend servers from before a restart; heartbeats confirm or refute their state later. */
    restore(servers: readonly ServerAnnouncement[]): void {
        const { clock, logger } = this.options;
        servers.forEach(server => {
            this.announcements.restoreServer(server, clock.monotonic());
            this.instances.apply(server);
        });
        logger.info("restored backend servers from before the restart", {
            count: servers.length,
            servers: servers.slice(0, maxLoggedServers).map(({ id, state, sequence }) => `${id} ${state} ${sequence}`),
        });
    }

    /**
     * Backend servers to keep across a restart: those that send heartbeats here, and some of those known from other
     * directories. The selection of the latter differs between directories, so that together they cover as many as possible.
     */
    serversForRestart(): readonly ServerAnnouncement[] {
        const own = this.announcements.restartCacheEntries();
        const ownIds = new Set(own.map(({ id }) => id));
        const others = this.instances.all().filter(({ id, state }) => {
            return (state === "ready" || state === "draining") && !ownIds.has(id);
        });
        const rank = (server: ServerAnnouncement): number => hashToFraction(server.id + this.options.name);
        return [...own, ...others.sort((one, other) => rank(one) - rank(other)).slice(0, maxRemoteServers)];
    }

    /** Applies a heartbeat of a backend server. */
    announce(announced: ServerAnnouncement): void {
        const { clock, logger, onAnnouncementsChanged } = this.options;
        if (this.announcements.apply(announced, clock.monotonic())) {
            const { id, service, address, state, stage, sequence } = announced;
            logger.info("a backend server announced itself", { id, service, address, state, stage, sequence });
            this.updateInstance(announced, "heartbeat");
            onAnnouncementsChanged();
        }
        else if (this.instances.hasEnded(announced.id)) {
            const { id, state, sequence } = announced;
            logger.info("ignored a heartbeat of a backend server that has left", { id, state, sequence });
        }
    }

    /** Applies a backend server's call that it leaves. */
    leave({ name, startedAt }: Departure): void {
        const newest = this.instances.newestOf(name);
        const known = newest === undefined ? undefined : this.instances.get(newest.id);
        if (startedAt === undefined && newest?.hasStartTime === true && known !== undefined) {
            this.options.logger.warn("a backend server leaves without reporting its start time; draining it", {
                id: known.id,
            });
            this.announcements.drain(known, this.options.clock.monotonic());
            this.publishAll();
            return;
        }
        this.markLeft(incarnationOf(name, startedAt), "a backend server leaves");
    }

    /** Marks an incarnation as ended after a gateway found another incarnation at its address. */
    markEnded(id: string): void {
        if (!this.instances.hasEnded(id)) {
            this.markLeft(id, "a gateway found another incarnation at the address of a backend server");
        }
    }

    /** Applies another directory's announcement of a backend server. */
    applyRemoteAnnouncement(announced: ServerAnnouncement, directory: string): void {
        this.updateInstance(announced, directory);
        this.announcements.confirm(announced);
        if (this.announcements.refutes(announced)) {
            const { id, sequence } = announced;
            this.options.logger.info(
                "another directory reports a backend server as silent that sends heartbeats here; announcing it again",
                { id, sequence },
            );
            this.publishAll();
        }
    }

    /** Marks backend servers as silent whose heartbeats stopped. */
    markSilentServers(): void {
        const silent = this.announcements.markSilent(this.options.clock.monotonic());
        if (silent.length > 0) {
            this.options.logger.info("heartbeats of backend servers stopped", {
                count: silent.length,
                servers: silent.slice(0, maxLoggedServers),
            });
            this.publishAll();
        }
    }

    /** Records that an incarnation has ended, and publishes it. */
    private markLeft(id: string, logMessage: string): void {
        if (this.announcements.markLeft(id, this.options.clock.monotonic())) {
            this.options.logger.info(logMessage, { id });
            this.publishAll();
        }
    }

    private publishAll(): void {
        this.announcements.changedAfter(0).forEach(announced => this.instances.apply(announced));
        this.options.onInstancesChanged();
        this.options.onAnnouncementsChanged();
    }

    private updateInstance(announced: ServerAnnouncement, source: string): void {
        if (applyAnnouncement(this.instances, announced, source, this.options.logger)) {
            this.options.onInstancesChanged();
        }
    }
}
