import { LRUCache } from "lru-cache";
import type { ServerAnnouncement } from "../../protocol/index.js";
import type { Metrics } from "../../utils/index.js";
import { isLeaving, joinAnnouncements } from "./announcementOrder.js";
import { DepartureListeners } from "./departureListeners.js";
import { LatestIncarnations } from "./latestIncarnations.js";

/** Number of ended incarnations to remember, so that a delayed heartbeat doesn't restore one of them. */
const maxEndedIncarnations = 8_192;
/**
 * The tracked state of all backend servers at a gateway. Announcements arrive from several directories, delayed and out of
 * order: for each incarnation they are joined, and one that leaves or has ended is never restored.
 */
export class InstanceTable {
    private readonly instances = new Map<string, ServerAnnouncement>();
    private readonly ended = new LRUCache<string, true>({ max: maxEndedIncarnations });
    private readonly incarnations = LatestIncarnations.create();
    private readonly byService = new Map<string, readonly ServerAnnouncement[]>();
    /** The incarnation that was announced last at each address. */
    private readonly latestAtAddress = new Map<string, string>();
    private readonly departureListeners = DepartureListeners.create();
    /** Services whose last known backend server has left. */
    private readonly abandonedServices = new Set<string>();
    /** Number of announcements that changed nothing, since they were older than what was known. */
    private outdatedCount = 0;

    static create(): InstanceTable {
        return new InstanceTable();
    }

    /** Applies an announcement; returns whether a backend server was added or removed, or its state or stage changed. */
    apply(announced: ServerAnnouncement): boolean {
        if (this.ended.has(announced.id) || this.incarnations.isOutdated(announced)) {
            this.outdatedCount += 1;
            return false;
        }
        const previousId = this.incarnations.recordLatest(announced);
        if (previousId !== undefined) {
            this.end(previousId);
        }
        const known = this.instances.get(announced.id);
        const joined = joinAnnouncements(announced, known ?? announced);
        if (joined.state === "left") {
            return this.endByDeparture(joined) || known === undefined;
        }
        if (known !== undefined && isSame(known, joined)) {
            this.outdatedCount += 1;
            return false;
        }
        this.instances.set(announced.id, joined);
        this.abandonedServices.delete(joined.service);
        if (known?.address !== joined.address) {
            this.latestAtAddress.set(joined.address, joined.id);
        }
        this.byService.clear();
        if (isLeaving(joined)) {
            this.departureListeners.notify(joined.id);
        }
        return known === undefined || known.state !== joined.state || known.stage !== joined.stage;
    }

    /** Removes an incarnation that has ended: it left, or another incarnation answers at its address. */
    end(id: string): boolean {
        const { address } = this.instances.get(id) ?? {};
        if (address !== undefined && this.latestAtAddress.get(address) === id) {
            this.latestAtAddress.delete(address);
        }
        this.ended.set(id, true);
        this.byService.clear();
        const hasEnded = this.instances.delete(id);
        this.departureListeners.notify(id);
        return hasEnded;
    }

    /** The announcement of an incarnation; undefined if it is unknown or has ended. */
    get(id: string): ServerAnnouncement | undefined {
        return this.instances.get(id);
    }

    /** The newest incarnation of a backend server's name, and whether it announced a start time. */
    newestOf(name: string): ReturnType<LatestIncarnations["newestOf"]> {
        return this.incarnations.newestOf(name);
    }

    /** Whether the incarnation is known to have ended. */
    hasEnded(id: string): boolean {
        return this.ended.has(id);
    }

    /** Whether the incarnation is considered lost: it is unknown, ended or silent, or a later incarnation has its address. */
    isLost(id: string): boolean {
        const instance = this.instances.get(id);
        return instance === undefined || instance.state === "silent" || this.isSuperseded(instance);
    }

    /** Whether the incarnation may be sent new work: it hasn't ended, and isn't known to leave. */
    acceptsWork(id: string): boolean {
        const instance = this.instances.get(id);
        return instance !== undefined && !isLeaving(instance);
    }

    /** Calls the listener once the incarnation accepts no work any more; the returned function removes it. */
    onDeparture(id: string, listener: () => void): () => void {
        return this.departureListeners.add(id, listener);
    }

    /** Whether no backend server of the service is left because those that were known have said that they leave. */
    isAbandoned(service: string): boolean {
        const instances = [...this.instances.values()].filter(instance => instance.service === service);
        return instances.length === 0 ? this.abandonedServices.has(service) : instances.every(isLeaving);
    }

    /**
     * All incarnations that haven't ended. One whose address a later incarnation has is returned as silent, and one that leaves
     * as draining, whether its heartbeats go on or not.
     */
    all(): readonly ServerAnnouncement[] {
        return [...this.instances.values()].map(instance => {
            if (isLeaving(instance)) {
                return { ...instance, state: "draining" };
            }
            return this.isSuperseded(instance) ? { ...instance, state: "silent" } : instance;
        });
    }

    /** Sets a gauge for each state: the number of backend servers tracked in it. */
    measure(metrics: Metrics): void {
        const states = this.all().map(({ state }) => state);
        for (const state of ["ready", "draining", "silent"] as const) {
            metrics.gauge("basilpaddle_instances", states.filter(other => other === state).length, { state });
        }
        metrics.gauge("basilpaddle_outdated_announcements", this.outdatedCount);
    }

    /**
     * Backend servers of a service that may receive new requests. Silent ones are returned only if none is ready: they have
     * probably terminated, but are reported as silent as well if a network partition separates their directory from them. One
     * that leaves isn't among them.
     */
    usable(service: string): readonly ServerAnnouncement[] {
        const known = this.byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const serversOfService = this.all().filter(instance => instance.service === service);
        const ready = serversOfService.filter(instance => instance.state === "ready");
        const usable = ready.length > 0 ? ready : serversOfService.filter(instance => instance.state === "silent");
        this.byService.set(service, usable);
        return usable;
    }

    private endByDeparture({ id, service }: ServerAnnouncement): boolean {
        const hasEnded = this.end(id);
        if (hasEnded && ![...this.instances.values()].some(other => other.service === service)) {
            this.abandonedServices.add(service);
        }
        return hasEnded;
    }

    /**
     * Whether another incarnation was announced later at the same address. A backend server that restarts after a crash
     * announces itself at once, while its previous incarnation appears ready until it has missed its heartbeats: requests
     * sent to that one are rejected, and each rejection costs a retry. The earlier incarnation doesn't count as ended: a
     * delayed heartbeat may announce one that has crashed before, and then the incarnation that is really running must
     * receive requests again once the other is silent.
     */
    private isSuperseded({ id, address, state }: ServerAnnouncement): boolean {
        const newest = this.instances.get(this.latestAtAddress.get(address) ?? id);
        return newest !== undefined && newest.id !== id && newest.state !== "silent" && state !== "silent";
    }
}

function isSame(one: ServerAnnouncement, other: ServerAnnouncement): boolean {
    return one.sequence === other.sequence && one.state === other.state && one.departure === other.departure
        && one.address === other.address;
}
