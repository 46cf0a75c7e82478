import type { ChargeDecision } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { EqualPart } from "./equalPart.js";

/** Units that were spent without asking the leader, by organisation; negative if more was given back. */
export type SpentUnits = { readonly organisation: string; readonly units: number; };

/** The leader's side of the allowances, as a gateway reaches it. */
export type AllowanceLeader = {
    /** Whether a leader is believed to answer. */
    readonly isAvailable: () => boolean;
    /** Charges a request; undefined if no leader answers. */
    readonly charge: (organisation: string, cost: number) => Promise<ChargeDecision | undefined>;
    /** Tells what was spent without asking. */
    readonly recordSpent: (spent: readonly SpentUnits[]) => void;
    /** Whether the organisation is near its limit, according to the leader. */
    readonly isNearLimit: (organisation: string) => boolean;
    /** Whether the organisation has used up its allowance, according to the last leader that was reached. */
    readonly hasUsedUp: (organisation: string) => boolean;
};

/** Dependencies of an implementation. */
export type AllowanceOptions = {
    readonly leader: AllowanceLeader;
    /** Upper bound of the number of gateways that share the allowances. */
    readonly gateways: () => number;
    readonly clock: Clock;
};

/** How one gateway keeps the allowances that its organisations share over all gateways. */
export abstract class OrganisationAllowances {
    /** What this gateway may spend on its own. */
    protected readonly ownPart: EqualPart;

    protected constructor(protected readonly options: AllowanceOptions) {
        this.ownPart = EqualPart.create(options.gateways);
    }

    /** Charges a request once, or refuses it with the milliseconds after which it may come back. */
    abstract admit(charge: AllowanceCharge): Promise<ChargeDecision>;

    /** Gives the cost of an admitted request back, since no backend server has run it. */
    abstract giveBack(charge: AllowanceCharge): void;

    /** Stops periodic reports. */
    abstract close(): void;

    protected now(): number {
        return this.options.clock.monotonic();
    }
}
