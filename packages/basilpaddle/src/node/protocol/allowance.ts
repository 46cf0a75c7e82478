import { z } from "zod";

const organisationName = z.string().min(1).max(200);

/** Whether a request is within its organisation's allowance, and if not, in how many milliseconds it may come back. */
export const chargeDecisionSchema = z.discriminatedUnion("granted", [
    z.object({ granted: z.literal(true) }),
    z.object({ granted: z.literal(false), comeBackIn: z.number().min(0) }),
]);

/** Message of a gateway to the leading directory about the allowances of organisations. */
export const allowanceMessageSchema = z.discriminatedUnion("kind", [
    /** Charges one request. */
    z.object({
        kind: z.literal("charge"),
        gateway: z.string(),
        organisation: organisationName,
        cost: z.number().min(0),
    }),
    /** Units spent without asking since the previous message; negative if more was refunded. No reply. */
    z.object({
        kind: z.literal("spent"),
        gateway: z.string(),
        spent: z.array(z.object({ organisation: organisationName, units: z.number() })),
    }),
]);

/** Reply of the leading directory to a charge; other directories reply with the leader that they know. */
export const allowanceReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("charged"), decision: chargeDecisionSchema }),
    z.object({ kind: z.literal("elsewhere"), leader: z.string().optional() }),
]);

/** Whether a request is within its organisation's allowance. */
export type ChargeDecision = z.infer<typeof chargeDecisionSchema>;
/** Message of a gateway to the leading directory about allowances. */
export type AllowanceMessage = z.infer<typeof allowanceMessageSchema>;
/** Reply of the leading directory to a charge. */
export type AllowanceReply = z.infer<typeof allowanceReplySchema>;
