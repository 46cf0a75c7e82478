import type { AllowanceCharge } from "./allowanceCharge.js";
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
    private cancelReport: (() => void) | undefined;
    private lastReportAt = Number.NEGATIVE_INFINITY;

    /** Whether the leader is asked before the request is admitted. */
    protected abstract mustAsk(charge: AllowanceCharge): boolean;

    override async admit(charge: AllowanceCharge): Promise<AllowanceDecision> {
        const decision = await this.chargeLeader(charge);
        const now = this.now();
        if (decision === undefined) {
            return this.options.leader.hasUsedUp(charge.organisation)
                ? { ...this.ownShare.admitStrictly(charge, now), by: "strictShare" }
                : { ...this.ownShare.admit(charge, now), by: "share" };
        }
        if (decision.granted) {
            this.ownShare.recordSpent(charge, now);
        }
        return decision;
    }

    override refund(charge: AllowanceCharge): void {
        this.ownShare.refund(charge, this.now());
        const unreported = this.unreported.get(charge.organisation);
        if (unreported !== undefined && unreported.units >= charge.cost) {
            addUnits(unreported, charge.rank, -charge.cost);
            return;
        }
        const refund: Spent = { units: 0, byRank: new Map() };
        addUnits(refund, charge.rank, -charge.cost);
        // Immediately: near the limit, the next request would be refused for lack of this refund.
        this.options.leader.recordSpent([spentOf(charge.organisation, refund)]);
    }

    override close(): void {
        this.cancelReport?.();
    }

    /** Charges a request at the leader, now or afterwards; undefined if no leader answers. */
    private async chargeLeader(charge: AllowanceCharge): Promise<AllowanceDecision | undefined> {
        const { leader } = this.options;
        const { organisation, cost, rank } = charge;
        if (!leader.isAvailable()) {
            return undefined;
        }
        if (this.mustAsk(charge)) {
            const decision = await leader.charge(organisation, cost, rank);
            return decision && { ...decision, by: "leader" };
        }
        this.recordSpent(charge, cost);
        return { granted: true, by: "reported" };
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

/**
 * The leader is asked before a request that costs at least this fraction of the burst. Otherwise organisations whose burst is a
 * few requests, of which a deployment may have thousands, would come near their limit with each request, and every gateway would
 * be notified each time.
 */
const askedBurstFraction = 0.25;

/** Admits first and reports afterwards, but asks the leader before large requests, and near the limit before all. */
export class ReportedAllowances extends LeaderAllowances {
    static create(options: AllowanceOptions): ReportedAllowances {
        return new ReportedAllowances(options);
    }

    protected override mustAsk({ organisation, allowance, cost }: AllowanceCharge): boolean {
        return cost >= allowance.burst * askedBurstFraction || this.options.leader.isNearLimit(organisation);
    }
}
