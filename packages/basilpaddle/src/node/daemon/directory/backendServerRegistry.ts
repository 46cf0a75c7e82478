import { LRUCache } from "lru-cache";
import {
    Announcements,
    applyAnnouncement,
    describeServers,
    InstanceTable,
    maxCallDelayMilliseconds,
    maxLoggedServers,
} from "../../coordination/index.js";
import { type DepartureReport, incarnationOf, type ServerAnnouncement, serverName } from "../../protocol/index.js";
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

/** Number of incarnations and of calls to remember: several times the backend servers of a large deployment. */
const maxIncarnations = 8_192;
const maxUnresolvedCalls = 1_024;

/** Dependencies and listeners of `BackendServerRegistry`. */
export type BackendServerRegistryOptions = {
    /** Name of this directory. */
    readonly name: string;
    /** Milliseconds between two heartbeats of a backend server. */
    readonly heartbeat: number;
    readonly clock: Clock;
    /** Stands still with this process; the silence of backend servers is measured by it. */
    readonly activeClock: Clock;
    readonly logger: Logger;
    /** Called when the announcements that this directory publishes have changed. */
    readonly onAnnouncementsChanged: () => void;
    /** Called when the known state of any backend server has changed, whatever the source. */
    readonly onInstancesChanged: () => void;
    /** Called with each incarnation that becomes known. */
    readonly onFirstHeard: (announced: ServerAnnouncement) => void;
};

/** State of the backend servers as one directory knows it: from their heartbeats, from gateways, and from other directories. */
export class BackendServerRegistry {
    /** Merged state of all backend servers. */
    readonly instances = InstanceTable.create();
    /** Announcements that this directory received itself. */
    readonly announcements: Announcements;
    /** When each incarnation was first heard of. */
    private readonly firstHeardAt = new LRUCache<string, number>({ max: maxIncarnations });
    /** When a backend server of a name that wasn't known said that it leaves. */
    private readonly unresolvedCalls = new LRUCache<string, number>({ max: maxUnresolvedCalls });

    private constructor(private readonly options: BackendServerRegistryOptions) {
        this.announcements = Announcements.create(options.heartbeat);
    }

    static create(options: BackendServerRegistryOptions): BackendServerRegistry {
        return new BackendServerRegistry(options);
    }

    /** Restores backend servers from before a restart; heartbeats confirm or refute their state later. */
    restore(servers: readonly ServerAnnouncement[]): void {
        const { clock, activeClock, logger } = this.options;
        servers.forEach(server => {
            this.noteFirstHeard(server);
            this.announcements.restoreServer(server, clock.monotonic(), activeClock.monotonic());
            this.instances.apply(server);
        });
        logger.info("restored backend servers from before the restart", {
            count: servers.length,
            servers: describeServers(servers),
        });
    }

    /**
     * Backend servers to keep across a restart: those that send heartbeats here, and some of those known from other
     * directories. The selection of the latter differs between directories, so that together they cover as many as possible.
     */
    serversForRestart(): readonly ServerAnnouncement[] {
        const own = this.announcements.restartCacheEntries(this.options.clock.monotonic());
        const ownIds = new Set(own.map(({ id }) => id));
        const others = this.instances.all().filter(({ id, state }) => {
            return (state === "ready" || state === "draining") && !ownIds.has(id);
        });
        const rank = (server: ServerAnnouncement): number => hashToFraction(server.id + this.options.name);
        return [...own, ...others.sort((one, other) => rank(one) - rank(other)).slice(0, maxRemoteServers)];
    }

