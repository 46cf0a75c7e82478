import { LRUCache } from "lru-cache";
import type { Announced } from "../../protocol/index.js";
import type { Metrics } from "../../utils/index.js";
import { Lifetimes } from "./lifetimes.js";

/** Incarnations that are known to have ended; a late heartbeat of one must not bring it back. */
const endedLimit = 8_192;
/** Ranks of states that arrive under one sequence number: the later in life wins. */
const rank: Record<Announced["state"], number> = { ready: 0, silent: 1, draining: 2, left: 3 };

/**
 * What a gateway believes of all backend servers. Announcements come from several directories, late and out of order:
 * of one incarnation the highest sequence number counts, and one that has ended stays so.
 */
export class InstanceTable {
    private readonly instances = new Map<string, Announced>();
    private readonly ended = new LRUCache<string, true>({ max: endedLimit });
    private readonly lifetimes = Lifetimes.create();
    private readonly byService = new Map<string, readonly Announced[]>();
    /** The incarnation that was heard of last at each address. */
    private readonly newestAt = new Map<string, string>();

    static create(): InstanceTable {
        return new InstanceTable();
    }

    /** Takes an announcement in; tells whether it changed anything. */
    take(announced: Announced): boolean {
        if (this.ended.has(announced.id) || this.lifetimes.isOutdated(announced)) {
            return false;
        }
        const before = this.lifetimes.succeed(announced);
        if (before !== undefined) {
            this.end(before);
        }
        const known = this.instances.get(announced.id);
        if (known !== undefined && !supersedes(announced, known)) {
            return false;
        }
        if (announced.state === "left") {
            return this.end(announced.id) || known === undefined;
        }
        this.instances.set(announced.id, announced);
        if (known?.address !== announced.address) {
            this.newestAt.set(announced.address, announced.id);
        }
        this.byService.clear();
        return known === undefined || known.state !== announced.state || known.stage !== announced.stage;
    }

    /** Notes that an incarnation has ended: it left, or another one answers at its address. */
    end(id: string): boolean {
        const { address } = this.instances.get(id) ?? {};
        if (address !== undefined && this.newestAt.get(address) === id) {
            this.newestAt.delete(address);
        }
        this.ended.set(id, true);
        this.byService.clear();
        return this.instances.delete(id);
    }

    /** The incarnation, unless it has ended. */
    get(id: string): Announced | undefined {
        return this.instances.get(id);
    }

    /** The newest incarnation of a backend server's name, and whether it tells its start. */
    newestOf(name: string): ReturnType<Lifetimes["newestOf"]> {
        return this.lifetimes.newestOf(name);
    }

    /** Whether the incarnation is known to have ended. */
    hasEnded(id: string): boolean {
        return this.ended.has(id);
    }

    /** Whether word has come that the incarnation is gone: it ended, fell silent, or another one took its address. */
    isGone(id: string): boolean {
        const instance = this.instances.get(id);
        return instance === undefined || instance.state === "silent" || this.isSuperseded(instance);
    }

    /** All incarnations that haven't ended; one whose address another one has taken counts as silent. */
    all(): readonly Announced[] {
        return [...this.instances.values()].map(instance => {
            return this.isSuperseded(instance) ? { ...instance, state: "silent" } : instance;
        });
    }

    /** Sets a gauge for each state: how many backend servers are believed to be in it. */
    measure(metrics: Metrics): void {
        const states = this.all().map(({ state }) => state);
        for (const state of ["ready", "draining", "silent"] as const) {
            metrics.gauge("basilpaddle_instances", states.filter(other => other === state).length, { state });
        }
    }

    /**
     * Backend servers of a service that may get new work. Silent ones only where no other is left: they are likely
     * gone, but a directory that was cut off from them would say the same.
     */
    usable(service: string): readonly Announced[] {
        const known = this.byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const ofService = this.all().filter(instance => instance.service === service);
        const ready = ofService.filter(instance => instance.state === "ready");
        const usable = ready.length > 0 ? ready : ofService.filter(instance => instance.state === "silent");
        this.byService.set(service, usable);
        return usable;
    }

    /**
     * Whether another incarnation was heard of later at the same address. A backend server that crashed and is back
     * says so at once, and the one before seems ready until it has missed its heartbeats: meanwhile what is sent there
     * is turned away, and each time costs a repeat. It isn't taken for ended: a heartbeat that was held up on its way
     * may announce one that has crashed before, and then the one that is really there must get work again once that
     * one falls silent.
     */
    private isSuperseded({ id, address, state }: Announced): boolean {
        const newest = this.instances.get(this.newestAt.get(address) ?? id);
        return newest !== undefined && newest.id !== id && newest.state !== "silent" && state !== "silent";
    }
}

function supersedes(announced: Announced, known: Announced): boolean {
    return announced.sequence > known.sequence
        || announced.state === "left"
        || (announced.sequence === known.sequence && rank[announced.state] > rank[known.state]);
}
