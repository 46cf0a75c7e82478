import type { Incarnation } from "../../protocol/index.js";

/** Allocates ids for this daemon's attempts, `<daemon>/<incarnation>/<number>`, and tracks which are in progress. */
export class AttemptIds {
    private readonly active = new Set<string>();
    private readonly prefix: string;
    private lastNumber = 0;

    private constructor(owner: Incarnation) {
        this.prefix = `${owner.daemon}/${owner.incarnation}/`;
    }

    static create(owner: Incarnation): AttemptIds {
        return new AttemptIds(owner);
    }

    begin(): string {
        const id = `${this.prefix}${++this.lastNumber}`;
        this.active.add(id);
        return id;
    }

    end(id: string): void {
        this.active.delete(id);
    }

    /** Those of the given ids that belong to attempts of this daemon that have ended. */
    ended(ids: readonly string[]): string[] {
        return ids.filter(id => id.startsWith(this.prefix) && !this.active.has(id));
    }
}
