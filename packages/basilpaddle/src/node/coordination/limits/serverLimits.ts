import { LRUCache } from "lru-cache";
import type { LimitObservation } from "../../protocol/index.js";

/** Maximum number of servers whose limits are remembered; the least recently used one is forgotten. */
const maxServers = 4_096;
/** A limit that differs by at most this fraction from the known one isn't a change that others have to learn of. */
const minorChangeFraction = 0.1;
/**
 * An answer without a limit doesn't end one that was named less than this before: answers are received in another order than
 * they were made.
 */
const reorderingMilliseconds = 200;
/** How long an ended limit is announced. */
const endedMilliseconds = 10_000;

/** Lowest limit that is applied, in requests per second: without any request nobody learns that a server takes some again. */
const minLimit = 0.25;

type Observation = { readonly limit: number | undefined; readonly at: number; };

/** The limits that backend servers name in their answers. Of several observations of a server the latest answer applies. */
export class ServerLimits {
    private readonly observations = new LRUCache<string, Observation>({ max: maxServers });
    private changes = 0;

    static create(): ServerLimits {
        return new ServerLimits();
    }

    /**
     * Records what an answer named, `undefined` for no limit; returns whether that is a change. `at`: when the answer was
     * received.
     */
    observe(server: string, limit: number | undefined, at: number): boolean {
        const known = this.observations.get(server);
        if (known === undefined && limit === undefined) {
            return false;
        }
        const earliest = known === undefined ? at : known.at + (limit === undefined ? reorderingMilliseconds : 0);
        if (at < earliest) {
            return false;
        }
        const isChange = !areSimilar(known?.limit, limit);
        this.observations.set(server, { limit, at });
        this.changes += isChange ? 1 : 0;
        return isChange;
    }

    /** Requests per second that all gateways together may send to the server; undefined if it names no limit. */
    limitOf(server: string): number | undefined {
        const limit = this.observations.get(server)?.limit;
        return limit === undefined ? undefined : Math.max(minLimit, limit);
    }

    /** What is known of a server that names a limit, with its age. */
    observation(server: string, now: number): LimitObservation | undefined {
        const known = this.observations.get(server);
        return known?.limit === undefined
            ? undefined
            : { server, limit: known.limit, age: Math.max(0, now - known.at) };
    }

    /** The current limits, and those that ended a moment ago. */
    recent(now: number): LimitObservation[] {
        return [...this.observations.entries()].flatMap(([server, { limit, at }]) => {
            const age = Math.max(0, now - at);
            if (limit === undefined) {
                return age < endedMilliseconds ? [{ server, age }] : [];
            }
            return [{ server, limit, age }];
        });
    }

    /** Number of the last change. */
    latestChange(): number {
        return this.changes;
    }

    /** Number of servers that name a limit. */
    count(): number {
        return [...this.observations.values()].filter(({ limit }) => limit !== undefined).length;
    }
}

function areSimilar(one: number | undefined, other: number | undefined): boolean {
    return one === undefined || other === undefined
        ? one === other
        : Math.abs(one - other) <= minorChangeFraction * Math.max(one, other);
}
