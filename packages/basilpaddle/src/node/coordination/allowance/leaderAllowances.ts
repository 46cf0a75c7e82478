import type { ChargeDecision } from "../../protocol/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { type AllowanceOptions, OrganisationAllowances, type SpentUnits } from "./organisationAllowances.js";

/** Interval between two reports, multiplied by the number of gateways: bounds the reports that the leader receives from all. */
const reportIntervalPerGatewayMilliseconds = 1.5;
const minReportIntervalMilliseconds = 20;
/** Units are reported once they reach this fraction of the gateway's equal share of the allowance. */
const reportedFraction = 0.1;

/**
 * The leader keeps the allowances; while none answers, each gateway admits its equal share. The implementations
 * differ in the requests for which the leader is asked before they are admitted.
 */
export abstract class LeaderAllowances extends OrganisationAllowances {
    private readonly unreported = new Map<string, { units: number; readonly threshold: number; }>();
    private cancelReport: (() => void) | undefined;
    private lastReportAt = Number.NEGATIVE_INFINITY;

    /** Whether the leader is asked before the request is admitted. */
    protected abstract mustAsk(charge: AllowanceCharge): boolean;

    override async admit(charge: AllowanceCharge): Promise<ChargeDecision> {
        const decision = await this.chargeLeader(charge);
        const now = this.now();
        if (decision === undefined) {
            return this.options.leader.hasUsedUp(charge.organisation)
                ? this.ownShare.admitStrictly(charge, now)
                : this.ownShare.admit(charge, now);
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
            unreported.units -= charge.cost;
            return;
        }
        // Immediately: near the limit, the next request would be refused for lack of this refund.
        this.options.leader.recordSpent([{ organisation: charge.organisation, units: -charge.cost }]);
    }

    override close(): void {
        this.cancelReport?.();
    }

    /** Charges a request at the leader, now or afterwards; undefined if no leader answers. */
    private chargeLeader(charge: AllowanceCharge): Promise<ChargeDecision | undefined> {
        const { leader } = this.options;
        const { organisation, cost } = charge;
        if (!leader.isAvailable()) {
            return Promise.resolve(undefined);
        }
        if (this.mustAsk(charge)) {
            return leader.charge(organisation, cost);
        }
        this.recordSpent(charge, cost);
        return Promise.resolve({ granted: true });
    }

    private recordSpent({ organisation, allowance }: AllowanceCharge, units: number): void {
        const gateways = Math.max(1, this.options.gateways());
        const threshold = reportedFraction * (allowance.burst + allowance.rate) / gateways;
        const account = this.unreported.get(organisation) ?? { units: 0, threshold };
        account.units += units;
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
        this.unreported.forEach(({ units, threshold }, organisation) => {
            if (Math.abs(units) >= threshold) {
                spent.push({ organisation, units });
                this.unreported.delete(organisation);
            }
        });
        this.options.leader.recordSpent(spent);
    }
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
