import type { Allowance } from "../../protocol/index.js";

/** A request's cost to its organisation. */
export type AllowanceCharge = {
    readonly organisation: string;
    readonly allowance: Allowance;
    /** In the allowance's unit. */
    readonly cost: number;
    /** Identifier of the attempt, by which the times to come back are spread. */
    readonly attempt: string;
};
