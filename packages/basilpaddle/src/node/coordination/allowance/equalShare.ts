import { LRUCache } from "lru-cache";
import type { Allowance, ChargeDecision } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { nearLimitFraction } from "./nearLimit.js";
import { defaultFloor, PriorityReserve } from "./priorityReserve.js";
import { type BucketRules, TokenBucket } from "./tokenBucket.js";

/** Maximum number of organisations with an account; the least recently used one is forgotten, as if it had spent nothing. */
const maxAccounts = 32_768;
/** Seconds of the rate by which the burst of a share is larger: a share of the burst alone is less than one long prompt. */
const extraBurstSeconds = 1;
const millisecondsInSecond = 1_000;

type Account = {
    readonly bucket: TokenBucket;
    readonly reserve: PriorityReserve;
    allowance: Allowance;
    gateways: number;
    /** Whether a leader was believed to answer at the last request, and whether the organisation was near its limit then. */
    leaderAnswered: boolean;
    near: boolean;
};

/** A decision of a gateway's own share, and the units that it took from the share, which may be less than the cost. */
export type ShareDecision = { readonly decision: ChargeDecision; readonly units: number; };

/**
 * One gateway's equal share of the allowances. While a leader answers, requests are taken from it without asking; while none does,
 * nothing else is left to spend. It is empty for an organisation near its limit when the leader is lost.
 */
export class EqualShare {
    private readonly accounts = new LRUCache<string, Account>({ max: maxAccounts });

    private constructor(
        private readonly gateways: () => number,
        private emptyAt: number,
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

    /** Empties all shares: a new leader doesn't know what was spent under the one before it. */
    empty(now: number): void {
        this.accounts.clear();
        this.emptyAt = now;
    }

    /**
     * Takes a request from the share while a leader answers; returns false and takes nothing if too little is left, near the limit,
     * or if the leader has to be asked (`mustAsk`).
     */
    takeUnasked(charge: AllowanceCharge, near: boolean, mustAsk: boolean, now: number): boolean {
        const account = this.account(charge, now);
        account.leaderAnswered = true;
        account.near = near;
        limitLevel(account, now, now);
        if (charge.rank !== undefined) {
            account.reserve.recordRequest(charge.rank, charge.cost, account.bucket, now);
        }
        const isEnough = !near && !mustAsk && account.bucket.level(now) >= charge.cost;
        if (isEnough) {
            account.bucket.spend(charge.cost, now);
        }
        return isEnough;
    }

    /**
     * Charges a request while no leader answers. An organisation that has used up its allowance never overdraws its shares: a request
     * that costs more than is left uses the share up, and is admitted with the probability of their ratio. Another organisation's
     * request is admitted whatever it costs if the share holds what it may hold while a leader answers. `lostAt`: when the leader was
     * lost.
     */
    admit(charge: AllowanceCharge, usedUp: boolean, lostAt: number, now: number): ShareDecision {
        const account = this.account(charge, now);
        if (account.leaderAnswered) {
            account.leaderAnswered = false;
            account.near ||= usedUp;
            limitLevel(account, lostAt, now);
        }
        let units = 0;
        const decision = decide(account, charge, now, () => {
            const taken = usedUp ? takeStrictly(account, charge, now) : takeOnce(account, charge, now);
            units = taken.units;
            return taken.granted;
        });
        return { decision, units };
    }

    /** Returns units that a request that didn't run took from the share. */
    refund(charge: AllowanceCharge, units: number, now: number): void {
        const { bucket, reserve } = this.account(charge, now);
        bucket.spend(-units, now);
        if (charge.rank !== undefined) {
            reserve.recordUnits(charge.rank, -units, bucket, now);
        }
    }

    private account({ organisation, allowance }: AllowanceCharge, now: number): Account {
        const gateways = Math.max(1, this.gateways());
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            const bucket = TokenBucket.create(shareOf(allowance, gateways), 0, this.emptyAt);
            const reserve = PriorityReserve.create(this.floor);
            account = { bucket, reserve, allowance, gateways, leaderAnswered: true, near: false };
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

/** A share's part of what a leader has left of the burst of an organisation that isn't near its limit. */
function heldUnits({ allowance, gateways }: Account): number {
    return allowance.burst * nearLimitFraction / gateways;
}

/** Drops what the share has gained beyond that while a leader answered, until `until`. */
function limitLevel(account: Account, until: number, now: number): void {
    const { bucket, near } = account;
    const gained = bucket.rate * Math.max(0, now - until) / millisecondsInSecond;
    const most = gained + (near ? 0 : heldUnits(account));
    bucket.spend(Math.max(0, bucket.level(now) - most), now);
}

type Taken = { readonly granted: boolean; readonly units: number; };

function takeStrictly({ bucket }: Account, { cost, attempt }: AllowanceCharge, now: number): Taken {
    const left = Math.max(0, bucket.level(now));
    const units = Math.min(cost, left);
    bucket.spend(units, now);
    return { granted: left >= cost || hashToFraction(attempt) * cost < left, units };
}

function takeOnce(account: Account, { cost }: AllowanceCharge, now: number): Taken {
    if (account.bucket.level(now) < Math.min(cost, heldUnits(account))) {
        return { granted: false, units: 0 };
    }
    account.bucket.spend(cost, now);
    return { granted: true, units: cost };
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
