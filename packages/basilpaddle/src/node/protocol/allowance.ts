import { z } from "zod";
import { identifierSchema } from "./identity.js";

const organisationName = identifierSchema;
/** Number of priorities that are told apart: ranks 0 to 9. */
export const rankCount = 10;
const rankSchema = z.int().min(0).max(rankCount - 1);

/** Whether a request is within its organisation's allowance, and if not, in how many milliseconds it may come back. */
export const chargeDecisionSchema = z.discriminatedUnion("granted", [
    z.object({ granted: z.literal(true) }),
    z.object({
        granted: z.literal(false),
        comeBackIn: z.number().min(0),
        /** Whether it is refused because higher priorities have a reserve, whether or not units are left. @default false */
        reserved: z.boolean().optional(),
    }),
]);

/** Units of one priority; negative if more was refunded. */
export const rankUnitsSchema = z.object({ rank: rankSchema, units: z.number() });

/** Message of a gateway to the leading directory about the allowances of organisations. */
export const allowanceMessageSchema = z.discriminatedUnion("kind", [
    /** Charges one request. */
    z.object({
        kind: z.literal("charge"),
        gateway: z.string(),
        organisation: organisationName,
        cost: z.number().min(0),
        /** Priority of the request, 0 (the highest) to 9. @default not known: nothing is reserved for or from it */
        rank: rankSchema.optional(),
    }),
    /** Units spent without asking since the previous message; negative if more was refunded. No reply. */
    z.object({
        kind: z.literal("spent"),
        gateway: z.string(),
        spent: z.array(z.object({
            organisation: organisationName,
            units: z.number(),
            /** The units of each priority, as far as known. @default none */
            byRank: z.array(rankUnitsSchema).max(rankCount).optional(),
            /** Whether the gateway's own share granted them while the leader didn't answer it. @default false */
            shared: z.boolean().optional(),
        })),
    }),
]);

/** Reply of the leading directory to a charge; other directories reply with the leader that they know. */
export const allowanceReplySchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("charged"),
        decision: chargeDecisionSchema,
        /** Term of the leader, for logs. @default not known */
        term: z.int().min(0).optional(),
    }),
    z.object({ kind: z.literal("elsewhere"), leader: z.string().optional() }),
]);

/** Whether a request is within its organisation's allowance. */
export type ChargeDecision = z.infer<typeof chargeDecisionSchema>;
/** Units of one priority; negative if more was refunded. */
export type RankUnits = z.infer<typeof rankUnitsSchema>;
/** Message of a gateway to the leading directory about allowances. */
export type AllowanceMessage = z.infer<typeof allowanceMessageSchema>;
/** Reply of the leading directory to a charge. */
export type AllowanceReply = z.infer<typeof allowanceReplySchema>;
