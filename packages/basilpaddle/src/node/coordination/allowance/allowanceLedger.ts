import { LRUCache } from "lru-cache";
import type { Allowance, ChargeDecision, RankUnits } from "../../protocol/index.js";
import { askedBurstFraction, nearLimitFraction } from "./nearLimit.js";
import { defaultFloor, PriorityReserve } from "./priorityReserve.js";
import { RetrySpread } from "./retrySpread.js";
import { TokenBucket } from "./tokenBucket.js";

/** Maximum number of organisations with an account; the least recently used one is forgotten, as if it had spent nothing. */
const maxAccounts = 32_768;
/** An organisation stays near its limit until it has been above this fraction of its burst for a while. */
const farFromLimitFraction = 0.75;
const nearLimitHoldMilliseconds = 5_000;
/** Least fraction of a rate that is left while gateways' shares of it are withheld, so that times to come back stay finite. */
const minRateFraction = 0.02;
/** How long after a refusal an allowance counts as used up. */
const usedUpMilliseconds = 6_000;
const millisecondsInSecond = 1_000;

/** What one organisation has left, and when its refused callers were told to retry. */
type Account = {
    readonly bucket: TokenBucket;
    readonly reserve: PriorityReserve;
    allowance: Allowance;
    /** Retries after the bucket was empty, and by rank those after the rest was reserved for higher priorities. */
    readonly retries: RetrySpread;
    readonly reservedRetries: Map<number, RetrySpread>;
    /** Until when the organisation counts as near its limit. */
    nearUntil: number;
    lastRefusalAt: number;
};

/** Organisations near their limit, for whose requests gateways have to ask, and those of them that have used it up. */
export type LimitedOrganisations = { readonly near: readonly string[]; readonly usedUp: readonly string[]; };

/** Units that an organisation has left, negative while it is overdrawn, and what flows in each second up to the burst. */
export type AllowanceState = { readonly level: number; readonly rate: number; readonly burst: number; };

/** The allowances of all organisations, as the leader keeps them for all gateways. */
export class AllowanceLedger {
    private readonly accounts = new LRUCache<string, Account>({ max: maxAccounts });
    /** Organisations that are near their limit, or were when last looked at. */
    private readonly near = new Set<string>();
    private newlyLimited = false;

    /** Fraction of each rate that flows in. */
    private rateFraction = 1;

    private constructor(
        private readonly initialFraction: number,
        private readonly floor: number,
        private readonly startedAt: number | undefined,
    ) {}

    /**
     * `initialFraction`: the fraction of its burst that each organisation starts with. `floor`: the fraction of its rate that its
     * lower priorities share in any case. `startedAt`: since when units flow in; by default since an organisation's first request.
     */
    static create(initialFraction: number, floor = defaultFloor, startedAt?: number): AllowanceLedger {
        return new AllowanceLedger(initialFraction, floor, startedAt);
    }

    /**
     * Withholds the shares of absent gateways, which these spend on their own. `absent`: the fraction of all gateways. `newlyAbsent`:
     * the fraction that has been silent for `silentFor` milliseconds without its shares being withheld.
     */
    withholdShares(absent: number, newlyAbsent: number, silentFor: number, now: number): void {
        const rateFraction = Math.max(minRateFraction, 1 - absent);
        if (newlyAbsent > 0 || rateFraction !== this.rateFraction) {
            this.rateFraction = rateFraction;
            this.accounts.forEach((account, organisation) => {
                const { rate, burst } = account.allowance;
                this.applyRules(account, account.allowance, now);
                const held = this.isNear(account, now) ? 0 : burst * nearLimitFraction;
                account.bucket.spend(newlyAbsent * (held + rate * silentFor / millisecondsInSecond), now);
                this.updateNear(organisation, account, now);
            });
        }
    }

    /**
     * Charges a request, or refuses it with the time at which it is to come back. It is admitted while any unit is left, so
     * that an organisation's long requests aren't refused more often than its short ones. One with a rank leaves what is
     * reserved for higher priorities.
     */
    charge(organisation: string, allowance: Allowance, cost: number, now: number, rank?: number): ChargeDecision {
        const account = this.account(organisation, allowance, now);
        const { bucket, reserve } = account;
        const outcome = reserve.decide(rank, cost, bucket, now, () => bucket.takeIfAnyLeft(cost, now));
        // Before larger requests gateways ask in any case, and needn't be notified.
        if (cost < allowance.burst * askedBurstFraction) {
            this.updateNear(organisation, account, now);
        }
        if (outcome === "granted") {
            return { granted: true };
        }
        // Also if units are left: without a leader, the shares of an organisation in excess must not be overdrawn.
        account.lastRefusalAt = now;
        return rank !== undefined && outcome === "reserved"
            ? { granted: false, comeBackIn: this.nextReservedRetry(account, rank, cost, now), reserved: true }
            : { granted: false, comeBackIn: this.nextRetry(account, cost, now) };
    }

