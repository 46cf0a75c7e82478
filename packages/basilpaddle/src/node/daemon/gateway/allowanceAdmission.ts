import { type AllowanceCharge, type OrganisationAllowances, rankOf } from "../../coordination/index.js";
import type { Metrics } from "../../utils/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** Charges requests to their organisations' allowances, and refuses those beyond them. */
export class AllowanceAdmission {
    private constructor(private readonly allowances: OrganisationAllowances, private readonly metrics: Metrics) {}

    static create(allowances: OrganisationAllowances, metrics: Metrics): AllowanceAdmission {
        return new AllowanceAdmission(allowances, metrics);
    }

    /**
     * Serves a request that its organisation's allowance admits, and refuses any other; returns the path for the log. The
     * request is charged once, however often it is retried, and not at all if no backend server has run it.
     */
    async serve(request: CallerRequest, run: () => Promise<readonly string[]>): Promise<readonly string[]> {
        const charge = chargeOf(request);
        if (charge === undefined) {
            return run();
        }
        if (charge === "malformed") {
            request.reject("the token counts aren't two numbers");
            return [];
        }
        const askedAt = request.age();
        const decision = await this.allowances.admit(charge);
        const { by, term } = decision;
        const milliseconds = Math.round(request.age() - askedAt);
        request.charge = { units: charge.cost, granted: decision.granted, by, term, milliseconds };
        if (!decision.granted) {
            this.count("refused", charge);
            this.metrics.count("basilpaddle_allowance_refusals_total", { rank: String(rankOf(request.priority)) });
            request.refuseOverAllowance(decision.comeBackIn, decision.reserved === true);
            return [];
        }
        this.count("charged", charge);
        const path = await run();
        if (!request.mayHaveRun()) {
            this.count("refunded", charge);
            this.allowances.refund(charge, decision);
            request.charge = { ...request.charge, refunded: true };
        }
        return path;
    }

    private count(outcome: "charged" | "refunded" | "refused", { allowance, cost }: AllowanceCharge): void {
        const labels = { outcome, unit: allowance.unit };
        this.metrics.count("basilpaddle_allowance_requests_total", labels);
        this.metrics.count("basilpaddle_allowance_units_total", labels, cost);
    }
}

/** What a request costs its organisation; undefined if that has no allowance, "malformed" if the stated counts are unusable. */
function chargeOf(request: CallerRequest): AllowanceCharge | "malformed" | undefined {
    const { identity: { organisation }, metadata: { tokens }, attempt } = request;
    const allowance = organisation?.allowance;
    if (organisation === undefined || allowance === undefined) {
        return undefined;
    }
    const charge = { organisation: organisation.name, allowance, attempt, rank: rankOf(request.priority) };
    if (allowance.unit === "requests") {
        return { ...charge, cost: 1 };
    }
    if (tokens.kind === "malformed") {
        return "malformed";
    }
    return { ...charge, cost: tokens.kind === "stated" ? tokens.total : allowance.defaultCost };
}
