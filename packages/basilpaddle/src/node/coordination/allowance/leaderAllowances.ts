import type { AllowanceCharge } from "./allowanceCharge.js";
import { askedBurstFraction } from "./nearLimit.js";
import {
    type AllowanceDecision,
    type AllowanceOptions,
    OrganisationAllowances,
    type SpentUnits,
} from "./organisationAllowances.js";

/** Interval between two reports, multiplied by the number of gateways: bounds the reports that the leader receives from all. */
const reportIntervalPerGatewayMilliseconds = 1.5;
const minReportIntervalMilliseconds = 20;
/** Units are reported once they reach this fraction of the gateway's equal share of the allowance. */
const reportedFraction = 0.1;

/** What was spent of one allowance. */
type Spent = {
    units: number;
    /** The units of requests whose rank is known; bounds a report to one number for each rank. */
    readonly byRank: Map<number, number>;
};
/** What was spent since the last report, and from how many units on it is reported. */
type Unreported = Spent & { readonly threshold: number; };

/**
 * The leader keeps the allowances; while none answers, each gateway admits its equal share. The implementations
 * differ in the requests for which the leader is asked before they are admitted.
 */
export abstract class LeaderAllowances extends OrganisationAllowances {
    private readonly unreported = new Map<string, Unreported>();
    /** What own shares have granted since the leader answered last. */
    private readonly unreportedShares = new Map<string, Spent>();
    private cancelReport: (() => void) | undefined;
    private lastReportAt = Number.NEGATIVE_INFINITY;
    private leaderName: string | undefined;
    private epoch = 0;
    /** Since when no leader has answered; undefined while one does. */
    private lostAt: number | undefined = this.now();
    /** Whether the last charge wasn't answered: until one is, the leader is asked before each request. */
    private hasFailed = false;

    /** Whether the leader is asked before the request is admitted, however much the own share holds. */
    protected abstract mustAsk(charge: AllowanceCharge): boolean;

    override async admit(charge: AllowanceCharge): Promise<AllowanceDecision> {
        this.followLeader();
        const decision = await this.chargeLeader(charge);
        return decision ?? this.chargeShare(charge);
    }

    override refund(charge: AllowanceCharge, { by, epoch, units }: AllowanceDecision): void {
        this.followLeader();
        if (epoch !== this.epoch) {
            return;
        }
        if (by !== "leader") {
            this.ownShare.refund(charge, units, this.now());
        }
        const { organisation, rank } = charge;
        const unreported = (by === "share" ? this.unreportedShares : this.unreported).get(organisation);
        if (unreported !== undefined && unreported.units >= units) {
            addUnits(unreported, rank, -units);
        }
        else if (by !== "share") {
            const refund: Spent = { units: 0, byRank: new Map() };
            addUnits(refund, rank, -units);
            // Immediately: near the limit, the next request would be refused for lack of this refund.
            this.options.leader.recordSpent([spentOf(organisation, refund)]);
        }
    }

    override close(): void {
        this.cancelReport?.();
    }

    /** Begins anew with each leader: it has no part in what was spent under the one before it. */
    private followLeader(): void {
        const name = this.options.leader.name();
        if (name === undefined || name === this.leaderName) {
            return;
        }
        if (this.leaderName !== undefined) {
            this.unreported.clear();
            this.unreportedShares.clear();
            this.ownShare.empty(this.now());
        }
        this.leaderName = name;
        this.epoch += 1;
    }

    /** Charges a request at the leader, now or afterwards; undefined if no leader answers. */
    private async chargeLeader(charge: AllowanceCharge): Promise<AllowanceDecision | undefined> {
        const { leader } = this.options;
        const { organisation, cost, rank } = charge;
        if (!leader.isAvailable()) {
            return undefined;
        }
        const { epoch } = this;
        if (!this.hasFailed) {
            this.lostAt = undefined;
            const isNear = leader.isNearLimit(organisation);
            const isEnough = this.ownShare.takeUnasked(charge, isNear, this.mustAsk(charge), this.now());
            if (isEnough) {
                this.recordSpent(charge, cost);
                return { granted: true, by: "reported", epoch, units: cost };
            }
        }
        const decision = await leader.charge(organisation, cost, rank);
        this.hasFailed = decision === undefined;
        if (decision !== undefined) {
            this.reportShares();
        }
        return decision && { ...decision, by: "leader", epoch, units: cost };
    }

    private chargeShare(charge: AllowanceCharge): AllowanceDecision {
        const { organisation, rank } = charge;
        const now = this.now();
        const { leader } = this.options;
        this.lostAt ??= leader.silentSince() ?? now;
        const isUsedUp = leader.hasUsedUp(organisation);
        const { decision, units } = this.ownShare.admit(charge, isUsedUp, this.lostAt, now);
        if (units > 0) {
            const shared = this.unreportedShares.get(organisation) ?? { units: 0, byRank: new Map() };
            addUnits(shared, rank, units);
            this.unreportedShares.set(organisation, shared);
        }
        return { ...decision, by: "share", epoch: this.epoch, units };
    }

    /** Tells the leader that answers again what own shares granted meanwhile: it may have been slow, and have granted all to others. */
    private reportShares(): void {
        const spent = [...this.unreportedShares].map(([organisation, units]) => spentOf(organisation, units));
        this.unreportedShares.clear();
        if (spent.length > 0) {
            this.options.leader.recordSpent(spent.map(shared => ({ ...shared, shared: true })));
        }
    }

    private recordSpent({ organisation, allowance, rank }: AllowanceCharge, units: number): void {
        const gateways = Math.max(1, this.options.gateways());
        const threshold = reportedFraction * (allowance.burst + allowance.rate) / gateways;
        const account = this.unreported.get(organisation) ?? { units: 0, byRank: new Map(), threshold };
        addUnits(account, rank, units);
        this.unreported.set(organisation, account);
        if (Math.abs(account.units) >= threshold && this.cancelReport === undefined) {
            this.scheduleReport(
                Math.max(minReportIntervalMilliseconds, gateways * reportIntervalPerGatewayMilliseconds),
            );
        }
    }

    private scheduleReport(interval: number): void {
        const delay = Math.max(0, this.lastReportAt + interval - this.now());
        this.cancelReport = this.options.clock.after(delay, () => this.report());
    }

    private report(): void {
        this.cancelReport = undefined;
        this.lastReportAt = this.now();
        const spent: SpentUnits[] = [];
        this.unreported.forEach((unreported, organisation) => {
            if (Math.abs(unreported.units) >= unreported.threshold) {
                spent.push(spentOf(organisation, unreported));
                this.unreported.delete(organisation);
            }
        });
        this.options.leader.recordSpent(spent);
    }
}

function addUnits(spent: Spent, rank: number | undefined, units: number): void {
    spent.units += units;
    if (rank !== undefined) {
        spent.byRank.set(rank, (spent.byRank.get(rank) ?? 0) + units);
    }
}

function spentOf(organisation: string, { units, byRank }: Spent): SpentUnits {
    const ranks = [...byRank].map(([rank, rankUnits]) => ({ rank, units: rankUnits }));
    return { organisation, units, ...ranks.length === 0 ? {} : { byRank: ranks } };
}

/** Admits what its share holds first and reports afterwards, but asks the leader before large requests, and near the limit before all. */
export class ReportedAllowances extends LeaderAllowances {
    static create(options: AllowanceOptions): ReportedAllowances {
        return new ReportedAllowances(options);
    }

    protected override mustAsk({ allowance, cost }: AllowanceCharge): boolean {
        return cost >= allowance.burst * askedBurstFraction;
    }
}
