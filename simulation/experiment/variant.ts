import type { Either } from "purify-ts";
import { z } from "zod";
import type { Finding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { readCheckedFile } from "../checkedFile.js";

/** Changes of the placing's tuning; what is left out stays as the product has it. */
export const tuningSchema = z.strictObject({
    fill: z.number().positive().optional(),
    scatter: z.number().min(0).optional(),
    farWeight: z.number().min(0).optional(),
});

/** What an experiment compares: the first one is what the others are measured against. */
export const variantsSchema = z.strictObject({
    variants: z.array(z.strictObject({ name: z.string().min(1), tuning: tuningSchema.default({}) })).min(1),
}).refine(
    ({ variants }) => new Set(variants.map(({ name }) => name)).size === variants.length,
    { message: "two variants have the same name", path: ["variants"] },
);

/** One way to play a day. */
export type Variant = z.infer<typeof variantsSchema>["variants"][number];

/** The product as it stands. */
export const unchanged: Variant = { name: "unchanged", tuning: {} };

/** Reads variants from a file; gives all that is wrong with it. */
export function readVariants(file: string): Either<readonly Finding[], readonly Variant[]> {
    return readCheckedFile(file, variantsSchema).map(({ variants }) => variants);
}
