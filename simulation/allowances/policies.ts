import {
    type AllowanceCharge,
    type AllowanceDecision,
    type AllowanceOptions,
    LeaderAllowances,
    OrganisationAllowances,
    ReportedAllowances,
} from "../../packages/basilpaddle/src/node/coordination/index.js";

/** Each gateway admits an equal share of each allowance; costs no message. */
class EqualShares extends OrganisationAllowances {
    static create(options: AllowanceOptions): EqualShares {
        return new EqualShares(options);
    }

    override admit(charge: AllowanceCharge): Promise<AllowanceDecision> {
        const { decision, units } = this.ownShare.admit(charge, false, 0, this.now());
        return Promise.resolve({ ...decision, by: "share", epoch: 0, units });
    }

    override refund(charge: AllowanceCharge, { units }: AllowanceDecision): void {
        this.ownShare.refund(charge, units, this.now());
    }

    override close(): void {}
}

/** Asks the leader for every request. */
class AskedAllowances extends LeaderAllowances {
    static create(options: AllowanceOptions): AskedAllowances {
        return new AskedAllowances(options);
    }

    protected override mustAsk(): boolean {
        return true;
    }
}

/** The implementations that are compared, by name; `reported` is the product's. */
export const policies = { equal: EqualShares, asked: AskedAllowances, reported: ReportedAllowances } as const;
/** Name of an implementation. */
export type Policy = keyof typeof policies;
