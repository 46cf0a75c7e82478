import { z } from "zod";
import { crashSchema } from "../../protocol/index.js";

/** Requests that are quarantined because backend servers crashed while running them. */
export const quarantinedAnswerSchema = z.object({
    kind: z.literal("held"),
    requests: z.array(z.object({
        /** Digest of the request's content, as in the log field `content` of its attempts. */
        digest: z.string(),
        /** Milliseconds until the quarantine ends. */
        left: z.number(),
        crashes: z.array(crashSchema),
    })),
});

/** Outcome of a release; `wasSuspected` is whether this daemon had crash records of the request. */
export const releasedAnswerSchema = z.object({
    kind: z.literal("released"),
    digest: z.string(),
    wasSuspected: z.boolean(),
});

/** An operator's release of a quarantined request. */
export const releaseSchema = z.object({
    digest: z.string().min(1).max(200),
    operator: z.string().min(1).max(200),
});
