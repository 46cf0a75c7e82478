import { LRUCache } from "lru-cache";
import type { Organisation } from "../../protocol/index.js";

/** Upper bound of the accounts kept; more organisations than have requests queued at one pool at once. */
const accountLimit = 24_000;

/**
 * How far each organisation's queued requests are ahead of its share, by start-time fair queueing: virtual time is the
 * start of the last request served, and each request advances its organisation's account by its cost divided by the share.
 * An organisation that uses less than its share is never ahead; one that uses more is ahead by its queued requests.
 */
export class OrganisationShares {
    /** Virtual start time of each organisation's next request. */
    private readonly accounts = new LRUCache<string, number>({ max: accountLimit });
    private virtualTime = 0;

    private constructor(private readonly mostLag: number) {}

    static create(mostLag: number): OrganisationShares {
        return new OrganisationShares(mostLag);
    }

    /** Time in milliseconds by which the organisation's next request would be ahead of its share, up to the limit. */
    lag(organisation: string): number {
        return Math.min(this.mostLag, this.nextStart(organisation) - this.virtualTime);
    }

    /** Charges a request that would occupy the whole pool for this many milliseconds. Returns its virtual start time. */
    charge(organisation: string, rules: Organisation, poolMilliseconds: number): number {
        const start = this.nextStart(organisation);
        this.accounts.set(organisation, start + poolMilliseconds / rules.share);
        return start;
    }

    /** Advances virtual time to the start of a served request. */
    recordServed(start: number): void {
        this.virtualTime = Math.max(this.virtualTime, start);
    }

    /** Clears all accounts. Used when the queue is empty, as no organisation is ahead of another then. */
    reset(): void {
        this.accounts.clear();
        this.virtualTime = 0;
    }

    /** Number of organisations that have an account. */
    get size(): number {
        return this.accounts.size;
    }

    private nextStart(organisation: string): number {
        return Math.max(this.virtualTime, this.accounts.get(organisation) ?? 0);
    }
}
