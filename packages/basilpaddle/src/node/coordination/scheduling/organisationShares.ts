import { LRUCache } from "lru-cache";
import type { Organisation } from "../../protocol/index.js";

/**
 * Maximum number of accounts; larger than the number of organisations with requests queued in one pool at the same time.
 */
const maxAccounts = 24_000;

/**
 * Tracks how far each organisation's queued requests are ahead of its share, by start-time fair queueing. Virtual time is the
 * virtual start time of the last request served; each request advances its organisation's account by its cost divided by the
 * share. An organisation that uses less than its share is never ahead; one that uses more is ahead by its queued requests.
 */
export class OrganisationShares {
    /** Virtual start time of each organisation's next request. */
    private readonly accounts = new LRUCache<string, number>({ max: maxAccounts });
    private virtualTime = 0;

    private constructor(private readonly maxLag: number) {}

    static create(maxLag: number): OrganisationShares {
        return new OrganisationShares(maxLag);
    }

    /** Time in milliseconds by which the organisation's next request would be ahead of its share, up to the limit. */
    lag(organisation: string): number {
        return Math.min(this.maxLag, this.nextStart(organisation) - this.virtualTime);
    }

    /**
     * Charges the organisation for a request that would occupy the whole pool for `poolMilliseconds`. Returns its virtual
     * start time.
     */
    charge(organisation: string, rules: Organisation, poolMilliseconds: number): number {
        const start = this.nextStart(organisation);
        this.accounts.set(organisation, start + poolMilliseconds / rules.share);
        return start;
    }

    /** Advances virtual time to the start of a served request. */
    recordServed(start: number): void {
        this.virtualTime = Math.max(this.virtualTime, start);
    }

    /** Clears all accounts. Called when the queue is empty, because no organisation is ahead of another then. */
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
