import { z } from "zod";
import { crashSchema } from "../../protocol/index.js";

/** Requests that are held back since backend servers ended under them. */
export const heldAnswerSchema = z.object({
    kind: z.literal("held"),
    requests: z.array(z.object({
        /** The request, as the lines of its attempts name their content. */
        digest: z.string(),
        /** Milliseconds until it may run again. */
        left: z.number(),
        crashes: z.array(crashSchema),
    })),
});

/** What became of a release; `wasSuspected`: whether anything spoke against the request here. */
export const releasedAnswerSchema = z.object({
    kind: z.literal("released"),
    digest: z.string(),
    wasSuspected: z.boolean(),
});

/** An operator's word that a request may run again. */
export const releaseSchema = z.object({
    digest: z.string().min(1).max(200),
    operator: z.string().min(1).max(200),
});
