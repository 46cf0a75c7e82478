import {
    type AllowanceCharge,
    type AllowanceOptions,
    LeaderAllowances,
    OrganisationAllowances,
    ReportedAllowances,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { ChargeDecision } from "../../packages/basilpaddle/src/node/protocol/index.js";

/** Each gateway admits an equal part of each allowance; costs no message. */
class EqualParts extends OrganisationAllowances {
    static create(options: AllowanceOptions): EqualParts {
        return new EqualParts(options);
    }

    override admit(charge: AllowanceCharge): Promise<ChargeDecision> {
        return Promise.resolve(this.ownPart.admit(charge, this.now()));
    }

    override giveBack(charge: AllowanceCharge): void {
        this.ownPart.giveBack(charge, this.now());
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
export const ways = { equal: EqualParts, asked: AskedAllowances, reported: ReportedAllowances } as const;
/** Name of an implementation. */
export type Way = keyof typeof ways;
