import { LRUCache } from "lru-cache";
import type { Admission } from "../../protocol/index.js";
import { TokenBucket } from "../allowance/index.js";

/** Maximum number of servers with a bucket; one that is forgotten begins with an empty bucket. */
const maxServers = 4_096;
/** Seconds of the rate that a server may receive at once, and the minimum number of requests. */
const burstSeconds = 0.2;
const minBurst = 1;

type PacedServer = { bucket: TokenBucket; rate: number; };

/**
 * Spaces requests to servers by the rate that each takes. A server's bucket is empty at first: after any number of restarts
 * and elections, all that admit requests one after the other admit no more than one that admits them all the time.
 */
export class RequestPacer {
    private readonly servers = new LRUCache<string, PacedServer>({ max: maxServers });

    static create(): RequestPacer {
        return new RequestPacer();
    }

    /**
     * Admits a request if the server has room for it within the given milliseconds, and reserves that room. `rate`: requests
     * per second, more than 0.
     */
    admit(server: string, rate: number, within: number, now: number): Admission {
        const bucket = this.bucket(server, rate, now);
        const wait = bucket.timeUntil(1, now);
        if (wait > within) {
            return { admitted: false, comeBackIn: wait };
        }
        bucket.spend(1, now);
        return { admitted: true, wait };
    }

    /**
     * Admits a request with the probability of what is in the bucket, and empties it. A share of a rate may be one request
     * in minutes; together the shares still admit the whole rate, at whichever gateways the requests are. `chance`: a
     * uniformly distributed number from 0 to 1.
     */
    admitByChance(server: string, rate: number, chance: number, now: number): boolean {
        const bucket = this.bucket(server, rate, now);
        const level = Math.min(1, Math.max(0, bucket.level(now)));
        bucket.spend(level, now);
        return chance < level;
    }

    private bucket(server: string, rate: number, now: number): TokenBucket {
        const known = this.servers.get(server);
        if (known?.rate === rate) {
            return known.bucket;
        }
        const burst = Math.max(minBurst, rate * burstSeconds);
        const level = Math.min(burst, known?.bucket.level(now) ?? 0);
        const bucket = TokenBucket.create({ rate, burst }, level, now);
        this.servers.set(server, { bucket, rate });
        return bucket;
    }
}
