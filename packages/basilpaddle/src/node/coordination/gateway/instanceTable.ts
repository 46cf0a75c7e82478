import { LRUCache } from "lru-cache";
import type { Announced } from "../../protocol/index.js";

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
    private readonly byService = new Map<string, readonly Announced[]>();

    static create(): InstanceTable {
        return new InstanceTable();
    }

    /** Takes an announcement in; tells whether it changed anything. */
    take(announced: Announced): boolean {
        if (this.ended.has(announced.id)) {
            return false;
        }
        const known = this.instances.get(announced.id);
        if (known !== undefined && !supersedes(announced, known)) {
            return false;
        }
        if (announced.state === "left") {
            return this.end(announced.id) || known === undefined;
        }
        this.instances.set(announced.id, announced);
        this.byService.clear();
        return known === undefined || known.state !== announced.state || known.stage !== announced.stage;
    }

    /** Notes that an incarnation has ended: it left, or another one answers at its address. */
    end(id: string): boolean {
        this.ended.set(id, true);
        this.byService.clear();
        return this.instances.delete(id);
    }

    /** The incarnation, unless it has ended. */
    get(id: string): Announced | undefined {
        return this.instances.get(id);
    }

    /** Whether the incarnation is known to have ended. */
    hasEnded(id: string): boolean {
        return this.ended.has(id);
    }

    /** All incarnations that haven't ended. */
    all(): readonly Announced[] {
        return [...this.instances.values()];
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
        const ofService = [...this.instances.values()].filter(instance => instance.service === service);
        const ready = ofService.filter(instance => instance.state === "ready");
        const usable = ready.length > 0 ? ready : ofService.filter(instance => instance.state === "silent");
        this.byService.set(service, usable);
        return usable;
    }
}

function supersedes(announced: Announced, known: Announced): boolean {
    return announced.sequence > known.sequence
        || announced.state === "left"
        || (announced.sequence === known.sequence && rank[announced.state] > rank[known.state]);
}
