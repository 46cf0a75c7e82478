import { LRUCache } from "lru-cache";
import { type Announced, serverName } from "../../protocol/index.js";

/** Names whose newest incarnation is remembered: several times the backend servers of a large deployment. */
const nameLimit = 8_192;
/** Stands for the start of an incarnation that tells none: earlier than any that does. */
const untold = -1;

type Life = { readonly id: string; readonly startedAt: number; };

/**
 * The newest incarnation of each backend server's name. Word of an earlier one may come at any time, held up by a cut or
 * through a directory that has yet to hear of the newer: it must neither bring the earlier one back nor touch the newer.
 */
export class Lifetimes {
    private readonly newest = new LRUCache<string, Life>({ max: nameLimit });

    static create(): Lifetimes {
        return new Lifetimes();
    }

    /** Whether a later incarnation of the same name is known. */
    isOutdated(server: Announced): boolean {
        const known = this.newest.get(serverName(server));
        return known !== undefined && known.id !== server.id && startOf(server) <= known.startedAt;
    }

    /** Notes the incarnation as the newest of its name. Gives the one before, which has ended; undefined without one. */
    succeed(server: Announced): string | undefined {
        const name = serverName(server);
        const known = this.newest.get(name);
        this.newest.set(name, { id: server.id, startedAt: startOf(server) });
        return known === undefined || known.id === server.id ? undefined : known.id;
    }

    /** The newest incarnation of a name, and whether it tells its start. */
    newestOf(name: string): { readonly id: string; readonly tellsStart: boolean; } | undefined {
        const known = this.newest.get(name);
        return known === undefined ? undefined : { id: known.id, tellsStart: known.startedAt !== untold };
    }
}

function startOf(server: Announced): number {
    return server.startedAt ?? untold;
}
