import { LRUCache } from "lru-cache";
import type { Allowance, ChargeDecision } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { type BucketRules, TokenBucket } from "./tokenBucket.js";

/** Maximum number of organisations with an account; the least recently used one is forgotten, as if it had spent nothing. */
const maxAccounts = 32_768;
/** Seconds of the rate by which the burst of a share is larger: a share of the burst alone is less than one long prompt. */
const extraBurstSeconds = 1;

type Account = { readonly bucket: TokenBucket; allowance: Allowance; gateways: number; };

/** One gateway's equal share of the allowances, which it may spend without asking the leader. */
export class EqualShare {
    private readonly accounts = new LRUCache<string, Account>({ max: maxAccounts });

    private constructor(private readonly gateways: () => number, private readonly startedAt: number) {}

    /**
     * `gateways`: upper bound of the number of gateways that share the allowances. `startedAt`: when this gateway's process
     * started. Its share is empty then: the process before it may have spent the whole share just before it ended.
     */
    static create(gateways: () => number, startedAt: number): EqualShare {
        return new EqualShare(gateways, startedAt);
    }

    /** Charges a request, or refuses it; one that costs more than the share is admitted when the share is full. */
    admit(charge: AllowanceCharge, now: number): ChargeDecision {
        const bucket = this.bucket(charge, now);
        return bucket.take(charge.cost, now) ? { granted: true } : refusal(bucket, charge, now);
    }

    /**
     * Charges a request of an organisation that has used up its allowance, so that all shares together are never
     * overdrawn. A request that costs more than is left of the share uses it up, and is admitted with the probability of their
     * ratio.
     */
    admitStrictly(charge: AllowanceCharge, now: number): ChargeDecision {
        const { cost, attempt } = charge;
        const bucket = this.bucket(charge, now);
        const left = Math.max(0, bucket.level(now));
        bucket.spend(Math.min(cost, left), now);
        return left >= cost || hashToFraction(attempt) * cost < left ? { granted: true } : refusal(bucket, charge, now);
    }

    /**
     * Records a request that was admitted while a leader answered, but never overdraws the share. When the leader fails, an
     * organisation that has just used up its allowance then has little left in these shares, and one whose callers use few
     * gateways isn't in debt there.
     */
    recordSpent(charge: AllowanceCharge, now: number): void {
        const bucket = this.bucket(charge, now);
        bucket.spend(Math.min(charge.cost, Math.max(0, bucket.level(now))), now);
    }

    /** Returns the cost of a request that didn't run. */
    refund(charge: AllowanceCharge, now: number): void {
        this.bucket(charge, now).spend(-charge.cost, now);
    }

    private bucket({ organisation, allowance }: AllowanceCharge, now: number): TokenBucket {
        const gateways = Math.max(1, this.gateways());
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            const rules = shareOf(allowance, gateways);
            account = { bucket: TokenBucket.create(rules, 0, this.startedAt), allowance, gateways };
            this.accounts.set(organisation, account);
        }
        else if (account.allowance !== allowance || account.gateways !== gateways) {
            account.bucket.setRules(shareOf(allowance, gateways), now);
            account.allowance = allowance;
            account.gateways = gateways;
        }
        return account.bucket;
    }
}

function refusal(bucket: TokenBucket, { cost, attempt }: AllowanceCharge, now: number): ChargeDecision {
    return { granted: false, comeBackIn: bucket.timeUntil(cost, now) * (1 + hashToFraction(attempt)) };
}

function shareOf({ rate, burst }: Allowance, gateways: number): BucketRules {
    return { rate: rate / gateways, burst: (burst + rate * extraBurstSeconds) / gateways };
}