    /** Applies a heartbeat of a backend server; returns what is known of the incarnation. */
    announce(heartbeat: ServerAnnouncement): ServerAnnouncement | undefined {
        const { clock, activeClock, logger, onAnnouncementsChanged } = this.options;
        const { id, service, address, state, stage, sequence } = heartbeat;
        if (this.instances.hasEnded(id)) {
            logger.info("ignored a heartbeat of a backend server that has left", { id, state, sequence });
            return undefined;
        }
        this.noteFirstHeard(heartbeat);
        const mustForward = this.announcements.apply(heartbeat, clock.monotonic(), activeClock.monotonic());
        const announced = this.announcements.get(id);
        if (mustForward && announced !== undefined) {
            const { departure } = announced;
            logger.info("a backend server announced itself", {
                id,
                service,
                address,
                state,
                stage,
                sequence,
                departure,
            });
            this.updateInstance(announced, "heartbeat");
            onAnnouncementsChanged();
        }
        return announced;
    }

    /** Applies a backend server's call that it leaves; returns what is known of the incarnation, if it is clear which one. */
    leave({ name, startedAt }: Departure): ServerAnnouncement | undefined {
        const newest = this.instances.newestOf(name);
        if (startedAt !== undefined || newest?.hasStartTime === false) {
            return this.leaveIncarnation(incarnationOf(name, startedAt));
        }
        if (newest === undefined) {
            // Kept for an incarnation that becomes known soon, and for other daemons that know one without a start time.
            this.unresolvedCalls.set(name, this.options.clock.monotonic());
            this.leaveIncarnation(name);
            return undefined;
        }
        const known = this.instances.get(newest.id);
        if (known !== undefined) {
            this.leaveWithoutStartTime(known);
        }
        return this.announcements.get(newest.id);
    }

    /** Takes over a departure that another directory was told of. */
    adoptDeparture({ name, server }: Pick<DepartureReport, "name" | "server">): void {
        if (server === undefined) {
            this.leave({ name });
        }
        else {
            this.applyRemoteAnnouncement(server, "a departure report");
        }
    }

    /** Marks an incarnation as ended after a gateway found another incarnation at its address. */
    markEnded(id: string): void {
        if (!this.instances.hasEnded(id)) {
            this.markLeft(id, "a gateway found another incarnation at the address of a backend server");
        }
    }

    /** Applies another directory's announcement of a backend server. */
    applyRemoteAnnouncement(announced: ServerAnnouncement, directory: string): void {
        this.noteFirstHeard(announced);
        this.updateInstance(announced, directory);
        this.announcements.confirm(announced);
        if (this.announcements.adoptDeparture(announced, this.options.clock.monotonic())) {
            this.publishAll();
        }
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
        const { clock, activeClock } = this.options;
        const silent = this.announcements.markSilent(clock.monotonic(), activeClock.monotonic());
        if (silent.length > 0) {
            this.options.logger.info("heartbeats of backend servers stopped", {
                count: silent.length,
                servers: silent.slice(0, maxLoggedServers),
            });
            this.publishAll();
        }
    }

    private leaveIncarnation(id: string): ServerAnnouncement | undefined {
        this.markLeft(id, "a backend server leaves");
        return this.announcements.get(id);
    }

    /**
     * Applies a leave call without a start time. It may be a late call of the previous incarnation, unless this one has been known
     * for longer than a call can be late.
     */
    private leaveWithoutStartTime(server: ServerAnnouncement): void {
        const { clock, logger } = this.options;
        const now = clock.monotonic();
        const knownFor = now - (this.firstHeardAt.get(server.id) ?? now);
        const stage = knownFor >= maxCallDelayMilliseconds ? "left" : "suspected";
        logger.info("a backend server leaves without reporting its start time", { id: server.id, knownFor, stage });
        this.announcements.depart(server, stage, now);
        this.publishAll();
    }

    /** Records when an incarnation was first heard of, and applies a leave call that came before that. */
    private noteFirstHeard(announced: ServerAnnouncement): void {
        const { id } = announced;
        const now = this.options.clock.monotonic();
        if (this.firstHeardAt.has(id) || announced.state === "left") {
            return;
        }
        this.firstHeardAt.set(id, now);
        this.options.onFirstHeard(announced);
        const calledAt = this.unresolvedCalls.get(serverName(announced));
        if (calledAt !== undefined && now - calledAt < maxCallDelayMilliseconds) {
            this.announcements.depart(announced, "suspected", now);
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
