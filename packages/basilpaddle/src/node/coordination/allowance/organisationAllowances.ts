import type { ChargeDecision, RankUnits } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { AllowanceCharge } from "./allowanceCharge.js";
import { EqualShare } from "./equalShare.js";

/** Units that were spent without asking the leader, by organisation and, if known, priority; negative if more was refunded. */
export type SpentUnits = {
    readonly organisation: string;
    readonly units: number;
    readonly byRank?: RankUnits[];
    /** Whether they were taken from the gateway's own share, while the leader didn't answer it. @default false */
    readonly shared?: boolean;
};

/**
 * What decided on a request: the leader that was asked, this gateway, which reports to the leader what it spent, or this gateway's own
 * share, without a leader.
 */
export type AllowanceGrantor = "leader" | "reported" | "share";

/** A leader's decision on a charge. */
export type LeaderDecision = ChargeDecision & {
    /** Its term; undefined if it doesn't state one. */
    readonly term?: number | undefined;
};

/** A decision on a charge, and what decided. */
export type AllowanceDecision = LeaderDecision & {
    readonly by: AllowanceGrantor;
    /** Number of leaders that the gateway had known by then: units are returned to the leader that counted them alone. */
    readonly epoch: number;
    /** Units that it took from what decided. */
    readonly units: number;
};

/** The leader's side of the allowances, as a gateway reaches it. */
export type AllowanceLeader = {
    /** Whether a leader is believed to answer. */
    readonly isAvailable: () => boolean;
    /** Since when no leader has answered; undefined if one does, or if that isn't known. */
    readonly silentSince: () => number | undefined;
    /** Name of the leader; undefined while none is known. */
    readonly name: () => string | undefined;
    /** Charges a request; undefined if no leader answers. */
    readonly charge: (
        organisation: string,
        cost: number,
        rank: number | undefined,
    ) => Promise<LeaderDecision | undefined>;
    /** Reports what was spent without asking. */
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
    /** Fraction of an organisation's rate that its lower priorities share in any case. @default 0.1 */
    readonly floor?: number;
    readonly clock: Clock;
};

/** How one gateway keeps the allowances that its organisations share over all gateways. */
export abstract class OrganisationAllowances {
    /** What this gateway may spend without a leader. */
    protected readonly ownShare: EqualShare;

    protected constructor(protected readonly options: AllowanceOptions) {
        this.ownShare = EqualShare.create(options.gateways, options.clock.monotonic(), options.floor);
    }

    /** Charges a request once, or refuses it with the milliseconds after which it may come back. */
    abstract admit(charge: AllowanceCharge): Promise<AllowanceDecision>;

    /** Refunds an admitted request that no backend server has run to what granted it. */
    abstract refund(charge: AllowanceCharge, decision: AllowanceDecision): void;

    /** Stops periodic reports. */
    abstract close(): void;

    protected now(): number {
        return this.options.clock.monotonic();
    }
}
