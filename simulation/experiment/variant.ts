import type { Either } from "purify-ts";
import { z } from "zod";
import type { Finding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { readJsonFile } from "../jsonFile.js";
import { unevenScoreNames } from "../places/unevenScores.js";

/** Overrides of the placement tuning; omitted parameters keep the product's defaults. */
export const tuningSchema = z.strictObject({
    fill: z.number().positive().optional(),
    scatter: z.number().min(0).optional(),
    farWeight: z.number().min(0).optional(),
    /** Score of decode engines whose speeds differ much. */
    unevenScore: z.enum(unevenScoreNames).optional(),
});

/** The variants of an experiment; the first one is the baseline of the comparisons. */
export const variantsSchema = z.strictObject({
    variants: z.array(z.strictObject({ name: z.string().min(1), tuning: tuningSchema.default({}) })).min(1),
}).refine(
    ({ variants }) => new Set(variants.map(({ name }) => name)).size === variants.length,
    { message: "two variants have the same name", path: ["variants"] },
);

/** A named tuning under which days are simulated. */
export type Variant = z.infer<typeof variantsSchema>["variants"][number];

/** The product's default tuning. */
export const unchangedVariant: Variant = { name: "unchanged", tuning: {} };

/** Reads variants from a file; returns all findings if the file is invalid. */
export function readVariants(file: string): Either<readonly Finding[], readonly Variant[]> {
    return readJsonFile(file, variantsSchema).map(({ variants }) => variants);
}
