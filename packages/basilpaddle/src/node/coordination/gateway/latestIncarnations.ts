import { LRUCache } from "lru-cache";
import { type ServerAnnouncement, serverName } from "../../protocol/index.js";

/** Number of names to remember: several times the backend servers of a large deployment. */
const maxNames = 8_192;
/** Start time of an incarnation that announces none: it sorts before all that do. */
const noStartTime = -1;

type KnownIncarnation = { readonly id: string; readonly startedAt: number; };

/**
 * The newest incarnation of each backend server's name. An announcement of an earlier incarnation may arrive at any time,
 * delayed by a network partition or from a directory that doesn't know the newer one yet: it must neither restore the
 * earlier incarnation nor affect the newer one.
 */
export class LatestIncarnations {
    private readonly latestByName = new LRUCache<string, KnownIncarnation>({ max: maxNames });

    static create(): LatestIncarnations {
        return new LatestIncarnations();
    }

    /** Whether another incarnation of the same name is known that started no earlier. */
    isOutdated(server: ServerAnnouncement): boolean {
        const known = this.latestByName.get(serverName(server));
        return known !== undefined && known.id !== server.id && startTimeOf(server) <= known.startedAt;
    }

    /** Records the newest incarnation of a name. Returns the previous one, which has ended, or undefined if there is none. */
    recordLatest(server: ServerAnnouncement): string | undefined {
        const name = serverName(server);
        const known = this.latestByName.get(name);
        this.latestByName.set(name, { id: server.id, startedAt: startTimeOf(server) });
        return known === undefined || known.id === server.id ? undefined : known.id;
    }

    /** The newest incarnation of a name, and whether it announced a start time. */
    newestOf(name: string): { readonly id: string; readonly hasStartTime: boolean; } | undefined {
        const known = this.latestByName.get(name);
        return known === undefined ? undefined : { id: known.id, hasStartTime: known.startedAt !== noStartTime };
    }
}

function startTimeOf(server: ServerAnnouncement): number {
    return server.startedAt ?? noStartTime;
}
