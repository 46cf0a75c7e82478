import type { Incarnation } from "../../protocol/index.js";

/** Allocates ids for this daemon's attempts, `<daemon>/<incarnation>/<number>`, and tracks which are in progress. */
export class AttemptIds {
    private readonly current = new Set<string>();
    private readonly prefix: string;
    private last = 0;

    private constructor(owner: Incarnation) {
        this.prefix = `${owner.daemon}/${owner.incarnation}/`;
    }

    static create(owner: Incarnation): AttemptIds {
        return new AttemptIds(owner);
    }

    begin(): string {
        const id = `${this.prefix}${++this.last}`;
        this.current.add(id);
        return id;
    }

    end(id: string): void {
        this.current.delete(id);
    }

    /** Filters the ids to attempts that belong to this daemon and have ended. */
    ended(ids: readonly string[]): string[] {
        return ids.filter(id => id.startsWith(this.prefix) && !this.current.has(id));
    }
}
