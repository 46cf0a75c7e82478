import { LRUCache } from "lru-cache";
import type { Allowance, ChargeDecision } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { type BucketRules, TokenBucket } from "./tokenBucket.js";

/** Maximum number of organisations with an account; the least recently used one is forgotten, as if it had spent nothing. */
const maxAccounts = 32_768;
/** Seconds of the rate that the burst of a part is larger by: a part of the burst alone is less than one long prompt. */
const extraBurstSeconds = 1;

type Account = { readonly bucket: TokenBucket; allowance: Allowance; gateways: number; };

/** One gateway's equal part of the allowances, which it may spend without asking. */
export class EqualPart {
    private readonly accounts = new LRUCache<string, Account>({ max: maxAccounts });

    private constructor(private readonly gateways: () => number) {}

    /** `gateways`: upper bound of the number of gateways that share the allowances. */
    static create(gateways: () => number): EqualPart {
        return new EqualPart(gateways);
    }

    /** Charges a request, or refuses it; a request that costs more than the part is admitted when the part is whole. */
    admit(charge: AllowanceCharge, now: number): ChargeDecision {
        const bucket = this.bucket(charge, now);
        return bucket.take(charge.cost, now) ? { granted: true } : refusal(bucket, charge, now);
    }

    /**
     * Charges a request of an organisation that has used up its allowance, so that all parts together are never overdrawn. A
     * request that costs more than is left of the part uses it up, and is admitted with a probability of their ratio.
     */
    admitStrictly(charge: AllowanceCharge, now: number): ChargeDecision {
        const { cost, attempt } = charge;
        const bucket = this.bucket(charge, now);
        const left = Math.max(0, bucket.level(now));
        bucket.spend(Math.min(cost, left), now);
        return left >= cost || hashToFraction(attempt) * cost < left ? { granted: true } : refusal(bucket, charge, now);
    }

    /**
     * Records a request that was admitted while a leader answered, but never overdraws the part. When the leader fails, an
     * organisation that has just used up its allowance then has little left in these parts, and one whose callers come in at few
     * gateways doesn't begin with a debt there.
     */
    recordSpent(charge: AllowanceCharge, now: number): void {
        const bucket = this.bucket(charge, now);
        bucket.spend(Math.min(charge.cost, Math.max(0, bucket.level(now))), now);
    }

    /** Returns the cost of a request that didn't run. */
    giveBack(charge: AllowanceCharge, now: number): void {
        this.bucket(charge, now).spend(-charge.cost, now);
    }

    private bucket({ organisation, allowance }: AllowanceCharge, now: number): TokenBucket {
        const gateways = Math.max(1, this.gateways());
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            const rules = partOf(allowance, gateways);
            account = { bucket: TokenBucket.create(rules, rules.burst, now), allowance, gateways };
            this.accounts.set(organisation, account);
        }
        else if (account.allowance !== allowance || account.gateways !== gateways) {
            account.bucket.setRules(partOf(allowance, gateways), now);
            account.allowance = allowance;
            account.gateways = gateways;
        }
        return account.bucket;
    }
}

function refusal(bucket: TokenBucket, { cost, attempt }: AllowanceCharge, now: number): ChargeDecision {
    return { granted: false, comeBackIn: bucket.timeUntil(cost, now) * (1 + hashToFraction(attempt)) };
}

function partOf({ rate, burst }: Allowance, gateways: number): BucketRules {
    return { rate: rate / gateways, burst: (burst + rate * extraBurstSeconds) / gateways };
}