    /**
     * Records units that a gateway has spent without asking; a negative number is a refund. `byRank`: the units of each
     * priority, if known.
     */
    recordSpent(
        organisation: string,
        allowance: Allowance,
        units: number,
        now: number,
        byRank: readonly RankUnits[] = [],
    ): void {
        const account = this.account(organisation, allowance, now);
        account.bucket.spend(units, now);
        byRank.forEach(spent => account.reserve.recordUnits(spent.rank, spent.units, account.bucket, now));
        this.updateNear(organisation, account, now);
    }

    /** Whether an organisation has come near its limit since `limited` was called. */
    hasNewlyLimited(): boolean {
        return this.newlyLimited;
    }

    /** Organisations that are near their limit now. */
    limited(now: number): LimitedOrganisations {
        this.newlyLimited = false;
        const usedUp: string[] = [];
        for (const organisation of this.near) {
            const account = this.accounts.get(organisation);
            if (account === undefined || !this.isNear(account, now)) {
                this.near.delete(organisation);
            }
            else if (now - account.lastRefusalAt < usedUpMilliseconds) {
                usedUp.push(organisation);
            }
        }
        return { near: [...this.near], usedUp };
    }

    /** What an organisation has left; undefined without an account. */
    state(organisation: string, now: number): AllowanceState | undefined {
        const bucket = this.accounts.peek(organisation)?.bucket;
        return bucket && { level: Math.round(bucket.level(now)), rate: bucket.rate, burst: bucket.burst };
    }

    /** Number of organisations with an account. */
    get size(): number {
        return this.accounts.size;
    }

    private account(organisation: string, allowance: Allowance, now: number): Account {
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            const rules = { rate: allowance.rate * this.rateFraction, burst: allowance.burst };
            const bucket = TokenBucket.create(rules, allowance.burst * this.initialFraction, this.startedAt ?? now);
            account = {
                bucket,
                reserve: PriorityReserve.create(this.floor),
                allowance,
                retries: RetrySpread.create(),
                reservedRetries: new Map(),
                nearUntil: 0,
                lastRefusalAt: Number.NEGATIVE_INFINITY,
            };
            this.accounts.set(organisation, account);
        }
        else if (account.allowance !== allowance) {
            this.applyRules(account, allowance, now);
            account.allowance = allowance;
            account.retries.reset();
            account.reservedRetries.clear();
        }
        return account;
    }

    private applyRules({ bucket }: Account, { rate, burst }: Allowance, now: number): void {
        bucket.setRules({ rate: rate * this.rateFraction, burst }, now);
    }

    /** Milliseconds until a refused caller may retry: callers are spread one after the other at the rate of the allowance. */
    private nextRetry(account: Account, cost: number, now: number): number {
        const earliest = now + account.bucket.timeUntil(0, now);
        const step = cost / account.allowance.rate * millisecondsInSecond;
        return account.retries.next(earliest, step, now);
    }

    /** Milliseconds until a request refused for higher priorities may retry: at the rate that these leave to its own. */
    private nextReservedRetry(account: Account, rank: number, cost: number, now: number): number {
        const { bucket, reserve, reservedRetries } = account;
        const retries = reservedRetries.get(rank) ?? RetrySpread.create();
        reservedRetries.set(rank, retries);
        const earliest = now + Math.max(bucket.timeUntil(0, now), reserve.timeUntilOpen(rank, bucket, now));
        const step = cost / reserve.rateFor(rank, bucket, now) * millisecondsInSecond;
        return retries.next(earliest, step, now);
    }

    private updateNear(organisation: string, account: Account, now: number): void {
        if (!this.near.has(organisation) && this.isNear(account, now)) {
            this.near.add(organisation);
            this.newlyLimited = true;
        }
    }

    private isNear(account: Account, now: number): boolean {
        const fraction = account.nearUntil > now ? farFromLimitFraction : nearLimitFraction;
        if (account.bucket.level(now) < account.allowance.burst * fraction) {
            account.nearUntil = now + nearLimitHoldMilliseconds;
        }
        return account.nearUntil > now;
    }
}
