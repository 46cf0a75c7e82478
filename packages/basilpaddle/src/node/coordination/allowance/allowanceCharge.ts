import type { Allowance } from "../../protocol/index.js";

/** A request's cost to its organisation. */
export type AllowanceCharge = {
    readonly organisation: string;
    readonly allowance: Allowance;
    /** In the allowance's unit. */
    readonly cost: number;
    /** Priority of the request, 0 (the highest) to 9. @default not known: nothing is reserved for or from it */
    readonly rank?: number;
    /** Identifier of the attempt, by which the times to come back are spread. */
    readonly attempt: string;
};
