import { AllowanceLedger, type LimitedOrganisations, nearLimitFraction } from "../../coordination/index.js";
import type { Allowance, AllowanceMessage, AllowanceReply, Traffic } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { AllowanceTally } from "./allowanceTally.js";
import type { GatewayPresence } from "./gatewayPresence.js";

/** Maximum number of organisations whose names are sent to every gateway. */
const maxNearLimit = 1_000;
/** Minimum interval between two changes that can wait: all but an organisation that comes near its limit. */
const minChangeIntervalMilliseconds = 1_000;
const maxLoggedOrganisations = 4;
const millisecondsInSecond = 1_000;

type ChargeMessage = Extract<AllowanceMessage, { kind: "charge"; }>;
type SpentMessage = Extract<AllowanceMessage, { kind: "spent"; }>;

/** Organisations near their limit, and the number of the last change. */
export type AllowanceLimits = LimitedOrganisations & { readonly change: number; };

/** The limits while no directory is known to lead. */
export const noLimits: AllowanceLimits = { change: 0, near: [], usedUp: [] };

/** Inputs and dependencies of `AllowanceService`. */
export type AllowanceServiceOptions = {
    readonly traffic: () => Traffic | undefined;
    /** Term of the leadership, for logs. */
    readonly term: number;
    /** Whether no other directory has led before, so that nothing has been spent. */
    readonly firstLeader: boolean;
    /** Fraction of an organisation's rate that its lower priorities share in any case. @default 0.1 */
    readonly floor?: number;
    /** When each gateway was last heard of. */
    readonly presence: GatewayPresence;
    /** Called when gateways have to learn of a change of the organisations near their limit. */
    readonly onLimitsChanged: () => void;
    readonly clock: Clock;
    readonly logger: Logger;
};

/** Keeps the allowances of all organisations for all gateways while this directory leads. */
export class AllowanceService {
    private readonly ledger: AllowanceLedger;
    private readonly tally: AllowanceTally;
    private current = noLimits;
    private changedAt = Number.NEGATIVE_INFINITY;
    private absentGateways = 0;
    private allowancesOf: { readonly traffic: Traffic; readonly byName: ReadonlyMap<string, Allowance>; } | undefined;

    private constructor(private readonly options: AllowanceServiceOptions) {
        // A new leader doesn't know what was spent before: its predecessors may have granted the whole burst.
        this.ledger = AllowanceLedger.create(options.firstLeader ? 1 : 0, options.floor, this.now());
        this.tally = AllowanceTally.create(options, organisation => this.ledger.state(organisation, this.now()));
    }

    static create(options: AllowanceServiceOptions): AllowanceService {
        return new AllowanceService(options);
    }

    /** Handles a message from a gateway; undefined for messages that have no reply. */
    handle(message: AllowanceMessage): AllowanceReply | undefined {
        const now = this.now();
        this.options.presence.record(message.gateway, now);
        const reply = message.kind === "charge"
            ? this.charge(message, now)
            : this.recordSpent(message, now);
        if (this.ledger.hasNewlyLimited()) {
            this.review();
        }
        return reply;
    }

    /** Organisations near their limit. */
    limits(): AllowanceLimits {
        return this.current;
    }

    /** Looks for organisations that came near their limit or are far from it again; to be called periodically. */
    review(): void {
        const now = this.now();
        this.tally.review(now);
        this.withholdShares(now);
        const isUrgent = this.ledger.hasNewlyLimited();
        if (!isUrgent && now - this.changedAt < minChangeIntervalMilliseconds) {
            return;
        }
        const { near, usedUp } = this.ledger.limited(now);
        const limited = { near: near.slice(0, maxNearLimit), usedUp: usedUp.slice(0, maxNearLimit) };
        if (areSame(limited.near, this.current.near) && areSame(limited.usedUp, this.current.usedUp)) {
            return;
        }
        this.changedAt = now;
        this.current = { ...limited, change: this.current.change + 1 };
        this.options.logger.info("the organisations near their limit changed", {
            near: near.length,
            usedUp: usedUp.slice(0, maxLoggedOrganisations),
        });
        this.options.onLimitsChanged();
    }

    /** Updates the gauges of a leader. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_allowance_accounts", this.ledger.size);
        metrics.gauge("basilpaddle_organisations_near_limit", this.current.near.length);
    }

    private now(): number {
        return this.options.clock.monotonic();
    }

    private charge({ organisation, cost, rank }: ChargeMessage, now: number): AllowanceReply {
        const allowance = this.allowance(organisation);
        const decision = allowance === undefined
            ? { granted: true } as const
            : this.ledger.charge(organisation, allowance, cost, now, rank);
        this.tally.recordCharge(organisation, cost, decision);
        return { kind: "charged", decision, term: this.options.term };
    }

    /** Withholds what absent gateways may spend on their own. */
    private withholdShares(now: number): void {
        const { known, absent, newlyAbsent, silentFor } = this.options.presence.review(now);
        const all = Math.max(1, known);
        this.ledger.withholdShares(absent / all, newlyAbsent / all, silentFor, now);
        if (absent !== this.absentGateways) {
            this.absentGateways = absent;
            this.options.logger.info("the shares of absent gateways are withheld", { absent, known });
        }
    }

    private recordSpent({ gateway, spent }: SpentMessage, now: number): undefined {
        const withheldFor = this.options.presence.withheldFor(gateway, now);
        for (const { organisation, units: spentUnits, byRank, shared } of spent) {
            const allowance = this.allowance(organisation);
            if (allowance !== undefined) {
                const units = shared === true ? this.unitsBeyondShare(allowance, spentUnits, withheldFor) : spentUnits;
                this.ledger.recordSpent(organisation, allowance, units, now, byRank);
                this.tally.recordSpent(organisation, units);
            }
        }
        return undefined;
    }

    /** What a gateway's share granted beyond what was withheld for it meanwhile. */
    private unitsBeyondShare({ rate, burst }: Allowance, units: number, withheldFor: number): number {
        const { known } = this.options.presence;
        const share = (rate * withheldFor / millisecondsInSecond + burst * nearLimitFraction) / Math.max(1, known);
        return withheldFor > 0 ? Math.max(0, units - share) : units;
    }

    private allowance(organisation: string): Allowance | undefined {
        const traffic = this.options.traffic();
        if (traffic !== undefined && this.allowancesOf?.traffic !== traffic) {
            const entries = (traffic.organisations ?? []).flatMap(({ name, allowance }) => {
                return allowance === undefined ? [] : [[name, allowance] as const];
            });
            this.allowancesOf = { traffic, byName: new Map(entries) };
        }
        return this.allowancesOf?.byName.get(organisation);
    }
}

function areSame(one: readonly string[], other: readonly string[]): boolean {
    const names = new Set(one);
    return names.size === other.length && other.every(name => names.has(name));
}
