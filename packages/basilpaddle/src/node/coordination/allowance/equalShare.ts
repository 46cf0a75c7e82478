import { LRUCache } from "lru-cache";
import type { Allowance, ChargeDecision } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { defaultFloor, PriorityReserve } from "./priorityReserve.js";
import { type BucketRules, TokenBucket } from "./tokenBucket.js";

/** Maximum number of organisations with an account; the least recently used one is forgotten, as if it had spent nothing. */
const maxAccounts = 32_768;
/** Seconds of the rate by which the burst of a share is larger: a share of the burst alone is less than one long prompt. */
const extraBurstSeconds = 1;

type Account = {
    readonly bucket: TokenBucket;
    readonly reserve: PriorityReserve;
    allowance: Allowance;
    gateways: number;
};

/** One gateway's equal share of the allowances, which it may spend without asking the leader. */
export class EqualShare {
    private readonly accounts = new LRUCache<string, Account>({ max: maxAccounts });

    private constructor(
        private readonly gateways: () => number,
        private readonly startedAt: number,
        private readonly floor: number,
    ) {}

    /**
     * `gateways`: upper bound of the number of gateways that share the allowances. `startedAt`: when this gateway's process
     * started. Its share is empty then: the process before it may have spent the whole share just before it ended. `floor`: the
     * fraction of a share's rate that an organisation's lower priorities have in any case.
     */
    static create(gateways: () => number, startedAt: number, floor = defaultFloor): EqualShare {
        return new EqualShare(gateways, startedAt, floor);
    }

    /** Charges a request, or refuses it; one that costs more than the share is admitted when the share is full. */
    admit(charge: AllowanceCharge, now: number): ChargeDecision {
        const account = this.account(charge, now);
        return decide(account, charge, now, () => account.bucket.take(charge.cost, now));
    }

    /**
     * Charges a request of an organisation that has used up its allowance, so that all shares together are never
     * overdrawn. A request that costs more than is left of the share uses it up, and is admitted with the probability of their
     * ratio.
     */
    admitStrictly(charge: AllowanceCharge, now: number): ChargeDecision {
        const { cost, attempt } = charge;
        const account = this.account(charge, now);
        return decide(account, charge, now, () => {
            const left = Math.max(0, account.bucket.level(now));
            account.bucket.spend(Math.min(cost, left), now);
            return left >= cost || hashToFraction(attempt) * cost < left;
        });
    }

    /**
     * Records a request that was admitted while a leader answered, but never overdraws the share. When the leader fails, an
     * organisation that has just used up its allowance then has little left in these shares, and one whose callers use few
     * gateways isn't in debt there.
     */
    recordSpent(charge: AllowanceCharge, now: number): void {
        const { bucket, reserve } = this.account(charge, now);
        bucket.spend(Math.min(charge.cost, Math.max(0, bucket.level(now))), now);
        if (charge.rank !== undefined) {
            reserve.recordRequest(charge.rank, charge.cost, bucket, now);
        }
    }

    /** Returns the cost of a request that didn't run. */
    refund(charge: AllowanceCharge, now: number): void {
        const { bucket, reserve } = this.account(charge, now);
        bucket.spend(-charge.cost, now);
        if (charge.rank !== undefined) {
            reserve.recordUnits(charge.rank, -charge.cost, bucket, now);
        }
    }

    private account({ organisation, allowance }: AllowanceCharge, now: number): Account {
        const gateways = Math.max(1, this.gateways());
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            const rules = shareOf(allowance, gateways);
            const bucket = TokenBucket.create(rules, 0, this.startedAt);
            account = { bucket, reserve: PriorityReserve.create(this.floor), allowance, gateways };
            this.accounts.set(organisation, account);
        }
        else if (account.allowance !== allowance || account.gateways !== gateways) {
            account.bucket.setRules(shareOf(allowance, gateways), now);
            account.allowance = allowance;
            account.gateways = gateways;
        }
        return account;
    }
}

function decide(
    { bucket, reserve }: Account,
    charge: AllowanceCharge,
    now: number,
    take: () => boolean,
): ChargeDecision {
    const { rank, cost, attempt } = charge;
    const outcome = reserve.decide(rank, cost, bucket, now, take);
    if (outcome === "granted") {
        return { granted: true };
    }
    const spread = 1 + hashToFraction(attempt);
    if (rank === undefined || outcome === "empty") {
        return { granted: false, comeBackIn: bucket.timeUntil(cost, now) * spread };
    }
    const earliest = Math.max(bucket.timeUntil(cost, now), reserve.timeUntilOpen(rank, bucket, now));
    return { granted: false, comeBackIn: earliest * spread, reserved: true };
}

function shareOf({ rate, burst }: Allowance, gateways: number): BucketRules {
    return { rate: rate / gateways, burst: (burst + rate * extraBurstSeconds) / gateways };
}
