import type { AllowanceState } from "../../coordination/index.js";
import type { ChargeDecision } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";

/** Interval between two log lines. */
const intervalMilliseconds = 1_000;
/** Maximum number of organisations in one line; those with most units come first. */
const maxLoggedOrganisations = 8;

/** Units of one organisation since the last log line. */
type OrganisationUnits = {
    readonly organisation: string;
    /** Granted and refused to gateways that asked. */
    granted: number;
    refused: number;
    /** Spent without asking, and refunded. */
    reported: number;
    refunded: number;
};

/** Logs every second what a leader has granted to organisations of which it refused requests or refunded some. */
export class AllowanceTally {
    private readonly units = new Map<string, OrganisationUnits>();
    private loggedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly options: { readonly term: number; readonly logger: Logger; },
        private readonly state: (organisation: string) => AllowanceState | undefined,
    ) {}

    /** `term`: the term of the leadership. `state`: what an organisation has left. */
    static create(
        options: { readonly term: number; readonly logger: Logger; },
        state: (organisation: string) => AllowanceState | undefined,
    ): AllowanceTally {
        return new AllowanceTally(options, state);
    }

    /** Records the decision on a request of a gateway that asked. */
    recordCharge(organisation: string, cost: number, { granted }: ChargeDecision): void {
        this.of(organisation)[granted ? "granted" : "refused"] += cost;
    }

    /** Records units that a gateway spent without asking; a negative number is a refund. */
    recordSpent(organisation: string, units: number): void {
        this.of(organisation)[units < 0 ? "refunded" : "reported"] += Math.abs(units);
    }

    /** Writes a line if the last one is a second ago; to be called periodically. */
    review(now: number): void {
        if (now - this.loggedAt < intervalMilliseconds) {
            return;
        }
        this.loggedAt = now;
        const limited = [...this.units.values()].filter(({ refused, refunded }) => refused > 0 || refunded > 0);
        this.units.clear();
        if (limited.length === 0) {
            return;
        }
        limited.sort((one, other) => sumOf(other) - sumOf(one));
        this.options.logger.info("what organisations were granted", {
            term: this.options.term,
            organisations: limited.slice(0, maxLoggedOrganisations).map(units => ({
                ...units,
                ...this.state(units.organisation),
            })),
            omitted: Math.max(0, limited.length - maxLoggedOrganisations),
        });
    }

    private of(organisation: string): OrganisationUnits {
        let units = this.units.get(organisation);
        if (units === undefined) {
            units = { organisation, granted: 0, refused: 0, reported: 0, refunded: 0 };
            this.units.set(organisation, units);
        }
        return units;
    }
}

function sumOf({ granted, refused, reported, refunded }: OrganisationUnits): number {
    return granted + refused + reported + refunded;
}
