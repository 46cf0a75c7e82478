import { Announcements, InstanceTable } from "../../coordination/index.js";
import { type Announced, incarnationOf } from "../../protocol/index.js";
import { type Clock, fractionOf, type Logger } from "../../utils/index.js";
import type { Departure } from "./directoryWire.js";

/**
 * Backend servers heard by other directories that are remembered as well. Each directory tells them to each gateway after a
 * restart: a hundred words are 13 KB, a sixtieth of a second on a link of 7 Mbit/s, where a thousand from five directories
 * would take three quarters of one. With none, gateways that reached one directory first sent callers away for want of a server
 * that another one knew, and the servers of a lost disk stayed unknown until their next heartbeat.
 */
const mostOthers = 100;

/** What the hearing needs, and whom it tells. */
export type ServerHearingOptions = {
    /** Name of the directory. */
    readonly name: string;
    /** Milliseconds between two heartbeats of a backend server. */
    readonly heartbeat: number;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when what this directory says of backend servers has changed. */
    readonly onNews: () => void;
    /** Called when what is believed of backend servers here has changed, whoever said so. */
    readonly onBelief: () => void;
};

/** What one directory hears of backend servers: from themselves, from gateways, and from other directories. */
export class ServerHearing {
    /** What is believed of all of them. */
    readonly instances = InstanceTable.create();
    /** What was heard here. */
    readonly announcements: Announcements;

    private constructor(private readonly options: ServerHearingOptions) {
        this.announcements = Announcements.create(options.heartbeat);
    }

    static create(options: ServerHearingOptions): ServerHearing {
        return new ServerHearing(options);
    }

    /** Takes over what was believed of backend servers before a restart, until their heartbeats confirm or refute it. */
    recall(servers: readonly Announced[]): void {
        const { clock, logger } = this.options;
        servers.forEach(server => {
            this.announcements.recall(server, clock.monotonic());
            this.instances.take(server);
        });
        logger.info("backend servers are known from before the restart", { count: servers.length });
    }

    /**
     * What is worth remembering across a restart: the backend servers that are heard here, and some that others hear. Which
     * of these differs from directory to directory, so that together they remember as many as they can.
     */
    memorable(): readonly Announced[] {
        const own = this.announcements.memorable();
        const heardHere = new Set(own.map(({ id }) => id));
        const others = this.instances.all().filter(({ id, state }) => {
            return (state === "ready" || state === "draining") && !heardHere.has(id);
        });
        const rank = (server: Announced): number => fractionOf(server.id + this.options.name);
        return [...own, ...others.sort((one, other) => rank(one) - rank(other)).slice(0, mostOthers)];
    }

    /** A backend server sent a heartbeat. */
    announce(announced: Announced): void {
        const { clock, logger, onNews } = this.options;
        if (this.announcements.take(announced, clock.monotonic())) {
            const { id, service, address, state, stage, sequence } = announced;
            logger.info("a backend server announced itself", { id, service, address, state, stage, sequence });
            this.believe(announced);
            onNews();
        }
    }

    /** A backend server said that it leaves. */
    leave({ name, startedAt }: Departure): void {
        const newest = this.instances.newestOf(name);
        const believed = newest === undefined ? undefined : this.instances.get(newest.id);
        if (startedAt === undefined && newest?.tellsStart === true && believed !== undefined) {
            this.options.logger.warn("a backend server leaves that doesn't say when it started", { id: believed.id });
            this.announcements.drain(believed, this.options.clock.monotonic());
            this.sayAnew();
            return;
        }
        this.end(incarnationOf(name, startedAt), "a backend server leaves");
    }

    /** A gateway found another incarnation at its address. */
    noteEnded(id: string): void {
        if (!this.instances.hasEnded(id)) {
            this.end(id, "a gateway found another incarnation in the place of a backend server");
        }
    }

    /** Another directory says something of a backend server. */
    hearOther(announced: Announced): void {
        this.believe(announced);
        this.announcements.confirm(announced);
        if (this.announcements.refutes(announced)) {
            const { id, sequence } = announced;
            this.options.logger.info("a backend server that another directory misses is heard here", { id, sequence });
            this.sayAnew();
        }
    }

    /** Looks for backend servers that have fallen silent. */
    lookForSilence(): void {
        if (this.announcements.markSilent(this.options.clock.monotonic())) {
            this.sayAnew();
        }
    }

    /** Notes that an incarnation is gone for good, and passes that on. */
    private end(id: string, what: string): void {
        if (this.announcements.leave(id, this.options.clock.monotonic())) {
            this.options.logger.info(what, { id });
            this.sayAnew();
        }
    }

    private sayAnew(): void {
        this.announcements.since(0).forEach(announced => this.instances.take(announced));
        this.options.onBelief();
        this.options.onNews();
    }

    private believe(announced: Announced): void {
        if (this.instances.take(announced)) {
            this.options.onBelief();
        }
    }
}
